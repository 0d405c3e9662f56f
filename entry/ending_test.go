package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/wire"
)

// Guards against a stream of known length that ends inside an event and reaches the
// caller as a complete one, although no byte has been passed on and another attempt
// can be made.
func TestShortStreamThatEndsInsideAnEventIsRetried(t *testing.T) {
	var attempts atomic.Int32
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		w.Header().Set("Content-Type", "text/event-stream")
		body := "data: one\n\ndata: two\n\n"
		if attempts.Add(1) == 1 {
			body = "data: one\n\ndata: two\n"
		}
		_, _ = io.WriteString(w, body)
	})
	e := startEntry(t, nil, agent)
	resp := e.post(chatPath, "counter", chat("x"))
	require.NoError(t, resp.err)
	require.Equal(t, "data: one\n\ndata: two\n\n", resp.body)
	require.EqualValues(t, 2, attempts.Load())
}

// Guards against an answer that broke off, or that never came, and looks complete to
// a caller that uses HTTP/1.0 or has closed its sending side.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	release := make(chan struct{})
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		if r.URL.Path == wire.CallPath+"/bookings/silent" {
			<-release
			return
		}
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = io.WriteString(w, strings.Repeat("half", 16<<10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	t.Cleanup(func() { close(release) })
	e := startEntry(t, nil, agent)
	for _, c := range []struct {
		proto, path string
		halfClose   bool
	}{
		{"HTTP/1.1", "/bookings/half", false},
		{"HTTP/1.0", "/bookings/half", false},
		{"HTTP/1.1", "/bookings/silent", true},
		{"HTTP/1.0", "/bookings/silent", true},
	} {
		conn, err := net.Dial("tcp", e.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer counter\r\n\r\n", c.path, c.proto)
		require.NoError(t, err)
		if c.halfClose {
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && c.halfClose && resp.StatusCode >= http.StatusBadRequest {
			// A problem is complete: it states that the request was not run or that
			// its outcome is unknown.
			continue
		}
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		assert.Error(t, err, c)
	}
}
