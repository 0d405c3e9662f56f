package sock

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// pauses are silences that sound processes and links may have.
var pauses = []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second}

// noticeTimeout is how long a test waits for the end of a connection that is silent
// for good.
const noticeTimeout = 30 * time.Second

// connect returns both ends of a connection, the second one from Listen.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := Dial(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// silence drops everything that arrives at the connections, as a link does that
// carries nothing, until resume is called.
func silence(t *testing.T, conns ...*net.TCPConn) (resume func()) {
	t.Helper()
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	for _, c := range conns {
		control(t, c, func(fd int) error {
			return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
		})
	}
	return func() {
		for _, c := range conns {
			control(t, c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
		}
	}
}

func control(t *testing.T, c *net.TCPConn, do func(fd int) error) {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	var result error
	require.NoError(t, raw.Control(func(fd uintptr) { result = do(int(fd)) }))
	require.NoError(t, result)
}

// Guards against a connection that ends because its link carries nothing for a while:
// what was sent meanwhile is lost although a later retransmission would arrive.
func TestBytesSentOverASilentLinkArrive(t *testing.T) {
	for _, pause := range pauses {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			c, s := connect(t)
			resume := silence(t, c, s)
			time.AfterFunc(pause, resume)
			_, err := s.Write([]byte("event"))
			require.NoError(t, err)
			require.NoError(t, s.CloseWrite())
			got, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Equal(t, "event", string(got))
		})
	}
}

// Guards against a connection that ends while its process waits for an answer, because
// the link carries no probes for a while after a time in which nothing was sent.
func TestWaitingConnectionOutlastsASilentLink(t *testing.T) {
	for _, pause := range pauses {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			c, s := connect(t)
			time.Sleep(keepAliveIdle - 100*time.Millisecond)
			resume := silence(t, c, s)
			time.Sleep(pause)
			resume()
			_, err := s.Write([]byte("answer"))
			require.NoError(t, err)
			require.NoError(t, s.CloseWrite())
			got, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Equal(t, "answer", string(got))
		})
	}
}

// Guards against a connection that ends because the process at its other end reads
// nothing for a while and then goes on: its receive buffer is full, so the sender's
// bytes stay unsent although the kernel there acknowledges all probes.
func TestPausedReaderGetsEverything(t *testing.T) {
	for _, pause := range pauses {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			// The buffers of both sides together hold less than this.
			const size = 64 << 20
			c, s := connect(t)
			sent := make(chan error, 1)
			go func() {
				_, err := s.Write(make([]byte, size))
				_ = s.CloseWrite()
				sent <- err
			}()
			time.Sleep(pause)
			n, err := io.Copy(io.Discard, c)
			require.NoError(t, err)
			require.NoError(t, <-sent)
			require.EqualValues(t, size, n)
		})
	}
}

// Guards against a process that waits forever on a connection whose link is cut, with
// and without bytes that were not acknowledged.
func TestCutLinkEndsTheConnection(t *testing.T) {
	for name, send := range map[string]string{"waiting": "", "sending": "request"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, s := connect(t)
			silence(t, c, s)
			startedAt := time.Now()
			_, err := c.Write([]byte(send))
			require.NoError(t, err)
			require.NoError(t, c.SetReadDeadline(startedAt.Add(noticeTimeout)))
			_, err = c.Read(make([]byte, 1))
			require.ErrorIs(t, err, unix.ETIMEDOUT)
			t.Log("noticed after", time.Since(startedAt))
		})
	}
}
