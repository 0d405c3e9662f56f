package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
	"rattanspur.example/lib/wire"
)

// Guards against a caller that gets a body which its agent did not frame, or a response of
// which a line is no field, and against a second run of the call: an agent answers with a
// malformed head. A call with a token has another client; it is sent again, which takes time,
// so that it is tried with few of them.
func TestMalformedFieldOfAnAgent(t *testing.T) {
	var current atomic.Pointer[string]
	var attempts atomic.Int32
	agent := socktest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		req, _, err := socktest.ReadRequest(r)
		if err != nil {
			return
		}
		meta, err := wire.GetCall(req.Header)
		if err != nil {
			return
		}
		attempts.Add(1)
		_, _ = io.WriteString(c, strings.ReplaceAll(*current.Load(), "ATTEMPT", meta.AttemptID()))
	})
	e := startEntry(t, nil, agent)
	for n, m := range socktest.MalformedHeads(earlyFields) {
		for _, headers := range [][]string{nil, {wire.HeaderToken, tokenOf(t, "bookings-0")}} {
			expected := int32(1)
			if headers != nil {
				expected += maxResends
			}
			if headers != nil && (n%20 != 0 || m.Body != "") {
				continue
			}
			current.Store(&m.Text)
			attempts.Store(0)
			resp := e.post(fmt.Sprintf("%s/%d", oncePath, n), "counter", "x", headers...)
			if m.Body != "" && resp.err != nil {
				continue
			}
			require.NoError(t, resp.err, m.Name)
			require.Equal(t, http.StatusBadGateway, resp.status, m.Name)
			require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome, m.Name)
			require.Equal(t, expected, attempts.Load(), m.Name)
		}
	}
}
