package sock

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"rattanspur.example/lib/framing"
)

// Conn is a TCP connection to an HTTP/1 server. Its reads fail where a response breaks off or
// is malformed and a reader of HTTP does not notice.
//
// They tell the loss of the connection from its orderly end. The kernel reports the error of a
// connection once, to the call that comes first. If that is a write, the next read finds an
// end, and a response that lasts until its connection ends would count as complete after a
// reset.
//
// They check the head of each response that ExpectHead announces.
type Conn struct {
	net.Conn
	raw syscall.RawConn
	// headExpected is set from ExpectHead to the next read. The others are used by the
	// goroutine that reads: checks is set once a head was announced, malformed once one is.
	headExpected atomic.Bool
	checks       bool
	head         framing.ResponseHead
	malformed    error
	// writing is held during a write. writeErr is the error by which the first failed
	// write learned that the connection was lost.
	writing  sync.Mutex
	writeErr error
}

// DialFunc is the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWith opens a connection with a dialer.
func DialWith(ctx context.Context, d *net.Dialer, network, address string) (*Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c)
}

// Dialer returns a function that opens connections of type *Conn with a dialer.
func Dialer(d *net.Dialer) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := DialWith(ctx, d, network, address)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// newConn returns a Conn for a new connection, which it closes on an error.
func newConn(c net.Conn) (*Conn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		_ = c.Close()
		return nil, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &Conn{Conn: c, raw: raw}, nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// ExpectHead says that a request is about to be sent, so that the next bytes to be read are the
// head of its response.
func (c *Conn) ExpectHead() { c.headExpected.Store(true) }

// Read implements net.Conn. It returns io.EOF only if the peer has ended its data. If the
// connection was lost, it returns the error of the connection, also if a write got that. It
// returns framing.ErrMalformedHead in place of a line that makes a head malformed.
func (c *Conn) Read(b []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.readData(b)
	if c.headExpected.CompareAndSwap(true, false) {
		c.checks, c.head = true, framing.ResponseHead{}
	}
	if !c.checks {
		return n, err
	}
	sound, malformed := c.head.Add(b[:n])
	if malformed == nil {
		return n, err
	}
	// net/http sends a request again if the first read of its response fails, so that the
	// bytes before are not held back.
	c.malformed = malformed
	if sound > 0 {
		return sound, nil
	}
	return 0, malformed
}

// readData reads without a check of the data.
func (c *Conn) readData(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.closed() {
		if lost := c.awaitWriteError(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil && isLoss(err) {
		c.writeErr = err
	}
	return n, err
}

// isLoss reports whether the error of a write means that data of the peer may be missing.
// EPIPE does not: it is the error of a reset that follows the end of the peer's data, and
// that of a write after the error of the connection was reported.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// awaitWriteError returns the error that a write got, once no write is in progress. The
// connection must be closed: a write in progress ends at once then.
func (c *Conn) awaitWriteError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// tcpClose is the state of a connection that was reset, timed out or ended on both sides
// (TCP_CLOSE in the kernel's tcp_states.h). After the peer's end alone it is another one.
const tcpClose = 7

// closed reports whether the connection is closed for both directions, by the peer or, since
// net/http closes a connection after a failed write, by this process.
func (c *Conn) closed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return closed || err != nil
}
