package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlineWriter is a response writer that records its write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// Guards against a run with a key or token that never ends, because the connection of
// its entry accepts no bytes and writes to it have no deadline.
func TestRecorderPassesWriteDeadlineOn(t *testing.T) {
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	deadline := time.Unix(1_700_000_000, 0)
	require.NoError(t, http.NewResponseController(newRecorder(w, 1)).SetWriteDeadline(deadline))
	require.Equal(t, deadline, w.deadline)
}
