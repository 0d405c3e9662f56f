package sock

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reusing an idle connection that the peer closed or sent
// unexpected bytes on.
func TestReusable(t *testing.T) {
	l, err := Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	open := func() (net.Conn, net.Conn) {
		c, err := Dial(context.Background(), "tcp", l.Addr().String())
		require.NoError(t, err)
		s, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _, _ = c.Close(), s.Close() })
		return c, s
	}
	c, s := open()
	require.True(t, Reusable(c))
	_, err = s.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !Reusable(c) }, 30*time.Second, time.Millisecond)
	c, s = open()
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool { return !Reusable(c) }, 30*time.Second, time.Millisecond)
}

// Guards against closing a connection with a request that has arrived, and against waiting
// for the goroutine that reads the connection.
func TestPending(t *testing.T) {
	l, err := Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := Dial(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	s, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	require.False(t, Pending(c))
	_, err = s.Write([]byte("xy"))
	require.NoError(t, err)
	require.NoError(t, <-read)
	require.True(t, Pending(c))
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.False(t, Pending(c))
}
