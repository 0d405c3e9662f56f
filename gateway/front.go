package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/wire"
)

// newConnWait is how long a new connection without a request counts as busy: its first
// request may be on its way.
const newConnWait = time.Second

// front is the server for callers. Unlike http.Server.Shutdown, it can stop accepting
// connections and leave open ones as they are.
type front struct {
	server   *http.Server
	listener net.Listener
	group    *duty.Group

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of an open connection and since when it has it.
type connState struct {
	state http.ConnState
	since time.Time
}

// listenFront opens the port for callers. Nothing is accepted before serve is called.
func listenFront(ctx context.Context, address string, h http.Handler) (*front, error) {
	l, err := sock.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	f := &front{listener: l, group: duty.NewGroup(context.Background()), conns: map[net.Conn]connState{}}
	f.server = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.observe,
	}
	return f, nil
}

// serve starts the duty that accepts connections. The end of the duty ends no connection.
func (f *front) serve() {
	f.group.Go("front", func(context.Context) error {
		if err := wire.Serve(f.server, f.listener); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
}

// observe keeps the state of a connection.
func (f *front) observe(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	f.conns[c] = connState{state: state, since: time.Now()}
}

// busy reports whether a connection carries a request, or is new and may carry one soon.
func (f *front) busy(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < newConnWait {
			return true
		}
	}
	return false
}

// awaitQuiet waits until no connection has been busy for quietTime, or until a time. It
// reports whether it is quiet.
func (f *front) awaitQuiet(until time.Time) bool {
	quietSince := time.Time{}
	for {
		now := time.Now()
		switch {
		case f.busy(now):
			quietSince = time.Time{}
		case quietSince.IsZero():
			quietSince = now
		case now.Sub(quietSince) >= quietTime:
			return true
		}
		if !now.Before(until) {
			return !quietSince.IsZero()
		}
		_ = duty.Sleep(context.Background(), min(stopPollInterval, until.Sub(now)))
	}
}

// drain waits until no request is in progress and closes idle connections, or waits until
// a time. It reports whether no request is in progress.
func (f *front) drain(until time.Time) bool {
	for f.awaitQuiet(until) {
		// Shutdown closes idle connections only, and leaves one whose request is being
		// read at this moment.
		ctx, cancel := context.WithTimeout(context.Background(), stopPollInterval)
		_ = f.server.Shutdown(ctx)
		cancel()
		if !f.busy(time.Now()) {
			return true
		}
	}
	return false
}

// closeListener stops accepting connections.
func (f *front) closeListener() { _ = f.listener.Close() }

// close closes all connections and waits for the duty. It returns the error that ended
// the duty, if any.
func (f *front) close() error {
	f.closeListener()
	_ = f.server.Close()
	f.group.Stop()
	return f.group.Wait()
}
