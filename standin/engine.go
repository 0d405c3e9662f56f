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
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/ring"
)

// tokensPerAnswer is the number of tokens that an engine generates by default.
const tokensPerAnswer = 8

// EngineOptions set the behaviour of a stand-in engine.
type EngineOptions struct {
	// Tokens is the number of tokens of an answer; 0 means 8.
	Tokens int
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders with an old number.
	ChecksFence bool
	// WarmAfter is the number of completed calls after which it reports warm.
	WarmAfter int
	// OneVersion makes the engine refuse to load a second version.
	OneVersion bool
	// KeepsVersions makes a restarted engine come up with what it had loaded.
	KeepsVersions bool
	// ColdBound and WarmBound are the calls that the engine can bear in cold
	// start and later; work beyond them is counted. 0 means no bound.
	ColdBound, WarmBound int
	// CrashOn makes the engine restart when a message contains the text.
	CrashOn string
	// SilentOn makes the engine send nothing more after the head of the answer
	// to a message that contains the text.
	SilentOn string
}

// Engine is a stand-in model engine.
type Engine struct {
	options EngineOptions
	state   *ring.Ring[func(*engineState)]
}

// EngineCounts say what an engine did since it was made.
type EngineCounts struct {
	// Started, Finished and Cancelled count calls; a cancelled one lost its caller.
	Started, Finished, Cancelled int
	// OverBound counts calls beyond the bound. OverUnannounced counts those
	// after the engine turned cold and before it told so in a load report.
	OverBound, OverUnannounced int
	// MostRunning is the greatest number of calls at a time.
	MostRunning int
	// Running is the number of calls now.
	Running int
	// Loaded is the number of versions now, MostLoaded the greatest number.
	Loaded, MostLoaded int
	// UnloadedInUse counts unload orders for versions with running calls.
	UnloadedInUse int
	// Orders and Fenced count orders and those with an old number.
	Orders, Fenced int
}

// engineState is owned by the engine's one duty.
type engineState struct {
	options EngineOptions
	bootID  string
	// ended is closed when this start of the engine ends.
	ended     chan struct{}
	loaded    []engine.Loaded
	fence     int64
	calls     int
	announced bool
	down      bool
	byRoot    map[fleet.Digest]int
	counts    EngineCounts
}

// NewEngine returns an engine; Run must run for it to answer.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{options: o, state: ring.New[func(*engineState)](256, ring.Wait)}
}

// Run owns the engine's state until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	defer e.state.Close()
	s := &engineState{options: e.options, announced: true, byRoot: map[fleet.Digest]int{}}
	s.boot()
	for {
		f, err := e.state.Take(ctx)
		if err != nil {
			return nil
		}
		f(s)
	}
}

func (s *engineState) boot() {
	s.bootID = rand.Text()
	s.ended = make(chan struct{})
	s.calls = 0
	clear(s.byRoot)
	s.counts.Running = 0
	if !s.options.KeepsVersions {
		s.loaded = nil
	}
}

func (s *engineState) cold() bool { return s.calls < s.options.WarmAfter }

// ask runs f on the state and returns its answer.
func ask[T any](ctx context.Context, e *Engine, f func(*engineState) T) T {
	return askState(ctx, e.state, f)
}

// Restart breaks all connections and begins a new start of the engine.
func (e *Engine) Restart(ctx context.Context) {
	ask(ctx, e, func(s *engineState) bool {
		s.restart()
		return true
	})
}

func (s *engineState) restart() {
	close(s.ended)
	s.boot()
}

// SetDown makes every request fail until it is called again.
func (e *Engine) SetDown(ctx context.Context, down bool) {
	ask(ctx, e, func(s *engineState) bool {
		if down && !s.down {
			s.restart()
		}
		s.down = down
		return true
	})
}

// TurnCold returns the engine to cold start without a restart.
func (e *Engine) TurnCold(ctx context.Context) {
	ask(ctx, e, func(s *engineState) bool {
		s.calls = 0
		s.announced = false
		return true
	})
}

// Counts returns what the engine did so far.
func (e *Engine) Counts(ctx context.Context) EngineCounts {
	return ask(ctx, e, func(s *engineState) EngineCounts {
		c := s.counts
		c.Loaded = len(s.loaded)
		return c
	})
}

// bootKey is the context key of the start in which a connection was accepted.
type bootKey struct{}

// ConnContext marks a new connection with the engine's start, so that a restart
// breaks all older connections. It is meant for http.Server.
func (e *Engine) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	boot := ask(ctx, e, func(s *engineState) string { return s.bootID })
	return context.WithValue(ctx, bootKey{}, boot)
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.serveReport)
	mux.HandleFunc("POST /orders/load", e.serveLoad)
	mux.HandleFunc("POST /orders/unload", e.serveUnload)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began, _ := r.Context().Value(bootKey{}).(string)
		broken := ask(r.Context(), e, func(s *engineState) bool {
			return s.down || (began != "" && began != s.bootID)
		})
		if broken {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, ask(r.Context(), e, func(s *engineState) engine.Report {
		s.announced = true
		return engine.Report{
			BootID: s.bootID, Warm: !s.cold(), Running: s.counts.Running,
			Loaded: append([]engine.Loaded(nil), s.loaded...), Fence: s.fence,
		}
	}))
}

// fenced takes in an order's number and reports whether it is refused.
func (e *Engine) fenced(ctx context.Context, number int64) bool {
	return ask(ctx, e, func(s *engineState) bool {
		s.counts.Orders++
		if !s.options.ChecksFence {
			return false
		}
		if number <= s.fence {
			s.counts.Fenced++
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
	boot := ask(r.Context(), e, func(s *engineState) string { return s.bootID })
	if err := readWeights(r.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if !ask(r.Context(), e, func(s *engineState) bool { return s.load(boot, o.Loaded) }) {
		http.Error(w, "no room for the version, or the engine restarted", http.StatusInsufficientStorage)
	}
}

func (s *engineState) load(boot string, l engine.Loaded) bool {
	if boot != s.bootID || (s.options.OneVersion && len(s.loaded) > 0) {
		return false
	}
	s.unload(l.Root)
	s.loaded = append(s.loaded, l)
	s.counts.MostLoaded = max(s.counts.MostLoaded, len(s.loaded))
	return true
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
		if s.byRoot[o.Root] > 0 {
			s.counts.UnloadedInUse++
		}
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
