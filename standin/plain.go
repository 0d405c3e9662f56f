package standin

import (
	"context"
	"io"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
)

// plainBytes bounds a request that a plain service reads.
const plainBytes = 1 << 20

// PlainOptions set the behaviour of a stand-in plain service.
type PlainOptions struct {
	// WorkTime is how long a request takes.
	WorkTime time.Duration
}

// Plain is a stand-in plain service: it repeats the body of a request, counts
// how often each Idempotency-Key was run, and knows nothing of duplicates.
type Plain struct {
	options PlainOptions
	state   *ring.Ring[func(*plainState)]
}

// plainState is owned by the service's one duty.
type plainState struct {
	runs   map[string]int
	counts PlainCounts
	down   bool
}

// PlainCounts say what a plain service did since it was made.
type PlainCounts struct {
	// Runs counts requests, Repeated those whose key had been run before.
	Runs, Repeated int
}

// NewPlain returns a service; Run must run for it to answer.
func NewPlain(o PlainOptions) *Plain {
	return &Plain{options: o, state: ring.New[func(*plainState)](256, ring.Wait)}
}

// Run owns the service's state until ctx ends.
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

// Counts returns what the service did so far.
func (p *Plain) Counts(ctx context.Context) PlainCounts {
	return askState(ctx, p.state, func(s *plainState) PlainCounts { return s.counts })
}

// Runs returns how often a key was run.
func (p *Plain) Runs(ctx context.Context, key string) int {
	return askState(ctx, p.state, func(s *plainState) int { return s.runs[key] })
}

// SetDown makes every request fail until it is called again.
func (p *Plain) SetDown(ctx context.Context, down bool) {
	askState(ctx, p.state, func(s *plainState) bool {
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
		if askState(r.Context(), p.state, func(s *plainState) bool { return s.down }) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Plain) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, plainBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	askState(context.WithoutCancel(r.Context()), p.state, func(s *plainState) bool {
		s.run(key)
		return true
	})
	timer := time.NewTimer(p.options.WorkTime)
	defer timer.Stop()
	<-timer.C
	_, _ = w.Write(body)
}

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

// askState has the owner of a state run f and returns its answer, or the zero
// value once the owner has ended.
func askState[S, T any](ctx context.Context, owner *ring.Ring[func(S)], f func(S) T) T {
	var none T
	answer := ring.New[T](1, ring.Refuse)
	if owner.Put(ctx, func(s S) { _ = answer.Put(ctx, f(s)) }) != nil {
		return none
	}
	select {
	case v := <-answer.Out():
		return v
	case <-owner.Closed():
		return none
	}
}
