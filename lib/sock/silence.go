package sock

import (
	"context"
	"errors"
	"io"
	"time"
)

// MaxSilence is how long a peer may send nothing before a request that can be sent again
// is given up. A sound process may be silent for 2 s and go on.
const MaxSilence = 3500 * time.Millisecond

// ErrSilent is the cause of the end of a request whose peer sent nothing for too long.
var ErrSilent = errors.New("the peer sends nothing")

// Silence ends a request once its peer sends nothing for MaxSilence. It is used by the
// goroutine that reads the response.
type Silence struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WatchSilence returns a context that ends with ErrSilent as its cause once the peer sends
// nothing for MaxSilence. Stop must be called once the response has been read.
func WatchSilence(ctx context.Context) (context.Context, *Silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Silence{timer: time.AfterFunc(MaxSilence, func() { cancel(ErrSilent) }), cancel: cancel}
}

// Reader returns a reader of the response that counts everything that arrives as a sign of
// the peer.
func (s *Silence) Reader(body io.Reader) io.Reader { return &silenceReader{silence: s, body: body} }

// Stop ends the watch and its context.
func (s *Silence) Stop() {
	s.timer.Stop()
	s.cancel(nil)
}

type silenceReader struct {
	silence *Silence
	body    io.Reader
}

func (r *silenceReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		r.silence.timer.Reset(MaxSilence)
	}
	return n, err
}
