package connlimit

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// errNoMemory is the error of a head that is too large.
var errNoMemory = errors.New("no memory for the head")

// countingHead has memory for maxHead bytes of a head.
type countingHead struct {
	received int
	ended    bool
}

const maxHead = 8

func (h *countingHead) Begin()    { h.received, h.ended = 0, false }
func (h *countingHead) Complete() { h.ended = true }

func (h *countingHead) Received(data []byte) error {
	if h.received += len(data); h.received > maxHead {
		return errNoMemory
	}
	return nil
}

// listen returns a listener with a limit, and a function that connects to it.
func listen(t *testing.T, limit int, makeRoom MakeRoom) (*Listener, func() net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(inner, limit, makeRoom, func(func()) Head { return &countingHead{} })
	t.Cleanup(func() { _ = l.Close() })
	return l, func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// Guards against more connections than the limit, and against a place that is lost, or
// freed twice, when a connection is closed.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	l, dial := listen(t, 2, func(int, bool) {})
	for range 3 {
		dial()
	}
	var open []net.Conn
	for range 2 {
		c, err := l.Accept()
		require.NoError(t, err)
		open = append(open, c)
	}
	require.Len(t, l.slots, cap(l.slots))
	accepted := make(chan error)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	require.NoError(t, open[0].Close())
	require.Error(t, open[0].Close())
	require.NoError(t, <-accepted)
	require.Len(t, l.slots, cap(l.slots))
}

// Guards against a listener that makes no room before it is full, or makes room when
// nobody connects.
func TestRoomIsMadeBeforeTheLimitIsReached(t *testing.T) {
	rooms, urgentRooms := 0, 0
	l, dial := listen(t, 8, func(n int, urgent bool) {
		if urgent {
			urgentRooms += n
		} else {
			rooms += n
		}
	})
	var last net.Conn
	for i := range 8 {
		dial()
		c, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, max(0, i-5), rooms)
		last = c
	}
	require.Zero(t, urgentRooms)
	l.makeRoom = func(n int, urgent bool) {
		require.True(t, urgent)
		require.Equal(t, 2, n)
		require.NoError(t, last.Close())
		l.makeRoom = func(int, bool) {}
	}
	dial()
	_, err := l.Accept()
	require.NoError(t, err)
}

// Guards against room that is made urgently, at the cost of ordinary bodies, although all
// connections are open and no further one waits.
func TestNoRoomIsMadeForNobody(t *testing.T) {
	var urgentRooms atomic.Int32
	l, dial := listen(t, 4, func(_ int, urgent bool) {
		if urgent {
			urgentRooms.Add(1)
		}
	})
	for range 4 {
		dial()
		_, err := l.Accept()
		require.NoError(t, err)
	}
	done := make(chan error)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	time.Sleep(2 * roomInterval)
	require.Zero(t, urgentRooms.Load())
	require.NoError(t, l.Close())
	require.Error(t, <-done)
}

// Guards against a stop that waits for a connection to end.
func TestCloseEndsAWaitForAPlace(t *testing.T) {
	l, dial := listen(t, 1, func(int, bool) {})
	dial()
	_, err := l.Accept()
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
}

// Guards against heads that are read without being counted, against bytes that reach the server
// although there is no memory for them, and against a head that outlives its connection.
func TestReadsCountTheHead(t *testing.T) {
	l, dial := listen(t, 1, func(int, bool) {})
	client := dial()
	conn, err := l.Accept()
	require.NoError(t, err)
	head, ok := conn.(*Conn).Head.(*countingHead)
	require.True(t, ok)
	_, err = client.Write(make([]byte, maxHead))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, maxHead))
	require.NoError(t, err)
	require.Equal(t, maxHead, head.received)
	_, err = client.Write([]byte("further"))
	require.NoError(t, err)
	n, err := conn.Read(make([]byte, maxHead))
	require.Zero(t, n)
	require.ErrorIs(t, err, errNoMemory)
	require.False(t, head.ended)
	require.NoError(t, conn.Close())
	require.True(t, head.ended)
}

// Guards against a head that closes its connection and keeps the slot, or frees it twice.
func TestInterruptedHeadFreesTheSlot(t *testing.T) {
	l, dial := listen(t, 1, func(int, bool) {})
	var interrupts []func()
	l.newHead = func(interrupt func()) Head {
		interrupts = append(interrupts, interrupt)
		return &countingHead{}
	}
	dial()
	dial()
	first, err := l.Accept()
	require.NoError(t, err)
	interrupts[0]()
	require.Error(t, first.Close())
	_, err = l.Accept()
	require.NoError(t, err)
	require.Len(t, l.slots, 1)
}
