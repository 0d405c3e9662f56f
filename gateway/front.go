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

const (
	// newConnWait is how long a stopping gateway leaves a new connection open for its first
	// request, and idleWait how long a kept one for its next: a caller that has just got an
	// answer may send it.
	newConnWait = time.Second
	idleWait    = 200 * time.Millisecond
)

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

// closeIdle closes the connections that have carried no request for a while, counted from a
// time, or all without a request if the stop is over. It returns how many carry one, and how
// many others stay open because a request may be on its way.
func (f *front) closeIdle(now, from time.Time, over bool) (busy, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		since := s.since
		if since.Before(from) {
			since = from
		}
		wait := idleWait
		if s.state == http.StateNew {
			wait = newConnWait
		}
		switch {
		case s.state == http.StateActive:
			busy++
		case !over && now.Sub(since) < wait:
			waiting++
		default:
			_ = c.Close()
		}
	}
	return busy, waiting
}

// drain closes each connection once it is idle, and waits until none is open, or until a
// time. It reports whether no request is in progress.
func (f *front) drain(until time.Time) bool {
	startedAt := time.Now()
	for {
		now := time.Now()
		over := !now.Before(until)
		busy, waiting := f.closeIdle(now, startedAt, over)
		if busy+waiting == 0 || over {
			return busy == 0
		}
		_ = duty.Sleep(context.Background(), min(stopPollInterval, until.Sub(now)))
	}
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
