// Package exchange sends one HTTP request to an upstream over a connection that
// may be reused for the next one. It sends each request exactly once; the caller
// decides on retries.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"rattanspur.example/lib/sock"
)

const (
	// readBufferBytes is enough for the head of a response and for most events.
	readBufferBytes = 8 << 10
	// maxIdleTime is how long an idle connection is kept at most, and the time
	// used if the upstream states none.
	maxIdleTime = 4 * time.Second
	// idleMargin is how long before the upstream an idle connection is closed,
	// so that no request is sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
)

// Conn is a connection to an upstream that carries one request at a time.
type Conn struct {
	net net.Conn
	// expectHead announces the head of a response on net.
	expectHead func()
	limit      *limitedReader
	reader     *bufio.Reader
	// idleUntil is when the connection must be closed if it is idle.
	idleUntil time.Time
	// refused holds the IDs of the requests that were refused on the connection.
	refused []string
}

// maxRefusals is the number of refusals after which a connection is not reused, so that
// all of them can be kept.
const maxRefusals = 16

// Dial opens a connection to the upstream at an address (host:port).
func Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := sock.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limit := &limitedReader{reader: c}
	return &Conn{net: c, expectHead: c.ExpectHead, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}, nil
}

// errHeadTooLarge is returned for a response whose head exceeds sock.MaxHeadBytes.
var errHeadTooLarge = errors.New("head of the response is larger than the limit")

// limitedReader fails once more bytes were read than are left while it is limited.
// The head of a response is held in memory as a whole, and a faulty upstream may
// send one without end.
type limitedReader struct {
	reader  io.Reader
	limited bool
	left    int
	// outlast is asked whether to read on after a timeout; nil if each timeout ends the
	// read. It is asked here because a body keeps the first error that it reads.
	outlast func() bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (l *limitedReader) read(p []byte) (int, error) {
	for {
		n, err := l.reader.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || l.outlast == nil || !l.outlast() {
			return n, err
		}
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Usable reports whether an idle connection can carry a request: its idle time
// has not expired, it is open, and no unread bytes have arrived. Bytes received
// after a complete response do not belong to any request.
func (c *Conn) Usable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && sock.Reusable(c.net)
}

// HasRefused reports whether a request was refused on the connection. It must not be sent
// there again: a faulty upstream may write the refusal once more, and it could not be told
// from the answer to the new attempt, which may run.
func (c *Conn) HasRefused(id string) bool { return slices.Contains(c.refused, id) }

// Expired reports whether the idle time of a connection is over.
func (c *Conn) Expired(now time.Time) bool { return !now.Before(c.idleUntil) }

// setIdleTime sets how long the connection may be idle from now on. stated is
// the upstream's idle timeout, 0 if it stated none.
func (c *Conn) setIdleTime(now time.Time, stated time.Duration) {
	idle := maxIdleTime
	if stated > 0 {
		idle = min(idle, stated-idleMargin)
	}
	c.idleUntil = now.Add(idle)
}
