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

// chatRequest is the part of a chat completion request that the engine reads.
type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// running is a call that the engine began.
type running struct {
	loaded engine.Loaded
	bootID string
	ended  chan struct{}
}

// begin counts a call in; a call for a version that is not loaded is not run.
func (s *engineState) begin(model string) *running {
	for _, l := range s.loaded {
		if engine.ServedName(l.Root) != model {
			continue
		}
		s.counts.Started++
		s.counts.Running++
		s.byRoot[l.Root]++
		s.counts.MostRunning = max(s.counts.MostRunning, s.counts.Running)
		s.countBound()
		return &running{loaded: l, bootID: s.bootID, ended: s.ended}
	}
	return nil
}

func (s *engineState) countBound() {
	bound := s.options.WarmBound
	if s.cold() {
		bound = s.options.ColdBound
	}
	switch {
	case bound == 0 || s.counts.Running <= bound:
	case s.cold() && !s.announced:
		s.counts.OverUnannounced++
	default:
		s.counts.OverBound++
	}
}

// end counts a call out, unless the engine restarted in the meantime.
func (s *engineState) end(c *running, cancelled bool) {
	if cancelled {
		s.counts.Cancelled++
	}
	if c.bootID != s.bootID {
		return
	}
	s.counts.Running--
	s.byRoot[c.loaded.Root]--
	if !cancelled {
		s.counts.Finished++
		s.calls++
	}
}

// serveChat answers with tokens that name the version and repeat the last
// message, so that a caller can tell whose answer it got and by which weights.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "request is not valid", http.StatusBadRequest)
		return
	}
	text := req.Messages[len(req.Messages)-1].Content
	whole := context.WithoutCancel(r.Context())
	call := ask(whole, e, func(s *engineState) *running { return s.begin(req.Model) })
	if call == nil {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	if e.options.CrashOn != "" && strings.Contains(text, e.options.CrashOn) {
		e.Restart(whole)
		panic(http.ErrAbortHandler)
	}
	finished := e.answer(w, r, call, req.Stream, text)
	cancelled := !finished && r.Context().Err() != nil
	ask(whole, e, func(s *engineState) bool {
		s.end(call, cancelled)
		return true
	})
	if !finished {
		panic(http.ErrAbortHandler)
	}
}

// answer writes the answer and reports whether it is whole.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, call *running, stream bool, text string) bool {
	tokens := answerTokens(string(call.loaded.Version), text, e.options.Tokens)
	if e.options.SilentOn != "" && strings.Contains(text, e.options.SilentOn) {
		_ = http.NewResponseController(w).Flush()
		select {
		case <-call.ended:
		case <-r.Context().Done():
		}
		return false
	}
	if !stream {
		if !pace(r, call, e.options.TokenTime*time.Duration(len(tokens))) {
			return false
		}
		writeJSON(w, completion(strings.Join(tokens, " ")))
		return true
	}
	return e.streamTokens(w, r, call, tokens)
}

// pace waits and reports whether caller and engine are still there.
func pace(r *http.Request, call *running, d time.Duration) bool {
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

func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, call *running, tokens []string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for _, token := range tokens {
		if !pace(r, call, e.options.TokenTime) {
			return false
		}
		data, _ := json.Marshal(delta(token + " "))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = control.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	return true
}

// choice is one alternative of an answer.
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
