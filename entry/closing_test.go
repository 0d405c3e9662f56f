package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

// Guards against a caller's connection that is closed without a whole answer and
// leaves no trace of the reason.
func TestClosedConnectionsAreCountedByReason(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		switch {
		case strings.HasSuffix(r.URL.Path, "/lost"):
			panic(http.ErrAbortHandler)
		case strings.HasSuffix(r.URL.Path, "/large"):
			_, _ = w.Write(make([]byte, 4096))
		default:
			<-r.Context().Done()
		}
	})
	e := startEntry(t, func(s *settings.Entry) {
		s.MaxStreamBytes, s.ProgressTimeout = 2048, 200*time.Millisecond
	}, agent)
	for _, path := range []string{"lost", "large", "silent"} {
		require.Error(t, e.post("/bookings/"+path, "counter", "{}").err)
	}
	conn, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /bookings/left HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer counter\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	for _, reason := range []closeReason{closeLost, closeTooLarge, closeSilent, closeCallerLeft} {
		e.awaitMetric(fmt.Sprintf("rattanspur_entry_connections_closed_total{reason=%q} 1", reason))
	}
}

// awaitMetric waits until a line is among the metrics.
func (e *testEntry) awaitMetric(line string) {
	require.Eventually(e.t, func() bool {
		resp, err := e.client.Get("http://" + e.address + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(body), line+"\n")
	}, testTimeout, 5*time.Millisecond, line)
}

// Guards against log lines without the reason, and against a panic of a handler that
// is not recorded or swallowed.
func TestReasonOfAClosedConnectionIsLogged(t *testing.T) {
	var lines bytes.Buffer
	e := New(testSettings("127.0.0.1:1", "", ""), log.NewLogfmtLogger(&lines))
	r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		defer e.recordPanic("r1")
		e.closeConnection(httptest.NewRecorder(), r, &call{id: "r1"}, closeSilent, errStalled)
	})
	require.PanicsWithValue(t, "fault", func() {
		defer e.recordPanic("r2")
		panic("fault")
	})
	require.Contains(t, lines.String(), "request=r1 reason=silent")
	require.Contains(t, lines.String(), "request=r2 reason=panic err=fault")
	require.Equal(t, 2, strings.Count(lines.String(), "\n"))
}

// Guards against a wrong reason: the error of the response is known, or the context
// under which it was written says why.
func TestCloseReason(t *testing.T) {
	stopped, cancel := context.WithCancelCause(context.Background())
	cancel(errStopping)
	ctx := context.Background()
	require.Equal(t, closeTooLarge, closeReasonOf(ctx, truncated(ctx, 0, errResponseTooLarge)))
	require.Equal(t, closeStopping, closeReasonOf(ctx, truncated(stopped, 0, context.Canceled)))
	require.Equal(t, closeStopping, closeReasonOf(stopped, context.Canceled))
	require.Equal(t, closeTimedOut, closeReasonOf(ctx, context.DeadlineExceeded))
	require.Equal(t, closeWriteFailed, closeReasonOf(ctx, errors.New("broken pipe")))
	require.ErrorIs(t, truncated(ctx, 0, io.EOF), relay.ErrTruncated)
}

// Guards against a caller that leaves before its call is queued, as on a busy machine, and whose
// connection is counted under no reason.
func TestCallerThatLeavesBeforeItsCallIsQueued(t *testing.T) {
	e := New(testSettings("", "", ""), log.NewNopLogger())
	ctx, leave := context.WithCancel(context.Background())
	leave()
	const calls = 32
	for range calls {
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/bookings/left", http.NoBody)
		require.PanicsWithValue(t, http.ErrAbortHandler, func() { e.serveCall(httptest.NewRecorder(), r) })
	}
	var metrics strings.Builder
	e.metrics.set.WritePrometheus(&metrics)
	require.Contains(t, metrics.String(), fmt.Sprintf("rattanspur_entry_connections_closed_total{reason=%q} %d\n", closeCallerLeft, calls))
}
