// Package standin provides simple substitutes for the programs that users and the
// platform operate: model engines, plain services, the weight store and origin,
// the configuration service and the instance list. They are for tests,
// benchmarks and demonstrations only and are not shipped.
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

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	// Tokens is the number of tokens of a response; 0 means 8.
	Tokens int
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing token.
	ChecksFence bool
	// WarmAfter is the number of completed calls after which the engine is warm.
	WarmAfter int
	// OneVersion makes the engine refuse to load a second version.
	OneVersion bool
	// KeepsVersions makes a restarted engine keep its loaded versions.
	KeepsVersions bool
	// ColdBound and WarmBound are the numbers of concurrent calls that the engine
	// can handle while it is cold and while it is warm. Calls beyond the bound are
	// counted and still run. 0 means no bound.
	ColdBound, WarmBound int
	// CrashOn makes the engine restart when any message contains the text, after it has sent
	// the first CrashAfter tokens of a streamed answer.
	CrashOn    string
	CrashAfter int
	// StallOn makes the engine stop after the head of the response when a message
	// contains the text. The connection stays open.
	StallOn string
	// HoldOn makes the engine send nothing when a message contains the text. The
	// connection stays open.
	HoldOn string
}

// Engine is a stand-in model engine.
type Engine struct {
	options EngineOptions
	state   *ring.Ring[func(*engineState)]
}

// EngineCounts are the counters of an engine since it was created.
type EngineCounts struct {
	// Started, Finished and Cancelled count calls. A call is canceled if its caller
	// disconnects.
	Started, Finished, Cancelled int
	// OverBound counts calls beyond the bound, except those that came after the
	// engine turned cold and before a load report said so. OverBeforeReport counts
	// those.
	OverBound, OverBeforeReport int
	// MostRunning is the maximum number of concurrent calls.
	MostRunning int
	// Running is the current number of calls.
	Running int
	// Loaded is the current number of loaded versions, MostLoaded the maximum.
	Loaded, MostLoaded int
	// UnloadedInUse counts unload orders for versions with running calls.
	UnloadedInUse int
	// Orders counts orders, Fenced those refused because of an old fencing token.
	Orders, Fenced int
}

// engineState is the state of an engine. It is owned by the engine's duty.
type engineState struct {
	options EngineOptions
	// bootID identifies a start of the engine.
	bootID string
	// ended is closed when the engine restarts or goes down.
	ended  chan struct{}
	loaded []engine.Loaded
	// fence is the greatest fencing token so far, recorded only with ChecksFence.
	fence int64
	// completedCalls counts the calls completed since the engine last started or
	// turned cold.
	completedCalls int
	// coldReported is false from TurnCold until the next load report.
	coldReported bool
	down         bool
	// runningByRoot is the number of running calls for each loaded version.
	runningByRoot map[fleet.Digest]int
	counts        EngineCounts
}

// NewEngine returns an engine. It serves requests only while Run runs.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{options: o, state: ring.New[func(*engineState)](256, ring.Wait)}
}

// Run is the duty that owns the engine's state. It returns nil when ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	defer e.state.Close()
	s := &engineState{options: e.options, coldReported: true, runningByRoot: map[fleet.Digest]int{}}
	s.boot()
	for {
		f, err := e.state.Take(ctx)
		if err != nil {
			return nil
		}
		f(s)
	}
}

// boot resets the state to that of a new start of the engine.
func (s *engineState) boot() {
	s.bootID = rand.Text()
	s.ended = make(chan struct{})
	s.completedCalls = 0
	clear(s.runningByRoot)
	s.counts.Running = 0
	if !s.options.KeepsVersions {
		s.loaded = nil
	}
}

func (s *engineState) cold() bool { return s.completedCalls < s.options.WarmAfter }

// withState runs f on the engine's state and returns its result.
func withState[T any](ctx context.Context, e *Engine, f func(*engineState) T) T {
	return runOnState(ctx, e.state, f)
}

