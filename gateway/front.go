package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/connlimit"
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
	// drainInterval is the time between two looks at the open connections.
	drainInterval = 20 * time.Millisecond
)

// front is the server for callers. It stops without http.Server.Shutdown, after which the
// server drops each request that it reads, also on connections that were accepted before.
type front struct {
	server   *http.Server
	listener net.Listener
	group    *duty.Group

	gateway *Gateway

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// listenFront opens the port for callers. Nothing is accepted before serve is called.
func listenFront(ctx context.Context, g *Gateway) (*front, error) {
	l, err := sock.Listen(ctx, g.settings.Listen)
	if err != nil {
		return nil, err
	}
	f := &front{gateway: g, group: duty.NewGroup(context.Background()), conns: map[*callerConn]bool{}}
	limit := maxConnections(g.settings.MemoryBytes, g.settings.MaxFiles)
	newHead := func(interrupt func()) connlimit.Head { return g.bodies.NewHead(interrupt) }
	f.listener = callerListener{connlimit.New(l, limit, f.makeRoom, newHead)}
	f.server = &http.Server{
		Handler:           http.HandlerFunc(g.serveCall),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.observe,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, c)
		},
	}
	return f, nil
}

// callerConnKey is the key of the connection in the context of its requests.
type callerConnKey struct{}

// markBusy marks the connection of a request as busy. A request that arrived in one segment with
// the one before it is in the buffer of the server and causes no read. It returns false if the
// connection was closed just before.
func markBusy(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return true
	}
	c.Head.Complete()
	return c.use.CompareAndSwap(connHead, connBusy) || c.use.CompareAndSwap(connIdle, connBusy) || c.use.Load() == connBusy
}

// admitFraming returns false for a request whose framing is ambiguous; see framing.Tracker.Admit.
func admitFraming(w http.ResponseWriter, r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return !ok || c.Framing.Admit(w, r)
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

// observe keeps the open connections and marks those whose request has ended.
func (f *front) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.Head.Begin()
		c.idleSince.Store(time.Now().UnixNano())
		c.use.CompareAndSwap(connBusy, connIdle)
	case http.StateNew:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, c)
	}
}

// open returns the open connections.
func (f *front) open() []*callerConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	conns := make([]*callerConn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	return conns
}

// closeIdle closes the connections that have carried no request for a while, counted from a
// time, or all without a request if the stop is over. It returns how many carry one, and how
// many others stay open because a request may be on its way.
func (f *front) closeIdle(now, from time.Time, over bool) (busy, waiting int) {
	for _, c := range f.open() {
		switch {
		case c.use.Load() == connClosed:
		case c.use.Load() == connBusy, c.use.Load() == connHead:
			busy++
		case !over && c.mayGetRequest(now, from):
			waiting++
		case !c.closeIfIdle():
			busy++
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
		_ = duty.Sleep(context.Background(), min(drainInterval, until.Sub(now)))
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

// The uses of a connection.
const (
	// connIdle means that nothing of a request has been read. A connection without any
	// request yet is idle.
	connIdle int32 = iota
	// connHead means that a part of the head of a request has been read.
	connHead
	// connBusy means that a request whose head was read is being answered.
	connBusy
	// connClosed means that the connection was closed before the head of a request was read.
	connClosed
)

// callerConn is a connection of a caller that can be closed only while no request on it has
// been read: a request that was read gets an answer.
type callerConn struct {
	*connlimit.Conn
	openedAt time.Time
	use      atomic.Int32
	// headSince is when the first byte of the last head came, in ns since 1970; 0 before the
	// first one.
	headSince atomic.Int64
	// idleSince is when the last request ended, in ns since 1970; 0 before the first one.
	idleSince atomic.Int64
}

// Read implements net.Conn. The connection is not idle while its head waits for memory, so that
// it is not closed as an idle one meanwhile.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.beginHead() {
		return 0, net.ErrClosed
	}
	if headErr := c.Received(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// beginHead marks the begin of a head if the connection was idle. It returns false if it was
// closed.
func (c *callerConn) beginHead() bool {
	if c.use.Load() == connIdle {
		c.headSince.Store(time.Now().UnixNano())
	}
	return c.use.CompareAndSwap(connIdle, connHead) || c.use.Load() != connClosed
}

// waitingSince returns since when the connection waits: for the rest of a head, for the next
// request, or for the first one.
func (c *callerConn) waitingSince() time.Time {
	if c.use.Load() == connHead {
		return time.Unix(0, c.headSince.Load())
	}
	if idleSince := c.idleSince.Load(); idleSince != 0 {
		return time.Unix(0, idleSince)
	}
	return c.openedAt
}

// mayGetRequest reports whether a request may be on its way, counted from a time.
func (c *callerConn) mayGetRequest(now, from time.Time) bool {
	idleSince := c.idleSince.Load()
	if idleSince == 0 {
		return now.Sub(from) < newConnWait
	}
	if at := time.Unix(0, idleSince); at.After(from) {
		from = at
	}
	return now.Sub(from) < idleWait
}

// closeIfIdle closes the connection unless bytes of a request have arrived. It returns false
// if they have.
func (c *callerConn) closeIfIdle() bool {
	if sock.Pending(c.TCPConn) || !c.use.CompareAndSwap(connIdle, connClosed) {
		return c.use.Load() == connClosed
	}
	_ = c.Close()
	return true
}

// closeIfUnused closes the connection if no request on it has been read, be it that a part of a
// head has. It returns false if one has.
func (c *callerConn) closeIfUnused() bool {
	if sock.Pending(c.TCPConn) || !c.use.CompareAndSwap(connHead, connClosed) {
		return c.closeIfIdle()
	}
	_ = c.Close()
	return true
}

// callerListener accepts connections as callerConns.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited, ok := conn.(*connlimit.Conn)
	if !ok {
		return conn, nil
	}
	return &callerConn{Conn: limited, openedAt: time.Now()}, nil
}
