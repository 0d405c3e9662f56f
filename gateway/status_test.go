package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// respondOnce returns a script that counts a request, responds to it with the current response
// and closes the connection.
func respondOnce(response *atomic.Pointer[string], attempts *atomic.Int32) socktest.Script {
	return func(c net.Conn, r *bufio.Reader) {
		if _, _, err := socktest.ReadRequest(r); err != nil {
			return
		}
		attempts.Add(1)
		_, _ = io.WriteString(c, *response.Load())
		socktest.Finish(c, socktest.FIN)
	}
}

// Guards against a caller that gets a status which no upstream sent, an empty response, or
// the statement that its request has not run: an upstream answers or refuses a request with
// a spoilt status.
func TestInvalidStatusOfAnUpstream(t *testing.T) {
	const signed = "Rattanspur-Attempt-Id: id-1\r\nRattanspur-Replica-Signature: s\r\n"
	const events = "Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 1\ndata: a\n\n"
	var response atomic.Pointer[string]
	var attempts atomic.Int32
	source := newSource()
	source.put("op/config", configJSON)
	source.scriptedFleet(t, respondOnce(&response, &attempts))
	g := start(t, source)
	for _, status := range socktest.InvalidStatuses() {
		for _, c := range []struct {
			name, path, rest string
			attempts         int32
		}{
			{"answer", "/once/1", "Content-Length: 4\r\n\r\nbody", 1},
			{"refusal", "/once/1", "Rattanspur-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbody", 1},
			{"answer to a safe request", "/read/1", "Content-Length: 4\r\n\r\nbody", 2},
			{"stream", "/stream/1", events, 2},
		} {
			name := fmt.Sprintf("%s with %q", c.name, status)
			text := "HTTP/1.1" + status + "\r\n" + signed + c.rest
			response.Store(&text)
			attempts.Store(0)
			code, body := g.call(http.MethodPost, c.path, "")
			require.Equal(t, http.StatusBadGateway, code, "%s: %s", name, body)
			require.Equal(t, c.attempts, attempts.Load(), name)
		}
	}
}

// Guards against an invalid status that takes the place of a server error which is held for
// the caller, and against a panic on the connection of a stream that goes on.
func TestInvalidStatusAfterAnEarlierResponse(t *testing.T) {
	const signed = "Rattanspur-Attempt-Id: id-1\r\nRattanspur-Replica-Signature: s\r\n"
	const event = "id: 1\ndata: a\n\n"
	for _, status := range socktest.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			var errors atomic.Int32
			script := func(c net.Conn, r *bufio.Reader) {
				req, _, err := socktest.ReadRequest(r)
				if err != nil {
					return
				}
				answer := "HTTP/1.1" + status + "\r\n" + signed + "Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 2\ndata: b\n\n"
				switch {
				case req.URL.Path == "/read/1" && errors.Add(1) == 1:
					answer = "HTTP/1.1 500 No\r\n" + signed + "Content-Length: 5\r\n\r\nerror"
				case req.URL.Path == "/stream/1" && req.Header.Get("Last-Event-Id") == "":
					answer = "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\n\r\n" + event + "id: 2\nda"
				}
				_, _ = io.WriteString(c, answer)
				socktest.Finish(c, socktest.FIN)
			}
			source := newSource()
			source.put("op/config", configJSON)
			for i := range 2 {
				source.scripted(t, fmt.Sprint("d-", i), "desk", script)
				source.scripted(t, fmt.Sprint("e-", i), "engine", script)
			}
			g := start(t, source)
			code, body := g.call(http.MethodPost, "/read/1", "")
			require.Equal(t, http.StatusBadGateway, code, body)
			resp, err := g.request(context.Background(), http.MethodPost, "/stream/1", "")
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			got, err := io.ReadAll(resp.Body)
			require.Error(t, err, "the stream looks complete")
			require.Equal(t, event, string(got))
		})
	}
}
