package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/sock"
)

// connectTimeout limits the time to open a connection for control messages.
const connectTimeout = time.Second

// traffic counts the bytes of control messages that the process initiates.
type traffic struct{ peers, platform byteCounter }

// byteCounter counts the bytes on the connections of one client.
type byteCounter struct{ sent, received atomic.Uint64 }

// client returns an HTTP client whose connections are counted. A request fails
// if no response header arrives within headerTimeout; 0 means that only the
// context limits the wait.
func (c *byteCounter) client(headerTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := sock.DialWith(ctx, dialer, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, counter: c}, nil
	}
	return &http.Client{Transport: relay.NewTransport(&http.Transport{
		MaxResponseHeaderBytes: sock.MaxHeadBytes,
		DialContext:            dial,
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,

		ResponseHeaderTimeout: headerTimeout,
	})}
}

type countingConn struct {
	*sock.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}
