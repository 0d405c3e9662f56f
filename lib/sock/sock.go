// Package sock opens TCP connections that detect an unresponsive peer, and a lost connection.
package sock

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the time to open a connection.
	DialTimeout = time.Second
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	UserTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are the times before and between
	// keep-alive probes; keepAliveCount unanswered probes end the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// MaxHeadBytes is the maximum size of the head of a response. It is held in
	// memory as a whole, and a faulty server may send one without end.
	MaxHeadBytes = 64 << 10
	// idleConnTimeout is how long a transport keeps an idle connection.
	idleConnTimeout = 10 * time.Second
)

// dialer opens connections that detect an unresponsive peer.
var dialer = net.Dialer{
	Timeout: DialTimeout,
	Control: setUserTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
}

// Dial opens a connection that detects an unresponsive peer.
func Dial(ctx context.Context, network, address string) (*Conn, error) {
	return DialWith(ctx, &dialer, network, address)
}

// Listen opens a listener whose connections detect an unresponsive peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return l.Listen(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Transport returns a transport for control traffic that keeps up to
// idlePerHost idle connections to each host for idleConnTimeout.
func Transport(idlePerHost int) *http.Transport {
	return &http.Transport{
		MaxResponseHeaderBytes: MaxHeadBytes,
		DialContext:            Dialer(&dialer),
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
	}
}

// Reusable reports whether an idle connection is open and has no bytes to read.
// Bytes that arrive while no response is expected belong to no request. If c
// does not give access to its socket, Reusable returns true.
func Reusable(c net.Conn) bool {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// Pending reports whether bytes have arrived that were not read. Unlike Reusable it may be
// called while another goroutine reads.
func Pending(c syscall.Conn) bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	_ = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err == nil && n > 0
	})
	return pending
}
