// Package connlimit limits the open connections of a listener, so that neither their
// memory nor their descriptors exceed what the process may use. It counts the memory for the
// heads of requests that arrive on them, and follows their framing.
package connlimit

import (
	"errors"
	"net"
	"sync"
	"time"

	"rattanspur.example/lib/framing"
)

// softDivisor is the divisor of the limit for the part of it that only connections
// which are being closed may use: net/http keeps a connection open for half a second
// after a response whose request was not read to its end.
const softDivisor = 4

// roomInterval is the time between two calls to make room while no slot is free.
const roomInterval = 250 * time.Millisecond

var errNotTCP = errors.New("connection is not a TCP connection")

// Listener accepts a limited number of connections. Further ones wait in the accept
// queue of the operating system.
type Listener struct {
	net.Listener
	slots    chan struct{}
	closed   chan struct{}
	once     sync.Once
	makeRoom MakeRoom
	newHead  NewHead
}

// MakeRoom closes up to n connections, whatever they are used for if it is urgent. It
// must not wait until they are closed.
type MakeRoom func(n int, urgent bool)

// Head counts the memory for the head of the request that is read from a connection.
type Head interface {
	// Begin begins the head of the next request, and Complete ends a head: what arrives
	// afterwards belongs to none.
	Begin()
	Complete()
	// Received counts bytes that have arrived, if they belong to a head. It returns an error if
	// there is no memory for it; the connection must be closed then.
	Received(data []byte) error
}

// NewHead returns the head of the first request of a connection. interrupt closes the
// connection and does not block.
type NewHead func(interrupt func()) Head

// New returns a listener of TCP connections with at most limit open ones. Each connection
// beyond three quarters of them makes room for one. If all are open, room is urgently made
// for a quarter, since connections take a while to close.
func New(l net.Listener, limit int, makeRoom MakeRoom, newHead NewHead) *Listener {
	return &Listener{
		Listener: l, slots: make(chan struct{}, max(limit, 1)), closed: make(chan struct{}),
		makeRoom: makeRoom, newHead: newHead,
	}
}

// Accept waits for a connection and then for a free slot, so that room is made only for a
// connection that is there.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.acceptTCP()
	if err != nil {
		return nil, err
	}
	if err := l.takeSlot(); err != nil {
		_ = c.Close()
		return nil, err
	}
	if limit := cap(l.slots); len(l.slots) > limit-limit/softDivisor {
		l.makeRoom(1, false)
	}
	conn := &Conn{TCPConn: c, listener: l}
	conn.Head = l.newHead(func() { _ = conn.release() })
	return conn, nil
}

// takeSlot waits for a free slot. While there is none, it makes room again and again:
// what is too young to be closed now may be old enough later.
func (l *Listener) takeSlot() error {
	for {
		select {
		case l.slots <- struct{}{}:
			return nil
		default:
		}
		l.makeRoom(max(cap(l.slots)/softDivisor, 1), true)
		timer := time.NewTimer(roomInterval)
		select {
		case l.slots <- struct{}{}:
			timer.Stop()
			return nil
		case <-l.closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
		}
	}
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

// Conn is a TCP connection that occupies a slot until it is closed. Its reads count the heads of
// requests and follow their framing.
type Conn struct {
	*net.TCPConn
	// Head counts the head that is being read, and Framing follows all requests.
	Head     Head
	Framing  framing.Tracker
	listener *Listener
	once     sync.Once
}

// Read implements net.Conn. It returns the error of the head if there is no memory for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if headErr := c.Received(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Received takes account of bytes that were read from TCPConn. It returns the error of the head
// if there is no memory for it.
func (c *Conn) Received(data []byte) error {
	c.Framing.Observe(data)
	return c.Head.Received(data)
}

// Close closes the connection and ends its head. The first call frees the slot.
func (c *Conn) Close() error {
	c.Head.Complete()
	return c.release()
}

func (c *Conn) release() error {
	err := c.TCPConn.Close()
	c.once.Do(func() { <-c.listener.slots })
	return err
}
