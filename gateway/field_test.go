package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against a caller that gets a body which its upstream did not frame, or a response of
// which a line is no field: an upstream answers with a malformed head. Guards as well against a
// second run of a request that is not idempotent.
func TestMalformedFieldOfAnUpstream(t *testing.T) {
	var response atomic.Pointer[string]
	var attempts atomic.Int32
	source := newSource()
	source.put("op/config", configJSON)
	source.scriptedFleet(t, respondOnce(&response, &attempts))
	g := start(t, source)
	for n, m := range socktest.MalformedHeads(signedFields) {
		for _, path := range []string{"/once/", "/read/", "/stream/"} {
			name := path + m.Name
			text := m.Text
			if path == "/stream/" {
				text = strings.Replace(text, signedFields, signedFields+"Content-Type: text/event-stream\r\n", 1)
				text = strings.ReplaceAll(text, "body", ": 1\n")
			}
			response.Store(&text)
			attempts.Store(0)
			resp, err := g.request(context.Background(), http.MethodPost, fmt.Sprint(path, n), "")
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if m.Body == "" || err == nil {
				require.NoError(t, err, name)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, name)
			}
			if path == "/once/" {
				require.EqualValues(t, 1, attempts.Load(), name)
			}
		}
	}
}
