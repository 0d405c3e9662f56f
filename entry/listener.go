package entry

import (
	"errors"
	"net"
	"sync"
)

// limitedListener limits the number of open connections. Further ones wait in the
// accept queue of the operating system.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(l net.Listener, connections int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
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
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close closes the listener and ends calls of Accept that wait for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that occupies a slot of a limitedListener.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close closes the connection. The first call frees the slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// SetLinger sets how the connection is closed, like net.TCPConn.SetLinger.
func (c *limitedConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}
