// Package sock opens TCP connections that notice a peer that went silent.
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
	// DialTimeout bounds a new connection.
	DialTimeout = time.Second
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	UserTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval are the times before and between keep-alive
	// probes; probeCount unanswered ones end the connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// idleConn is how long an idle connection of a transport is kept.
	idleConn = 10 * time.Second
)

// Dial opens a connection.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: DialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return d.DialContext(ctx, network, address)
}

// Listen opens a listener whose connections notice a silent peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return l.Listen(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Transport returns a transport for control traffic that keeps a number of
// idle connections to each host.
func Transport(idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         Dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleConn,
		DisableCompression:  true,
	}
}

// Quiet reports whether an idle connection is open and has nothing to read.
// Bytes that arrive while no answer is due belong to no request.
func Quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