// Restart simulates a crash and restart of the engine: running calls are aborted
// and all connections break.
func (e *Engine) Restart(ctx context.Context) {
	withState(ctx, e, func(s *engineState) bool {
		s.restart()
		return true
	})
}

// restart ends the current start of the engine, which aborts its calls, and begins
// a new one.
func (s *engineState) restart() {
	close(s.ended)
	s.boot()
}

// SetDown makes all requests fail, or ends that. Going down aborts running calls.
func (e *Engine) SetDown(ctx context.Context, down bool) {
	withState(ctx, e, func(s *engineState) bool {
		if down && !s.down {
			s.restart()
		}
		s.down = down
		return true
	})
}

// TurnCold makes the engine cold again without a restart.
func (e *Engine) TurnCold(ctx context.Context) {
	withState(ctx, e, func(s *engineState) bool {
		s.completedCalls = 0
		s.coldReported = false
		return true
	})
}

// Counts returns the engine's counters.
func (e *Engine) Counts(ctx context.Context) EngineCounts {
	return withState(ctx, e, func(s *engineState) EngineCounts {
		c := s.counts
		c.Loaded = len(s.loaded)
		return c
	})
}

// bootKey is the context key of the boot ID at which a connection was accepted.
type bootKey struct{}

// ConnContext stores the engine's boot ID in the context of a new connection, so
// that a restart breaks all older connections. It is a hook for http.Server.
func (e *Engine) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	boot := withState(ctx, e, func(s *engineState) string { return s.bootID })
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
		connBoot, _ := r.Context().Value(bootKey{}).(string)
		broken := withState(r.Context(), e, func(s *engineState) bool {
			return s.down || (connBoot != "" && connBoot != s.bootID)
		})
		if broken {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, withState(r.Context(), e, func(s *engineState) engine.Report {
		s.coldReported = true
		return engine.Report{
			BootID: s.bootID, Warm: !s.cold(), Running: s.counts.Running,
			Loaded: append([]engine.Loaded(nil), s.loaded...), Fence: s.fence,
		}
	}))
}

// isFenced counts an order and reports whether it must be refused because of an
// old fencing token. It records the token of an order that is not refused.
func (e *Engine) isFenced(ctx context.Context, token int64) bool {
	return withState(ctx, e, func(s *engineState) bool {
		s.counts.Orders++
		if !s.options.ChecksFence {
			return false
		}
		if token <= s.fence {
			s.counts.Fenced++
			return true
		}
		s.fence = token
		return false
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o engine.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.isFenced(r.Context(), o.Fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	boot := withState(r.Context(), e, func(s *engineState) string { return s.bootID })
	if err := readWeights(r.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if !withState(r.Context(), e, func(s *engineState) bool { return s.load(boot, o.Loaded) }) {
		http.Error(w, "no room for the version, or the engine restarted", http.StatusInsufficientStorage)
	}
}

// load adds a version and reports whether it was added. It is not added if the
// engine restarted since boot or cannot hold another version.
func (s *engineState) load(boot string, l engine.Loaded) bool {
	if boot != s.bootID || (s.options.OneVersion && len(s.loaded) > 0) {
		return false
	}
	s.unload(l.Root)
	s.loaded = append(s.loaded, l)
	s.counts.MostLoaded = max(s.counts.MostLoaded, len(s.loaded))
	return true
}

// readWeights reads all files from the agent and verifies all chunks, so that a
// test detects corrupt data that the agent passed on.
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
	if e.isFenced(r.Context(), o.Fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	withState(r.Context(), e, func(s *engineState) bool {
		if s.runningByRoot[o.Root] > 0 {
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

// Holds reports whether the engine has loaded the weights with the given root.
func (e *Engine) Holds(ctx context.Context, root string) bool {
	return withState(ctx, e, func(s *engineState) bool {
		for _, l := range s.loaded {
			if l.Root.String() == root {
				return true
			}
		}
		return false
	})
}
