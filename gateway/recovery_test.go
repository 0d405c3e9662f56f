package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one request that makes the core panic and thereby ends the process,
// or that takes down the requests beside it: a stream in progress is passed on to its
// end, and later requests are served.
func TestPanicOfTheCoreEndsOneRequest(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	panicked := make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
		<-panicked
		writeEvent(w, 2)
	})
	source.upstream(t, "i-2", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	var faulty atomic.Bool
	g := startWithRandom(t, source, func(int) int {
		if faulty.Swap(false) {
			panic("fault of the test")
		}
		return 0
	})
	stream, err := g.request(context.Background(), http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	defer func() { _ = stream.Body.Close() }()
	faulty.Store(true)
	status, _ := g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, uint64(1), g.gateway.metrics.panics.Get())
	close(panicked)
	body, err := io.ReadAll(stream.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", string(body))
	status, answer := g.call(http.MethodPost, "/once/2", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", answer)
}
