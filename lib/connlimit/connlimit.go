// Package connlimit limits the open connections of a listener, so that neither their
// memory nor their descriptors exceed what the process may use.
package connlimit

import (
	"errors"
	"net"
	"sync"
)

// softDivisor is the divisor of the limit for the part of it that only connections
// which are being closed may use: net/http keeps a connection open for half a second
// after a response whose request was not read to its end.
const softDivisor = 4

var errNotTCP = errors.New("connection is not a TCP connection")

// Listener accepts a limited number of connections. Further ones wait in the accept
// queue of the operating system.
type Listener struct {
	net.Listener
	slots    chan struct{}
	closed   chan struct{}
	once     sync.Once
	makeRoom func()
}

// New returns a listener of TCP connections with at most limit open connections. Each connection beyond
// three quarters of them calls makeRoom, which should close another connection; it may
// be nil.
func New(l net.Listener, limit int, makeRoom func()) *Listener {
	if makeRoom == nil {
		makeRoom = func() {}
	}
	return &Listener{Listener: l, slots: make(chan struct{}, max(limit, 1)), closed: make(chan struct{}), makeRoom: makeRoom}
}

// Accept waits for a free slot and then for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.acceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	if limit := cap(l.slots); len(l.slots) > limit-limit/softDivisor {
		l.makeRoom()
	}
	return &Conn{TCPConn: c, listener: l}, nil
}

func (l *Listener) acceptTCP() (*net.TCPConn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, errNotTCP
	}
	return tcp, nil
}

// Close closes the listener and ends calls of Accept that wait for a slot.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Conn is a TCP connection that occupies a slot until it is closed.
type Conn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
}

// Close closes the connection. The first call frees the slot.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() { <-c.listener.slots })
	return err
}
