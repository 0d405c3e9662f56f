package relay

import (
	"errors"
	"io"
	"net/http"

	"rattanspur.example/lib/framing"
)

// ErrMalformedTrailer means that a line after the last chunk of a body is not a field.
var ErrMalformedTrailer = errors.New("trailer of the response has a malformed field")

// CheckTrailer makes the body of a response end with ErrMalformedTrailer in place of io.EOF if
// the name of a field in its trailer is not valid. net/http accepts names with a blank.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerCheck{ReadCloser: resp.Body, response: resp}
	}
}

// trailerCheck is the body of a response that may have a trailer.
type trailerCheck struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader. The trailer is known at the end of the body.
func (c *trailerCheck) Read(b []byte) (int, error) {
	n, err := c.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) && !validNames(c.response.Trailer) {
		return n, ErrMalformedTrailer
	}
	return n, err
}

// validNames reports whether the names of all fields are valid. A field that was announced
// and did not come has no values.
func validNames(h http.Header) bool {
	for name, values := range h {
		if len(values) > 0 && !framing.ValidName(name) {
			return false
		}
	}
	return true
}
