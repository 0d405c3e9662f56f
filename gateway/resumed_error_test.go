package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against the text or the head of an error in the middle of a stream, and against a
// stream that ends as if it were complete: it had begun and broke off, and the next
// upstream does not go on with it.
func TestErrorOfTheNextUpstreamIsNotPartOfAStream(t *testing.T) {
	const signed = "Rattanspur-Attempt-Id: id-1\r\nRattanspur-Replica-Signature: s\r\n"
	const event = "id: 1\ndata: a\n\n"
	for name, next := range map[string]string{
		"server error":         "HTTP/1.1 500 No\r\n" + signed + "Content-Length: 5\r\n\r\nerror",
		"error without length": "HTTP/1.1 502 No\r\n" + signed + "\r\nerror",
		"error as events":      "HTTP/1.1 500 No\r\n" + signed + "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: error\n\n",
		"client error":         "HTTP/1.1 400 No\r\n" + signed + "Content-Length: 5\r\n\r\nerror",
		"refusal":              "HTTP/1.1 503 No\r\n" + signed + "Rattanspur-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror",
		"plain success":        "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\nerror",
		"no content":           "HTTP/1.1 204 No\r\n" + signed + "\r\n",
		"cut head":             "HTTP/1.1 200 OK\r\n" + signed + "Content-Ty",
		"no answer":            "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := newSource()
			source.put("op/config", configJSON)
			script := func(c net.Conn, r *bufio.Reader) {
				req, _, err := socktest.ReadRequest(r)
				if err != nil {
					return
				}
				answer := next
				if req.Header.Get("Last-Event-Id") == "" {
					answer = "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\n\r\n" + event + "id: 2\nda"
				}
				_, _ = io.WriteString(c, answer)
				socktest.Finish(c, socktest.FIN)
			}
			for i := range 2 {
				source.scripted(t, fmt.Sprint("i-", i), "engine", script)
			}
			g := start(t, source)
			resp, err := g.request(context.Background(), http.MethodPost, "/stream/1", "")
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			require.Error(t, err, "the stream looks complete")
			require.Equal(t, event, string(body))
		})
	}
}
