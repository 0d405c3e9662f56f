package exchange

import (
	"bufio"
	"io"
	"net"
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
	out, _ = do(serveText(streamHead+"\r\nid: 1\ndata: a\n\n"), request(""), in(time.Minute))
	require.Equal(t, retry.Stalled, out.End, "it stopped after it had begun")
	out, _ = do(serveText(""), request(""), in(-time.Hour))
	require.Equal(t, retry.NotBegun, out.End)
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
	const body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, streamHead+"\r\n")
		for i := range len(body) {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, body[i:i+1])
		}
	})
	for _, progress := range []time.Duration{0, time.Minute} {
		out, rec := do(u.dial(), request(""), Options{EventStream: true, FirstByteTimeout: 250 * time.Millisecond, ProgressTimeout: progress})
		require.Equal(t, retry.Answered, out.End, out.Detail)
		require.Equal(t, body, rec.body.String())
	}
}
