package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against a caller that is told that its request has not run although it runs, and
// against a second run: a faulty upstream writes the refusal of a request once more when
// the request comes again on the same connection, and the gateway takes it for the answer.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	var runs atomic.Int32
	var refused atomic.Bool
	script := func(c net.Conn, r *bufio.Reader) {
		refusal := ""
		for {
			req, _, err := socktest.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Rattanspur-Attempt-Id")
			if refusal != "" {
				runs.Add(1)
				_, _ = io.WriteString(c, refusal)
				continue
			}
			if runs.Load() == 0 && refused.CompareAndSwap(false, true) {
				refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRattanspur-Not-Executed: 1\r\nRattanspur-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
				_, _ = io.WriteString(c, refusal)
				continue
			}
			runs.Add(1)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRattanspur-Attempt-Id: %s\r\nRattanspur-Replica-Signature: s\r\nContent-Length: 2\r\n\r\nok", id)
		}
	}
	source.scripted(t, "i-1", "desk", script)
	g := start(t, source)
	status, body := g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
	require.Equal(t, int32(1), runs.Load())
}
