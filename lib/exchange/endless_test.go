package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock/socktest"
)

// serveEndless returns an upstream that sends a head and then a body without end, until its
// connection is closed.
func serveEndless(t *testing.T, head string) *upstream {
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("a", 4096))
		}
	})
}

// Guards against a body without end that keeps an upstream's slot and its caller
// beyond the timeouts, or that is held in memory.
func TestBodyWithoutEnd(t *testing.T) {
	refusal := serveEndless(t, "HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\n\r\n")
	out, _ := do(refusal.dial(), request(""), Options{})
	require.Equal(t, retry.Busy, out.End)
	require.False(t, out.Reusable)

	failure := serveEndless(t, "HTTP/1.1 500 No\r\nId: 1\r\n\r\n")
	out, _ = do(failure.dial(), request(""), Options{FirstByteTimeout: 200 * time.Millisecond, HoldServerErrors: true})
	require.Equal(t, retry.Stalled, out.End, "the caller must not take what arrived for the whole body")
	require.Nil(t, out.Held)

	event := serveEndless(t, streamHead+"\r\n")
	out, rec := do(event.dial(), request(""), Options{EventStream: true, FirstByteTimeout: time.Minute})
	require.Equal(t, retry.Lost, out.End)
	require.Contains(t, out.Detail, "larger than the limit")
	require.Zero(t, rec.parts)
}

// Guards against a request that was refused, or whose answer belongs to another one, and that
// is held until its deadline by a body without end, although it could go on elsewhere.
func TestUnusedBodyWithoutEndIsNotReadToItsEnd(t *testing.T) {
	// net/http reads the body of a closed response to its end only if the head states one.
	const long = "Content-Length: 1099511627776\r\n\r\n"
	for start, end := range map[string]retry.End{
		"HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\n\r\n":     retry.Busy,
		"HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\n" + long:  retry.Busy,
		"HTTP/1.1 421 No\r\nId: 1\r\nNot-Run: 1\r\n" + long:  retry.Refused,
		"HTTP/1.1 200 OK\r\nId: 2\r\n" + long:                retry.Mismatched,
		"HTTP/1.1 200 OK\r\nId: 1\r\nUnsigned: 1\r\n" + long: retry.Mismatched,
	} {
		u := serveEndless(t, start)
		// Without a limit the exchange would last for as long as this context.
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		out := Do(ctx, u.dial(), request(""), head, &recorder{}, Options{FirstByteTimeout: time.Minute})
		require.NoError(t, ctx.Err(), start)
		cancel()
		require.Equal(t, end, out.End, start)
		require.False(t, out.Reusable, start)
	}
}

// Guards against a connection with a rest of a refusal that is used for the next request.
func TestConnectionOfALongRefusalIsNotReused(t *testing.T) {
	for _, length := range []int{maxHeldBytes, maxHeldBytes + 1, 2 * maxHeldBytes} {
		body := strings.Repeat("a", length)
		u := serve(t, socktest.Respond(framed(withLength, "503 No", "text/plain\r\nNot-Run: 1", body), socktest.Open))
		out, _ := do(u.dial(), request(""), Options{})
		require.Equal(t, retry.Busy, out.End)
		require.Equal(t, length <= maxHeldBytes, out.Reusable, "%d bytes", length)
	}
}
