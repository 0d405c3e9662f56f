package agent

import (
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/once"
)

// recorder is a response writer that also keeps a copy of the response, up to
// limit bytes. After the client has disconnected it only keeps the copy, so that
// the run continues.
type recorder struct {
	http.ResponseWriter
	limit        int
	status       int
	header       http.Header
	body         []byte
	overflow     bool
	disconnected bool
}

func newRecorder(w http.ResponseWriter, limit int) *recorder {
	return &recorder{ResponseWriter: w, limit: limit}
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	r.header = r.Header().Clone()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It never returns an error.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if !r.disconnected {
		_, err := r.ResponseWriter.Write(p)
		r.disconnected = err != nil
	}
	if len(r.body)+len(p) > r.limit {
		r.overflow = true
		r.body = nil
	}
	if !r.overflow {
		r.body = append(r.body, p...)
	}
	return len(p), nil
}

// SetWriteDeadline sets the deadline of writes for http.ResponseController. Without
// it, a client that accepts no bytes would stop the run.
func (r *recorder) SetWriteDeadline(t time.Time) error {
	return http.NewResponseController(r.ResponseWriter).SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads for http.ResponseController.
func (r *recorder) SetReadDeadline(t time.Time) error {
	return http.NewResponseController(r.ResponseWriter).SetReadDeadline(t)
}

// FlushError flushes the response for http.ResponseController. It never returns
// an error.
func (r *recorder) FlushError() error {
	if !r.disconnected {
		r.disconnected = http.NewResponseController(r.ResponseWriter).Flush() != nil
	}
	return nil
}

// answer returns the recorded response, or nil if it is larger than the limit or
// was never started. It omits the internal headers, which belong to one attempt,
// and Date.
func (r *recorder) answer() *once.Answer {
	if r.overflow || r.status == 0 {
		return nil
	}
	for name := range r.header {
		if strings.HasPrefix(name, "Rattanspur-") {
			r.header.Del(name)
		}
	}
	r.header.Del("Date")
	return &once.Answer{Status: r.status, Header: r.header, Body: r.body}
}
