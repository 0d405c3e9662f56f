package sock

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an idle connection that counts as usable although the peer
// closed it or sent bytes that nobody asked for.
func TestQuiet(t *testing.T) {
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
	require.True(t, Quiet(c))
	_, err = s.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !Quiet(c) }, 30*time.Second, time.Millisecond)
	c, s = open()
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool { return !Quiet(c) }, 30*time.Second, time.Millisecond)
}
