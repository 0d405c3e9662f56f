package exchange

import (
	"net/http"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/sock"
)

// readHead reads the head of the final response to a request with the given method, past
// any interim responses (1xx). All heads together are bounded by sock.MaxHeadBytes.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.expectHead()
	c.limit.limited, c.limit.left = true, sock.MaxHeadBytes
	defer func() { c.limit.limited = false }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !relay.ValidStatus(resp) {
			return nil, relay.ErrBadStatus
		}
		if !relay.IsInterim(resp.StatusCode) {
			relay.CheckTrailer(resp)
			return resp, nil
		}
	}
}
