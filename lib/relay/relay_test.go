package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
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

// Guards against a whole answer that reaches the caller without its end: the server
// writes the end after the handler has returned, and by then the time for the part
// before a long silence is over.
func TestSilenceDoesNotUseUpTheTimeOfTheLastWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStream()
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		written := make(chan error, 1)
		go func() { written <- Write(context.Background(), w, s) }()
		require.NoError(t, s.Put(context.Background(), Part{Head: &Head{Status: http.StatusOK}, Data: []byte("one")}))
		time.Sleep(writeTimeout + time.Second)
		require.NoError(t, s.Put(context.Background(), Part{End: true}))
		require.NoError(t, <-written)
		require.Equal(t, writeTimeout, time.Until(w.deadline))
		time.Sleep(writeTimeout + time.Second)
		require.NoError(t, WriteErrorEvent(w, []byte("{}")))
		require.Equal(t, writeTimeout, time.Until(w.deadline))
	})
}
