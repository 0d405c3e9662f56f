package entry

import (
	"net"
	"sync"
)

// limitedListener accepts a bounded number of connections at a time; further
// ones wait in the queue of the operating system.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(l net.Listener, connections int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept waits for a slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, free: func() { <-l.slots }}, nil
}

// Close ends waiting calls of Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	free func()
	once sync.Once
}

// Close closes the connection and frees the slot once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}
