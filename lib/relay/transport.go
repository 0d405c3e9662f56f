package relay

import "net/http"

// Transport is an http.Transport that accepts only responses whose status is valid; see
// ValidStatus. net/http itself accepts any three digits.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. It returns ErrBadStatus for a response whose
// status is not valid; the request may have been run.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil || ValidStatus(resp) {
		return resp, err
	}
	_ = resp.Body.Close()
	// net/http keeps the connection if the status is one without content. The content would
	// be taken for the response to the next request.
	t.CloseIdleConnections()
	return nil, ErrBadStatus
}
