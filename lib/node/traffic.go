package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// connectTimeout bounds a new connection for control messages.
const connectTimeout = time.Second

// traffic counts the control messages that a process starts, as bytes on its
// connections.
type traffic struct{ peers, platform counter }

// counter counts the bytes of the connections of one client.
type counter struct{ sent, received atomic.Uint64 }

// client returns an HTTP client whose connections are counted. A server that
// accepts a request and sends no header within silence is given up; 0 means
// that the context alone bounds the wait.
func (c *counter) client(silence time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,

		ResponseHeaderTimeout: silence,
	}}
}

type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}
