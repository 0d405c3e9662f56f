// Command naive is the baseline that gateways are compared with. It forwards each
// request to the next replica of its route's service and, if that fails, to one
// more. It ignores load, versions, budgets and whether a request may be repeated.
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
	// readInterval is the interval between two reads of the store.
	readInterval = time.Second
	// maxTries is the maximum number of replicas that a request is sent to.
	maxTries = 2
)

// proxy is the state of the baseline.
type proxy struct {
	// view is the last view of the store; nil before the first read.
	view atomic.Pointer[published.View]
	// next selects the replica in round-robin order.
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
	// It has no settings to read again, and the soak counts on it to go on.
	signal.Ignore(syscall.SIGHUP)
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
	g.Go("store", func(ctx context.Context) error { return p.refreshView(ctx, platform.NewStore(s.Store)) })
	g.Go("readiness", serve(s.Ready, ready))
	g.Go("front", serve(s.Listen, http.HandlerFunc(p.forward)))
	return g.Wait()
}

// serve returns a duty that serves HTTP at address until its context ends.
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

// refreshView replaces the view with a new snapshot of the store every
// readInterval until ctx ends.
func (p *proxy) refreshView(ctx context.Context, store *platform.Store) error {
	for ctx.Err() == nil {
		if b, err := store.Snapshot(ctx, "", false); err == nil {
			state := published.NewState()
			state.Replace(time.Now(), b.Changes, b.Revision)
			p.view.Store(state.View())
		}
		_ = duty.Sleep(ctx, readInterval)
	}
	return nil
}

// forward handles one request from a caller. It answers 404 if no route or customer
// matches, and 503 if there is no configuration yet, the body cannot be read or
// every replica that it tried failed.
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
	for range min(maxTries, len(ready)) {
		u := ready[int(p.next.Add(1))%len(ready)]
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+u.Address+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			break
		}
		req.Header = codec.RequestHeader(r.Header)
		codec.AddAttempt(req.Header, &dispatch.Send{
			Upstream: u.ID, Customer: customer.Name, Deadline: time.Now().Add(call.TimeBudget),
		}, time.Now(), call.LastEvent)
		if p.send(w, req) {
			return
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// send sends a request to a replica and copies the answer to w. It reports false
// if the replica answered with a 5xx status or failed before its answer began.
func (p *proxy) send(w http.ResponseWriter, req *http.Request) bool {
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
	_, _ = io.Copy(flushWriter{w}, resp.Body)
	return true
}

// flushWriter flushes after each write, so that a stream is forwarded at once.
type flushWriter struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	_ = http.NewResponseController(f.w).Flush()
	return n, err
}
