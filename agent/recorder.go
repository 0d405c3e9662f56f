package agent

import (
	"net/http"
	"strings"

	"rattanspur.example/lib/once"
)

// recorder passes a response on and keeps a bounded copy of it. Once the
// reader is gone it only keeps the copy, so that the run goes on.
type recorder struct {
	http.ResponseWriter
	limit    int
	status   int
	header   http.Header
	body     []byte
	overflow bool
	gone     bool
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

// Write implements http.ResponseWriter; it always takes all bytes.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if !r.gone {
		_, err := r.ResponseWriter.Write(p)
		r.gone = err != nil
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

// FlushError is found by http.ResponseController.
func (r *recorder) FlushError() error {
	if !r.gone {
		r.gone = http.NewResponseController(r.ResponseWriter).Flush() != nil
	}
	return nil
}

// answer returns the response, or nil if it was too large to keep. Headers
// between processes of the system belong to one attempt and are left out.
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
