// Command naive is the baseline that gateways are compared with: it passes each
// request on to the next replica of its route's service and, if that fails, to
// one more. It knows nothing of load, versions, budgets or what may be repeated.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/published"
	"rattanspur.example/platform"
)

const (
	// readEvery is the time between two reads of the store.
	readEvery = time.Second
	// tries is the number of replicas that a request is sent to.
	tries = 2
)

// proxy is the whole state of the baseline.
type proxy struct {
	view atomic.Pointer[published.View]
	next atomic.Int64
	http *http.Client
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p := &proxy{http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if p.view.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	g := duty.NewGroup(ctx)
	g.Go("store", func(ctx context.Context) error { return p.read(ctx, platform.NewStore(s.Store)) })
	g.Go("readiness", serve(s.Ready, ready))
	g.Go("front", serve(s.Listen, http.HandlerFunc(p.forward)))
	return g.Wait()
}

func serve(address string, h http.Handler) duty.Func {
	return func(ctx context.Context) error {
		server := &http.Server{Addr: address, Handler: h}
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.ListenAndServe(); ctx.Err() == nil {
			return err
		}
		return nil
	}
}

// read replaces the view again and again.
func (p *proxy) read(ctx context.Context, store *platform.Store) error {
	for ctx.Err() == nil {
		if b, err := store.Snapshot(ctx, "", false); err == nil {
			state := published.NewState()
			state.Replace(time.Now(), b.Changes, b.Revision)
			p.view.Store(state.View())
		}
		_ = duty.Sleep(ctx, readEvery)
	}
	return nil
}

func (p *proxy) forward(w http.ResponseWriter, r *http.Request) {
	codec := platform.Codec{}
	call := codec.Call(r)
	body, err := io.ReadAll(r.Body)
	v := p.view.Load()
	if err != nil || v == nil || v.Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	route, customer := v.Config.Route(call.Host, call.Path), v.Config.Customer(call.Key)
	if route == nil || customer == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var ready []*published.Upstream
	for _, u := range v.Upstreams {
		if u.Service == route.Targets[0].Service && !u.Draining {
			ready = append(ready, u)
		}
	}
	for range min(tries, len(ready)) {
		u := ready[int(p.next.Add(1))%len(ready)]
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+u.Address+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			break
		}
		req.Header = codec.RequestHeader(r.Header)
		codec.AddAttempt(req.Header, &dispatch.Send{
			Upstream: u.ID, Customer: customer.Name, Deadline: time.Now().Add(call.TimeBudget),
		}, time.Now(), call.LastEvent)
		if p.pass(w, req) {
			return
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// pass sends a request and copies the answer. It reports false if the replica
// failed before its answer began.
func (p *proxy) pass(w http.ResponseWriter, req *http.Request) bool {
	resp, err := p.http.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusInternalServerError {
		return false
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(flushing{w}, resp.Body)
	return true
}

// flushing sends each part on at once.
type flushing struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	_ = http.NewResponseController(f.w).Flush()
	return n, err
}
