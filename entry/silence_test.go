package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

// Guards against a call that is given up without waiting for capacity because its
// first attempt took longer than calls may wait.
func TestTimeOfAnAttemptIsNoWaitingTime(t *testing.T) {
	var attempts atomic.Int32
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if attempts.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(300 * time.Millisecond)
			crash(w)
			return
		}
		echo(w, r, meta)
	})
	e := startEntry(t, func(s *settings.Entry) { s.QueueWait = 200 * time.Millisecond }, agent)
	resp := e.post("/bookings/list", "counter", "{}")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
}
