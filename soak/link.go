package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/duty"
)

// linkMode is how a link treats its connections.
type linkMode uint8

const (
	// forwarding forwards all bytes.
	forwarding linkMode = iota
	// slow delays each buffer of bytes by slowDelay.
	slow
	// refusing resets new connections at once.
	refusing
	// blockToTarget forwards nothing to the target, blockFromTarget nothing from
	// it, and blockBoth nothing in either direction. Bytes that are held back are
	// forwarded when the mode changes.
	blockToTarget
	blockFromTarget
	blockBoth
)

const (
	// slowDelay is the delay of a slow link.
	slowDelay = 150 * time.Millisecond
	// bufferBytes is the most that a link forwards at a time, in bytes.
	bufferBytes = 16 << 10
)

// linkState is the mode of a link. It is immutable; changed is closed when
// another state replaces it.
type linkState struct {
	mode    linkMode
	changed chan struct{}
}

// link is a TCP proxy on loopback that simulates network faults in front of a
// listener.
type link struct {
	// address is where the link listens, target is where it connects to.
	address string
	target  string
	state   atomic.Pointer[linkState]
	// silenced is closed and replaced to silence the connections that are open.
	silenced atomic.Pointer[chan struct{}]
	// conns holds the open connections of both sides.
	conns *owned[map[net.Conn]bool]
}

// newLink returns a link that accepts connections at address until g ends and
// forwards them to target.
func newLink(g *duty.Group, address, target string) (*link, error) {
	l := &link{address: address, target: target}
	l.state.Store(&linkState{changed: make(chan struct{})})
	l.silence()
	l.conns = newOwned(g, "link connections", &map[net.Conn]bool{})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(g.Context(), func() { _ = listener.Close() })
	g.Go("link "+address, func(ctx context.Context) error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			go l.serveConn(ctx, c)
		}
	})
	return l, nil
}

// setMode changes the mode. It must be called by one goroutine at a time.
func (l *link) setMode(m linkMode) {
	old := l.state.Swap(&linkState{mode: m, changed: make(chan struct{})})
	close(old.changed)
}

// silence makes the open connections silent for good: what the target sends is dropped,
// also its close. New connections work. It must be called by one goroutine at a time.
func (l *link) silence() {
	next := make(chan struct{})
	if old := l.silenced.Swap(&next); old != nil {
		close(*old)
	}
}

// reset resets all open connections.
func (l *link) reset() {
	apply(l.conns, func(open *map[net.Conn]bool) {
		for c := range *open {
			closeWithReset(c)
		}
	})
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// serveConn connects to the target and forwards bytes until both directions end.
func (l *link) serveConn(ctx context.Context, inbound net.Conn) {
	if l.state.Load().mode == refusing {
		closeWithReset(inbound)
		return
	}
	silenced := *l.silenced.Load()
	outbound, err := net.Dial("tcp", l.target)
	if err != nil {
		closeWithReset(inbound)
		return
	}
	apply(l.conns, func(open *map[net.Conn]bool) { (*open)[inbound], (*open)[outbound] = true, true })
	ended := make(chan struct{}, 2)
	go l.copyBytes(ctx, outbound, inbound, blockToTarget, nil, ended)
	go l.copyBytes(ctx, inbound, outbound, blockFromTarget, silenced, ended)
	<-ended
	<-ended
	apply(l.conns, func(open *map[net.Conn]bool) {
		delete(*open, inbound)
		delete(*open, outbound)
	})
	_ = inbound.Close()
	_ = outbound.Close()
}

// copyBytes forwards one direction of a connection and signals ended when it
// returns. blockMode is the mode that blocks only this direction. It forwards nothing
// once silenced is closed.
func (l *link) copyBytes(ctx context.Context, to, from net.Conn, blockMode linkMode, silenced <-chan struct{}, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if isClosed(silenced) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 && !l.forward(ctx, to, buffer[:n], blockMode) {
			closeWithReset(from)
			return
		}
		if err != nil {
			l.waitUnblocked(ctx, blockMode)
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			closeWithReset(to)
			return
		}
	}
}

// isClosed reports whether a channel is closed; nil never is.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// forward writes one buffer once the direction is not blocked. It reports false
// if the write failed.
func (l *link) forward(ctx context.Context, to net.Conn, data []byte, blockMode linkMode) bool {
	l.waitUnblocked(ctx, blockMode)
	if l.state.Load().mode == slow {
		_ = duty.Sleep(ctx, slowDelay)
	}
	_, err := to.Write(data)
	return err == nil
}

// waitUnblocked returns once the direction is not blocked, or when ctx ends.
func (l *link) waitUnblocked(ctx context.Context, blockMode linkMode) {
	for {
		s := l.state.Load()
		if s.mode != blockMode && s.mode != blockBoth {
			return
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return
		}
	}
}
