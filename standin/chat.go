package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/engine"
)

// chatRequest contains the fields of a chat completion request that the engine
// uses.
type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// contains reports whether any message contains the text.
func (r *chatRequest) contains(text string) bool {
	for i := range r.Messages {
		if strings.Contains(r.Messages[i].Content, text) {
			return true
		}
	}
	return false
}

// runningCall is a call that the engine runs.
type runningCall struct {
	loaded engine.Loaded
	bootID string
	ended  chan struct{}
}

// startCall counts the start of a call. It returns nil if the version that the
// call names is not loaded.
func (s *engineState) startCall(model string) *runningCall {
	for _, l := range s.loaded {
		if engine.ServedName(l.Root) != model {
			continue
		}
		s.counts.Started++
		s.counts.Running++
		s.runningByRoot[l.Root]++
		s.counts.MostRunning = max(s.counts.MostRunning, s.counts.Running)
		s.countOverBound()
		return &runningCall{loaded: l, bootID: s.bootID, ended: s.ended}
	}
	return nil
}

// countOverBound counts the newest call if it exceeds the bound.
func (s *engineState) countOverBound() {
	bound := s.options.WarmBound
	if s.cold() {
		bound = s.options.ColdBound
	}
	switch {
	case bound == 0 || s.counts.Running <= bound:
	case s.cold() && !s.coldReported:
		s.counts.OverBeforeReport++
	default:
		s.counts.OverBound++
	}
}

// endCall counts the end of a call. The calls of an earlier start of the engine
// are no longer counted as running, so only their cancellations are counted.
func (s *engineState) endCall(c *runningCall, cancelled bool) {
	if cancelled {
		s.counts.Cancelled++
	}
	if c.bootID != s.bootID {
		return
	}
	s.counts.Running--
	s.runningByRoot[c.loaded.Root]--
	if !cancelled {
		s.counts.Finished++
		s.completedCalls++
	}
}

// serveChat responds with the version and the last message as the first two
// tokens, so that a caller can check which request and which weights a response
// belongs to.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "request is not valid", http.StatusBadRequest)
		return
	}
	text := req.Messages[len(req.Messages)-1].Content
	detached := context.WithoutCancel(r.Context())
	call := withState(detached, e, func(s *engineState) *runningCall { return s.startCall(req.Model) })
	if call == nil {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	if e.options.CrashOn != "" && req.contains(e.options.CrashOn) {
		if e.options.CrashAfter > 0 {
			tokens := answerTokens(string(call.loaded.Version), text, e.options.Tokens)
			e.writeTokens(w, r, call, tokens[:min(e.options.CrashAfter, len(tokens))])
		}
		e.Restart(detached)
		panic(http.ErrAbortHandler)
	}
	finished := e.writeAnswer(w, r, call, req.Stream, text)
	cancelled := !finished && r.Context().Err() != nil
	withState(detached, e, func(s *engineState) bool {
		s.endCall(call, cancelled)
		return true
	})
	if !finished {
		panic(http.ErrAbortHandler)
	}
}

// writeAnswer writes the response and reports whether it is complete.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, call *runningCall, stream bool, text string) bool {
	tokens := answerTokens(string(call.loaded.Version), text, e.options.Tokens)
	if e.options.StallOn != "" && strings.Contains(text, e.options.StallOn) {
		_ = http.NewResponseController(w).Flush()
		return awaitEnd(r, call)
	}
	if e.options.HoldOn != "" && strings.Contains(text, e.options.HoldOn) {
		return awaitEnd(r, call)
	}
	if !stream {
		if !sleep(r, call, e.options.TokenTime*time.Duration(len(tokens))) {
			return false
		}
		writeJSON(w, completion(strings.Join(tokens, " ")))
		return true
	}
	return e.streamTokens(w, r, call, tokens)
}

// awaitEnd waits until the caller disconnects or the engine restarts. It returns
// false, since the response is not complete.
func awaitEnd(r *http.Request, call *runningCall) bool {
	select {
	case <-call.ended:
	case <-r.Context().Done():
	}
	return false
}

// sleep waits for d and returns true. It returns false early if the caller
// disconnects or the engine restarts.
func sleep(r *http.Request, call *runningCall, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-call.ended:
		return false
	case <-r.Context().Done():
		return false
	}
}

// answerTokens returns the tokens of a response: the version, the text and enough
// others for the given count; 0 means the default.
func answerTokens(version, text string, count int) []string {
	if count == 0 {
		count = tokensPerAnswer
	}
	tokens := []string{version, text}
	for i := len(tokens); i < count; i++ {
		tokens = append(tokens, fmt.Sprintf("t%d", i))
	}
	return tokens
}

func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, call *runningCall, tokens []string) bool {
	if !e.writeTokens(w, r, call, tokens) {
		return false
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	return true
}

// writeTokens writes one event for each token and reports whether it wrote all of them.
func (e *Engine) writeTokens(w http.ResponseWriter, r *http.Request, call *runningCall, tokens []string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for _, token := range tokens {
		if !sleep(r, call, e.options.TokenTime) {
			return false
		}
		data, _ := json.Marshal(delta(token + " "))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = control.Flush()
	}
	return true
}

// choice is one alternative of a response.
type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatResponse struct {
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
}

func completion(text string) chatResponse {
	return chatResponse{Object: "chat.completion", Choices: []choice{{Message: &message{Role: "assistant", Content: text}}}}
}

func delta(text string) chatResponse {
	return chatResponse{Object: "chat.completion.chunk", Choices: []choice{{Delta: &message{Content: text}}}}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
