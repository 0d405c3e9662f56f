package relay

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"rattanspur.example/lib/framing"
	"rattanspur.example/lib/sock"
)

// Transport is an http.Transport that accepts only responses whose heads and trailers are well
// formed and whose status is valid; see sock.Conn and ValidStatus. net/http itself accepts any
// three digits, and blanks in the names of fields.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of an http.Transport, whose DialContext
// should return connections of type *sock.Conn, or with it embedded. If it has none, it gets
// the dialer that net/http uses then. Over other connections, TLS among them, only the parsed
// names of fields are checked.
func NewTransport(t *http.Transport) Transport {
	if t.DialContext == nil {
		t.DialContext = sock.Dialer(&net.Dialer{})
		// net/http offers HTTP/2 over TLS only without a dialer, unless it is told to.
		t.ForceAttemptHTTP2 = true
	}
	return Transport{Transport: t}
}

// headChecker is a connection that checks the heads of the responses that it carries.
type headChecker interface{ ExpectHead() }

// RoundTrip implements http.RoundTripper. It returns ErrBadStatus for a response whose
// status is not valid, and framing.ErrMalformedHead for one with a malformed field; the
// request may have been run.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	checked := false
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		var c headChecker
		if c, checked = info.Conn.(headChecker); checked {
			c.ExpectHead()
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	switch {
	case !ValidStatus(resp):
		err = ErrBadStatus
	case !checked && !validNames(resp.Header):
		err = framing.ErrMalformedHead
	default:
		CheckTrailer(resp)
		return resp, nil
	}
	_ = resp.Body.Close()
	// net/http keeps the connection if the status is one without content. The content would
	// be taken for the response to the next request.
	t.CloseIdleConnections()
	return nil, err
}
