package bodybudget

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrStopped means that a body was not complete when the process stopped.
var ErrStopped = errors.New("the process stops and the body is not complete")

// Limits limits the body of one HTTP request.
type Limits struct {
	// Bytes is the maximum length, and Time the maximum time until the end arrives.
	Bytes int64
	Time  time.Duration
	// Stop ends when bodies that are not complete have to be rejected because the
	// process stops.
	Stop context.Context
}

// ReadRequest reads the body of a request in its handler. Its errors are those of Read
// and ErrStopped. After the former the connection is closed after the response, and
// nothing more is read: net/http would otherwise read up to 256 KiB of the rest.
func (b *Budget) ReadRequest(w http.ResponseWriter, r *http.Request, l Limits) (*Body, error) {
	controller := http.NewResponseController(w)
	interrupt := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
	u := Upload{
		Source: r.Body, Length: r.ContentLength, Limit: l.Bytes, HeaderBytes: headerBytes(r.Header), Interrupt: interrupt,
	}
	if r.ContentLength == 0 {
		body, err := b.Read(r.Context(), u)
		if err != nil {
			// The read that waits for the next request was interrupted, with which
			// net/http cancels the contexts of all further requests of the connection.
			w.Header().Set("Connection", "close")
		}
		return body, err
	}
	_ = controller.SetReadDeadline(time.Now().Add(l.Time))
	ended := interruptAtEnd(l.Stop, interrupt)
	body, err := b.Read(r.Context(), u)
	if ended() {
		body.Release()
		return nil, ErrStopped
	}
	if err != nil {
		interrupt()
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// interruptAtEnd calls interrupt once ctx ends. The function that it returns ends this
// and reports whether it has happened.
func interruptAtEnd(ctx context.Context, interrupt func()) (ended func() bool) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		interrupt()
	})
	return func() bool {
		if stop() {
			return false
		}
		<-done
		return true
	}
}
