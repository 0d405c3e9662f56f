package exchange

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock/socktest"
)

// Guards against waiting forever for an upstream that accepts a request and
// sends nothing, or stops sending.
func TestTimeoutsEndAnExchange(t *testing.T) {
	quiet := make(chan struct{})
	defer close(quiet)
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, streamHead+"\r\nid: 1\ndata: a\n\n")
		<-quiet
	})
	out, _ := do(u.dial(), request(""), Options{EventStream: true, FirstByteTimeout: time.Minute, ProgressTimeout: time.Millisecond})
	require.Equal(t, retry.Stalled, out.End)
	require.Equal(t, "1", out.LastEventID)
	silentUpstream := serve(t, func(net.Conn, *bufio.Reader) { <-quiet })
	out, _ = do(silentUpstream.dial(), request(""), Options{FirstByteTimeout: time.Millisecond})
	require.Equal(t, retry.Stalled, out.End)
}

// Guards against a stream that begins after the time for that, at an upstream that sends
// the head of its answer early, and against one that is cut although it has begun.
func TestStreamBeginsInTimeOrEnds(t *testing.T) {
	quiet := make(chan struct{})
	defer close(quiet)
	serveText := func(text string) *Conn {
		return serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, text)
			<-quiet
		}).dial()
	}
	in := func(d time.Duration) Options {
		return Options{EventStream: true, FirstByteTimeout: time.Minute, ProgressTimeout: time.Millisecond, BeginBy: time.Now().Add(d)}
	}
	out, _ := do(serveText(streamHead+"\r\ndata:"), request(""), in(time.Millisecond))
	require.Equal(t, retry.NotBegun, out.End)
	require.False(t, out.Reusable)
	o := in(time.Second)
	o.ProgressTimeout = time.Second
	out, _ = do(serveText(streamHead+"\r\nid: 1\ndata: a\n\n"), request(""), o)
	require.Equal(t, retry.Stalled, out.End, "it stopped after it had begun")
	require.False(t, time.Now().Before(o.BeginBy))
	out, _ = do(serveText(""), request(""), in(-time.Hour))
	require.Equal(t, retry.NotBegun, out.End)
}

// Guards against a request that is written although the time for its first event is
// over, as by a process that was paused between its decision and the write.
func TestNothingIsWrittenAfterTheTimeToBegin(t *testing.T) {
	for _, size := range []int{0, 4 * maxSyncBodyBytes} {
		received := make(chan error, 1)
		c := serve(t, func(_ net.Conn, r *bufio.Reader) {
			_, err := r.ReadByte()
			received <- err
		}).dial()
		out, _ := do(c, request(strings.Repeat("x", size)), Options{EventStream: true, BeginBy: time.Now().Add(-time.Second)})
		require.Equal(t, retry.NotBegun, out.End)
		require.False(t, out.Reusable)
		c.Close()
		require.ErrorIs(t, <-received, io.EOF)
	}
}

// deadlineRecorder is a connection that records its write deadline.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
	set      int
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	d.set++
	return d.Conn.SetWriteDeadline(t)
}

// Guards against a reused connection whose next request fails because the write
// deadline of the one before it has passed.
func TestReusedConnectionHasNoWriteDeadline(t *testing.T) {
	for response, end := range map[string]retry.End{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok":             retry.Answered,
		"HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n": retry.Busy,
	} {
		c := serve(t, socktest.Respond(response, socktest.Open)).dial()
		recorded := &deadlineRecorder{Conn: c.net}
		c.net = recorded
		out, _ := do(c, request(""), Options{EventStream: true, BeginBy: time.Now().Add(time.Hour)})
		require.Equal(t, end, out.End, out.Detail)
		require.True(t, out.Reusable)
		require.Positive(t, recorded.set)
		require.True(t, recorded.deadline.IsZero())
	}
}

// Guards against a stalled stream that never ends because its upstream sends single
// bytes, comments or blank lines now and then.
func TestOnlyEventsRenewTheProgressTimeout(t *testing.T) {
	for name, filler := range map[string]string{"bytes of an event": "x", "comments": ": still here\n\n", "blank lines": "\n\n"} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, err := io.WriteString(c, streamHead+"\r\nid: 1\ndata: a\n\n")
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = io.WriteString(c, filler)
			}
		})
		out, _ := do(u.dial(), request(""), Options{EventStream: true, ProgressTimeout: 100 * time.Millisecond})
		require.Equal(t, retry.Stalled, out.End, name)
		require.Equal(t, "1", out.LastEventID, name)
	}
}

// Guards against cutting a stream that is slow but sound: its events arrive in
// single bytes, and without a ProgressTimeout the whole stream takes longer than the
// FirstByteTimeout.
func TestSlowStreamIsNotCut(t *testing.T) {
	const (
		first = "id: 1\ndata: a\n\n"
		body  = first + "id: 2\ndata: b\n\n"
		// pause makes the bytes after the first event take longer than firstByteTimeout.
		pause            = 20 * time.Millisecond
		firstByteTimeout = 250 * time.Millisecond
	)
	require.Greater(t, time.Duration(len(body)-len(first))*pause, firstByteTimeout)
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, streamHead+"\r\n")
		for i := range len(body) {
			if i >= len(first) {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(c, body[i:i+1])
		}
	})
	for _, progress := range []time.Duration{0, time.Minute} {
		out, rec := do(u.dial(), request(""), Options{EventStream: true, FirstByteTimeout: firstByteTimeout, ProgressTimeout: progress})
		require.Equal(t, retry.Answered, out.End, out.Detail)
		require.Equal(t, body, rec.body.String())
	}
}
