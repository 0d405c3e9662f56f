package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// signedFields are the lines by which an upstream signs its response to the tests' requests.
const signedFields = "Rattanspur-Attempt-Id: id-1\r\nRattanspur-Replica-Signature: s\r\n"

// uploadBudget is the memory for bodies of a gateway that takes uploads of
// socktest.UploadBytes.
const uploadBudget = 256 << 20

// earlyUpstreams are upstreams of one gateway that respond to uploads early.
type earlyUpstreams struct {
	*testGateway
	respond  atomic.Pointer[socktest.Early]
	attempts atomic.Int32
}

// startEarly starts a gateway that takes uploads, and upstreams that respond early.
func startEarly(t *testing.T) *earlyUpstreams {
	e := &earlyUpstreams{}
	script := func(c net.Conn, r *bufio.Reader) {
		e.attempts.Add(1)
		socktest.RespondEarly(*e.respond.Load())(c, r)
	}
	source := newSource()
	source.put("op/config", strings.Replace(configJSON, `"max_body_bytes":1000`, fmt.Sprintf(`"max_body_bytes":%d`, socktest.UploadBytes), 1))
	source.scriptedFleet(t, script)
	e.testGateway = startWithBodies(t, source, uploadBudget, func(*Settings) {})
	return e
}

// upload sends a long request to a path and returns the status of the response, how much of
// its body came, and the error with which the connection or the body ended.
func (e *earlyUpstreams) upload(path string, early socktest.Early) (int, string, error) {
	e.respond.Store(&early)
	e.attempts.Store(0)
	resp, err := e.request(context.Background(), http.MethodPost, path, strings.Repeat("x", socktest.UploadBytes))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a part of an answer that a caller gets as the whole one: an upstream
// responds to an upload without a length, and resets the connection while the upload is
// being written. Guards as well against a second run of a request that is not idempotent.
func TestResetDuringAnUploadReachesTheCaller(t *testing.T) {
	e := startEarly(t)
	n := 0
	for _, response := range socktest.UndelimitedResponses(signedFields) {
		for _, path := range []string{"/once/", "/read/", "/stream/"} {
			for _, early := range []socktest.Early{{}, {Read: 300 << 10, Pause: 5 * time.Millisecond}, {Pause: 150 * time.Millisecond}} {
				n++
				early.Response, early.End = response.Text, socktest.RST
				status, body, err := e.upload(fmt.Sprint(path, n), early)
				name := fmt.Sprintf("%s%d, %s: status %d, body %q", path, n, response.Name, status, body)
				if err == nil {
					require.Equal(t, http.StatusBadGateway, status, name)
				}
				if path == "/once/" {
					require.EqualValues(t, 1, e.attempts.Load(), name)
				}
				if path == "/once/" && response.Body == "" {
					require.Equal(t, http.StatusBadGateway, status, name)
				}
			}
		}
	}
}

// Guards against a whole answer that does not reach the caller: the upstream responds before
// it has read the upload, ends its side in order, and reads on or resets the connection.
func TestEarlyAnswerToAnUploadReachesTheCaller(t *testing.T) {
	e := startEarly(t)
	for _, end := range []socktest.End{socktest.Lingering, socktest.LateRST} {
		for i, response := range socktest.UndelimitedResponses(signedFields) {
			answered := make(chan struct{})
			status, body, err := e.upload(fmt.Sprint("/once/", i), socktest.Early{Response: response.Text, End: end, Until: answered})
			close(answered)
			name := fmt.Sprintf("%s, %s", response.Name, end)
			require.NoError(t, err, name)
			require.Equal(t, response.Status, status, name)
			require.Equal(t, response.Body, body, name)
			require.EqualValues(t, 1, e.attempts.Load(), name)
		}
	}
}
