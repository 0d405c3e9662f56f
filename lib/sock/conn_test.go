package sock

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"rattanspur.example/lib/sock/socktest"
)

// upload writes to a connection without end and returns the error of the write.
func upload(c net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		data := make([]byte, 1<<20)
		var err error
		for err == nil {
			_, err = c.Write(data)
		}
		failed <- err
	}()
	return failed
}

// dialScript opens a connection without UserTimeout to a server that runs a script.
func dialScript(t *testing.T, script socktest.Script) *Conn {
	c, err := DialWith(context.Background(), &net.Dialer{}, "tcp", socktest.Serve(t, script))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a reset that a reader takes for the end of the data because a write got
// the error of the connection, during the read and before it.
func TestResetThatAWriteGotIsNoEnd(t *testing.T) {
	for _, before := range []bool{false, true} {
		for range 20 {
			c := dialScript(t, func(c net.Conn, r *bufio.Reader) {
				// A reset before the first byte of the upload could end the dial.
				_, _ = r.ReadByte()
				_, _ = io.WriteString(c, "part")
				time.Sleep(2 * time.Millisecond)
				socktest.Finish(c, socktest.RST)
			})
			failed := upload(c)
			if before {
				require.Error(t, <-failed)
			}
			data, err := io.ReadAll(c)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Equal(t, "part", string(data))
		}
	}
}

// Guards against data that counts as cut although the peer has ended it and reads on.
func TestEndOfAPeerThatReadsOn(t *testing.T) {
	c := dialScript(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "whole")
		socktest.Finish(c, socktest.Lingering)
	})
	upload(c)
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
}

// Guards against data that counts as cut although the peer has ended it: the peer resets the
// connection after the end has arrived, and the data is read only then.
func TestEndBeforeAResetIsAnEnd(t *testing.T) {
	ended := make(chan struct{})
	c := dialScript(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "whole")
		_ = c.(*net.TCPConn).CloseWrite()
		<-ended
		socktest.Finish(c, socktest.RST)
	})
	failed := upload(c)
	const tcpCloseWait = 8
	require.Eventually(t, func() bool { return c.state(t) == tcpCloseWait }, 30*time.Second, time.Millisecond)
	close(ended)
	require.ErrorIs(t, <-failed, syscall.EPIPE)
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
}

// state returns the kernel's state of a connection.
func (c *Conn) state(t *testing.T) (state uint8) {
	require.NoError(t, c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		state = info.State
	}))
	return state
}

// Guards against a read that waits for a write which the peer does not take: the peer has
// ended its data and reads nothing.
func TestEndIsReadDuringAWriteThatStalls(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	open := func() { once.Do(func() { close(release) }) }
	t.Cleanup(open)
	c := dialScript(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "whole")
		_ = c.(*net.TCPConn).CloseWrite()
		<-release
	})
	failed := upload(c)
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
	select {
	case err := <-failed:
		require.Fail(t, "the write ended before the read", err)
	default:
	}
	open()
	require.Error(t, <-failed)
}

// Guards against a connection that timed out and counts as ended in order: the peer takes no
// bytes for longer than UserTimeout, and the write gets the error.
func TestTimeoutThatAWriteGotIsNoEnd(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	c, err := Dial(context.Background(), "tcp", socktest.Serve(t, func(c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "part")
		<-release
	}))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.ErrorIs(t, <-upload(c), syscall.ETIMEDOUT)
	data, err := io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ETIMEDOUT)
	require.Equal(t, "part", string(data))
}
