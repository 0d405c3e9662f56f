// Package exchange carries one request to an upstream over a connection that
// may be kept for the next one. It sends each request exactly once: whether to
// send again is decided elsewhere.
package exchange

import (
	"bufio"
	"context"
	"net"
	"time"

	"rattanspur.example/lib/sock"
)

const (
	// readBuffer holds the head of an answer and most events.
	readBuffer = 8 << 10
	// idleMost is how long a connection without a stated time is kept.
	idleMost = 4 * time.Second
	// idleMargin is how much sooner than the upstream a connection is closed,
	// so that a request does not cross the upstream's close.
	idleMargin = 500 * time.Millisecond
)

// Conn is a connection to an upstream that carries one request at a time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	// idleUntil is when an idle connection must be closed.
	idleUntil time.Time
}

// Dial opens a connection to an upstream.
func Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := sock.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{net: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Fresh reports whether an idle connection can carry a request: its time is
// not over, it is open, and nothing is waiting on it. Bytes that came after a
// whole answer belong to no request.
func (c *Conn) Fresh(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && sock.Reusable(c.net)
}

// Expired reports whether an idle connection's time is over.
func (c *Conn) Expired(now time.Time) bool { return !now.Before(c.idleUntil) }

// keep sets how long the connection may be idle; stated is what the upstream
// said, 0 if nothing.
func (c *Conn) keep(now time.Time, stated time.Duration) {
	idle := idleMost
	if stated > 0 {
		idle = min(idle, stated-idleMargin)
	}
	c.idleUntil = now.Add(idle)
}
