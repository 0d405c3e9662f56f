package relay

import (
	"errors"
	"net/http"
)

// ErrBadStatus means that the status of a response cannot be the one that was sent; see
// ValidStatus.
var ErrBadStatus = errors.New("status of the response is not valid")

// The range of the status codes that HTTP/1.1 defines (RFC 9110, 15).
const (
	minStatusCode = 100
	maxStatusCode = 599
)

// ValidStatus reports whether the status of a response can be the one that was sent. A
// response that has no content by its status (1xx, 204, 205) states none in its header
// either (RFC 9110, 8.6 and 15.3.6): if it does, the status is wrong, and relaying it would
// turn the response into an empty one. A 304 may state the content that it leaves out, but
// responds only to GET and HEAD (RFC 9110, 15.4.5). An upgrade (101) is never requested.
func ValidStatus(resp *http.Response) bool {
	status := resp.StatusCode
	switch {
	case status < minStatusCode, status > maxStatusCode, status == http.StatusSwitchingProtocols:
		return false
	case IsInterim(status):
		return !statesContent(resp) && resp.Header.Get("Content-Length") == ""
	case status == http.StatusNoContent, status == http.StatusResetContent:
		return !statesContent(resp)
	case status == http.StatusNotModified:
		return mayBeNotModified(resp.Request) || !statesContent(resp)
	}
	return true
}

// mayBeNotModified reports whether the method of a request permits a 304. A request that is
// not known counts as GET, as in http.ReadResponse.
func mayBeNotModified(r *http.Request) bool {
	return r == nil || r.Method == "" || r.Method == http.MethodGet || r.Method == http.MethodHead
}

// IsInterim reports whether another response to the same request follows one with a status.
func IsInterim(status int) bool { return status < http.StatusOK }

// statesContent reports whether the header of a response says that content follows.
func statesContent(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}
