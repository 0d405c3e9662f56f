package standin

import (
	"context"
	"io"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
)

// maxPlainBytes is the maximum size of a request body that a plain service reads.
const maxPlainBytes = 1 << 20

// PlainOptions configures a stand-in plain service.
type PlainOptions struct {
	// WorkTime is the time that a request takes.
	WorkTime time.Duration
}

// Plain is a stand-in plain service. It responds with the body of the request and
// counts how often a request with each Idempotency-Key ran. It does not detect
// duplicates.
type Plain struct {
	options PlainOptions
	state   *ring.Ring[func(*plainState)]
}

// plainState is the state of a plain service. It is owned by the service's duty.
type plainState struct {
	runs   map[string]int
	counts PlainCounts
	down   bool
}

// PlainCounts are the counters of a plain service since it was created.
type PlainCounts struct {
	// Runs counts requests, Repeated those whose key had run before.
	Runs, Repeated int
}

// NewPlain returns a service. It serves requests only while Run runs.
func NewPlain(o PlainOptions) *Plain {
	return &Plain{options: o, state: ring.New[func(*plainState)](256, ring.Wait)}
}

// Run is the duty that owns the service's state. It returns nil when ctx ends.
func (p *Plain) Run(ctx context.Context) error {
	defer p.state.Close()
	s := &plainState{runs: map[string]int{}}
	for {
		f, err := p.state.Take(ctx)
		if err != nil {
			return nil
		}
		f(s)
	}
}

// Counts returns the service's counters.
func (p *Plain) Counts(ctx context.Context) PlainCounts {
	return runOnState(ctx, p.state, func(s *plainState) PlainCounts { return s.counts })
}

// Runs returns how often a request with a key ran.
func (p *Plain) Runs(ctx context.Context, key string) int {
	return runOnState(ctx, p.state, func(s *plainState) int { return s.runs[key] })
}

// SetDown makes all requests fail, or ends that.
func (p *Plain) SetDown(ctx context.Context, down bool) {
	runOnState(ctx, p.state, func(s *plainState) bool {
		s.down = down
		return true
	})
}

// Handler serves GET /healthz and runs every other request.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/", p.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runOnState(r.Context(), p.state, func(s *plainState) bool { return s.down }) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Plain) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	runOnState(context.WithoutCancel(r.Context()), p.state, func(s *plainState) bool {
		s.run(key)
		return true
	})
	timer := time.NewTimer(p.options.WorkTime)
	defer timer.Stop()
	<-timer.C
	_, _ = w.Write(body)
}

// run counts a request with a key; "" means that it has none.
func (s *plainState) run(key string) {
	s.counts.Runs++
	if key == "" {
		return
	}
	if s.runs[key] > 0 {
		s.counts.Repeated++
	}
	s.runs[key]++
}

// runOnState has the owner of a state run f on it and returns the result. It
// returns the zero value if the owner has ended or ctx ends before f is queued.
func runOnState[S, T any](ctx context.Context, owner *ring.Ring[func(S)], f func(S) T) T {
	var none T
	result := ring.New[T](1, ring.Refuse)
	if owner.Put(ctx, func(s S) { _ = result.Put(ctx, f(s)) }) != nil {
		return none
	}
	select {
	case v := <-result.Out():
		return v
	case <-owner.Closed():
		return none
	}
}
