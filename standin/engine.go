// Package standin holds small test programs that take the place of what the
// users and the platform give: model engines, plain services, the weight store
// and origin, the configuration service and the instance list. None of it ships.
package standin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/ring"
)

// tokensPerAnswer is the number of tokens that an engine generates.
const tokensPerAnswer = 8

// EngineOptions set the behaviour of a stand-in engine.
type EngineOptions struct {
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders with an old number.
	ChecksFence bool
	// WarmAfter is the number of completed calls after which it reports warm.
	WarmAfter int
}

// Engine is a stand-in model engine.
type Engine struct {
	options EngineOptions
	state   *ring.Ring[func(*engineState)]
}

// engineState is owned by the engine's one duty.
type engineState struct {
	bootID  string
	loaded  []engine.Loaded
	fence   int64
	running int
	calls   int
}

// NewEngine returns an engine; Run must run for it to answer.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{options: o, state: ring.New[func(*engineState)](256, ring.Wait)}
}

// Run owns the engine's state until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	s := &engineState{bootID: rand.Text()}
	for {
		f, err := e.state.Take(ctx)
		if err != nil {
			return nil
		}
		f(s)
	}
}

// ask runs f on the state and returns its answer.
func ask[T any](ctx context.Context, e *Engine, f func(*engineState) T) T {
	answer := ring.New[T](1, ring.Refuse)
	_ = e.state.Put(ctx, func(s *engineState) { _ = answer.Put(ctx, f(s)) })
	v, _ := answer.Take(ctx)
	return v
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.serveReport)
	mux.HandleFunc("POST /orders/load", e.serveLoad)
	mux.HandleFunc("POST /orders/unload", e.serveUnload)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	return mux
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, ask(r.Context(), e, func(s *engineState) engine.Report {
		return engine.Report{
			BootID: s.bootID, Warm: s.calls >= e.options.WarmAfter, Running: s.running,
			Loaded: append([]engine.Loaded(nil), s.loaded...), Fence: s.fence,
		}
	}))
}

// fenced takes in an order's number and reports whether it is refused.
func (e *Engine) fenced(ctx context.Context, number int64) bool {
	if !e.options.ChecksFence {
		return false
	}
	return ask(ctx, e, func(s *engineState) bool {
		if number <= s.fence {
			return true
		}
		s.fence = number
		return false
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o engine.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.fenced(r.Context(), o.Fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if err := readWeights(r.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	ask(r.Context(), e, func(s *engineState) bool {
		s.loaded = append(s.loaded, o.Loaded)
		return true
	})
}

// readWeights reads every file from the agent and verifies every chunk, so
// that a test sees wrong bytes that an agent let through.
func readWeights(ctx context.Context, o engine.LoadOrder) error {
	encoded, err := fetch(ctx, o.Source+"/manifest.json")
	if err != nil {
		return err
	}
	m, err := manifest.Decode(encoded, o.Root)
	if err != nil {
		return err
	}
	files := make([][]byte, len(m.Files))
	for i, f := range m.Files {
		if files[i], err = fetch(ctx, o.Source+"/files/"+f.Path); err != nil {
			return err
		}
		if int64(len(files[i])) != f.Size {
			return fmt.Errorf("%s has %d bytes, want %d", f.Path, len(files[i]), f.Size)
		}
	}
	for _, c := range m.Chunks() {
		if !c.Verify(files[c.File][c.Offset : c.Offset+c.Length]) {
			return fmt.Errorf("%s has wrong bytes at %d", m.Files[c.File].Path, c.Offset)
		}
	}
	return nil
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	var o engine.UnloadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.fenced(r.Context(), o.Fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	ask(r.Context(), e, func(s *engineState) bool {
		s.unload(o.Root)
		return true
	})
}

func (s *engineState) unload(root fleet.Digest) {
	var kept []engine.Loaded
	for _, l := range s.loaded {
		if l.Root != root {
			kept = append(kept, l)
		}
	}
	s.loaded = kept
}

// chatRequest is the part of a chat completion request that the engine reads.
type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// serveChat answers with tokens that name the version and repeat the last
// message, so that a caller can tell whose answer it got and by which weights.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "request is not valid", http.StatusBadRequest)
		return
	}
	version := ask(r.Context(), e, func(s *engineState) string {
		s.running++
		if len(s.loaded) == 0 {
			return ""
		}
		return string(s.loaded[len(s.loaded)-1].Version)
	})
	defer ask(context.WithoutCancel(r.Context()), e, func(s *engineState) bool {
		s.running--
		s.calls++
		return true
	})
	if version == "" {
		http.Error(w, "no model loaded", http.StatusServiceUnavailable)
		return
	}
	tokens := answerTokens(version, req.Messages[len(req.Messages)-1].Content)
	if !req.Stream {
		writeJSON(w, completion(strings.Join(tokens, " ")))
		return
	}
	e.streamTokens(w, r, tokens)
}

func answerTokens(version, text string) []string {
	tokens := []string{version, text}
	for i := len(tokens); i < tokensPerAnswer; i++ {
		tokens = append(tokens, fmt.Sprintf("t%d", i))
	}
	return tokens
}

func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, tokens []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for _, token := range tokens {
		select {
		case <-time.After(e.options.TokenTime):
		case <-r.Context().Done():
			return
		}
		data, _ := json.Marshal(delta(token + " "))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = control.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
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

// Holds reports whether the engine has loaded the weights with that root.
func (e *Engine) Holds(ctx context.Context, root string) bool {
	return ask(ctx, e, func(s *engineState) bool {
		for _, l := range s.loaded {
			if l.Root.String() == root {
				return true
			}
		}
		return false
	})
}
