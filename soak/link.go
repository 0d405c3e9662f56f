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

// linkMode says what a link does with its connections.
type linkMode uint8

const (
	// passing forwards all bytes.
	passing linkMode = iota
	// slow forwards each piece after slowBy.
	slow
	// refusing closes new connections at once.
	refusing
	// deaf forwards nothing to the target, mute nothing from it, silent nothing
	// at all. What is held goes on when the mode changes.
	deaf
	mute
	silent
)

const (
	// slowBy is the delay of a slow link.
	slowBy = 150 * time.Millisecond
	// pieceBytes is the size of the pieces that a link forwards.
	pieceBytes = 16 << 10
)

// linkState is immutable; changed is closed when another one replaces it.
type linkState struct {
	mode    linkMode
	changed chan struct{}
}

// link is a loopback proxy before a listener, which can fail like a network.
type link struct {
	// address is where the link listens, target where it connects to.
	address string
	target  string
	state   atomic.Pointer[linkState]
	conns   *owned[map[net.Conn]bool]
}

func newLink(g *duty.Group, address, target string) (*link, error) {
	l := &link{address: address, target: target}
	l.state.Store(&linkState{changed: make(chan struct{})})
	l.conns = own(g, "link connections", &map[net.Conn]bool{})
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
			go l.carry(ctx, c)
		}
	})
	return l, nil
}

// set changes the mode. It must be called by one goroutine at a time.
func (l *link) set(m linkMode) {
	old := l.state.Swap(&linkState{mode: m, changed: make(chan struct{})})
	close(old.changed)
}

// reset breaks all connections.
func (l *link) reset() {
	tell(l.conns, func(open *map[net.Conn]bool) {
		for c := range *open {
			breakOff(c)
		}
	})
}

// breakOff closes a connection with a reset.
func breakOff(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) carry(ctx context.Context, near net.Conn) {
	if l.state.Load().mode == refusing {
		breakOff(near)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		breakOff(near)
		return
	}
	tell(l.conns, func(open *map[net.Conn]bool) { (*open)[near], (*open)[far] = true, true })
	ended := make(chan struct{}, 2)
	go l.copy(ctx, far, near, deaf, ended)
	go l.copy(ctx, near, far, mute, ended)
	<-ended
	<-ended
	tell(l.conns, func(open *map[net.Conn]bool) {
		delete(*open, near)
		delete(*open, far)
	})
	_ = near.Close()
	_ = far.Close()
}

// copy forwards one direction, which the mode holder holds up.
func (l *link) copy(ctx context.Context, to, from net.Conn, holder linkMode, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.forward(ctx, to, buffer[:n], holder) {
			breakOff(from)
			return
		}
		if err != nil {
			l.wait(ctx, holder)
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			breakOff(to)
			return
		}
	}
}

func (l *link) forward(ctx context.Context, to net.Conn, data []byte, holder linkMode) bool {
	l.wait(ctx, holder)
	if l.state.Load().mode == slow {
		_ = duty.Sleep(ctx, slowBy)
	}
	_, err := to.Write(data)
	return err == nil
}

// wait returns once the link does not hold the direction up.
func (l *link) wait(ctx context.Context, holder linkMode) {
	for {
		s := l.state.Load()
		if s.mode != holder && s.mode != silent {
			return
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return
		}
	}
}
