package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

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
