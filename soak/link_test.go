package soak

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/duty"
)

// echo starts a link in front of an echo server and connects to it.
func echo(t *testing.T) (*link, net.Conn) {
	g := duty.NewGroup(context.Background())
	t.Cleanup(g.Stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	env := &environment{index: 2 * environmentCount.Add(1)}
	l, err := newLink(g, env.newHost()+":8000", listener.Addr().String())
	require.NoError(t, err)
	c, err := net.Dial("tcp", l.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return l, c
}

// Guards against a link that loses the bytes it holds back, a fault that no real
// network shows.
func TestHeldBytesArriveLater(t *testing.T) {
	for _, m := range []linkMode{blockToTarget, blockFromTarget, blockBoth} {
		l, c := echo(t)
		l.setMode(m)
		_, err := c.Write([]byte("held"))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		buffer := make([]byte, 4)
		_, err = io.ReadFull(c, buffer)
		require.Error(t, err, "mode %d", m)
		l.setMode(forwarding)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(30*time.Second)))
		_, err = io.ReadFull(c, buffer)
		require.NoError(t, err)
		require.Equal(t, "held", string(buffer))
	}
}

// Guards against a link reset that leaves connections open.
func TestResetBreaksOpenConnections(t *testing.T) {
	l, c := echo(t)
	_, err := c.Write([]byte("open"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
	l.reset()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stayed open")
}

// Guards against a silenced link that still forwards what the target sends or that takes
// new connections down with the old ones.
func TestSilencedConnectionsStaySilent(t *testing.T) {
	l, c := echo(t)
	_, err := c.Write([]byte("open"))
	require.NoError(t, err)
	buffer := make([]byte, 4)
	_, err = io.ReadFull(c, buffer)
	require.NoError(t, err)
	l.silence()
	_, err = c.Write([]byte("lost"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	next, err := net.Dial("tcp", l.address)
	require.NoError(t, err)
	defer func() { _ = next.Close() }()
	_, err = next.Write([]byte("next"))
	require.NoError(t, err)
	require.NoError(t, next.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err = io.ReadFull(next, buffer)
	require.NoError(t, err)
	require.Equal(t, "next", string(buffer))
}
