package sock

import "net/http"

// Abort ends the response of a handler so that the peer does not take it for
// complete. It does not return. A peer that reads chunks or knows the length of the
// response notices the missing end. An HTTP/1.0 peer takes the end of the connection
// for the end of a body without a length, so its connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}
