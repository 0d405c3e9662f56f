package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/sock/socktest"
	"rattanspur.example/lib/wire"
)

// Guards against a response with a spoilt status that is relayed, that breaks off the
// response of the agent, or that counts as a call that was not run, also for calls with a
// key, which use another client.
func TestInvalidStatusOfTheUpstreamIsNotRelayed(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		a := scriptedAgent(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 4\r\n\r\nbody", socktest.FIN))
		for _, key := range []string{"", "key"} {
			call := testCall(context.Background(), fleet.Digest{1}, "")
			call.meta.Key = key
			require.Equal(t, gate.ConnectionLost, a.sendUpstream(call), "%q, key %q", status, key)
			part, err := call.stream.Take(context.Background())
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, part.Head.Status, status)
			require.Equal(t, string(wire.Unknown), part.Head.Header.Get(wire.HeaderOutcome), status)
		}
	}
}

// Guards against an upstream that holds a call, and memory, with interim responses without
// end.
func TestInterimResponsesOfTheUpstreamWithoutEnd(t *testing.T) {
	a := scriptedAgent(t, func(c net.Conn, r *bufio.Reader) {
		_, _, err := socktest.ReadRequest(r)
		for err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		}
	})
	call := testCall(context.Background(), fleet.Digest{}, "")
	require.Equal(t, gate.ConnectionLost, a.sendUpstream(call))
	part, err := call.stream.Take(context.Background())
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, part.Head.Status)
}

// Guards against an order that counts as refused, so that its weights are freed and the
// next order follows at once, although the engine may carry it out: only the status of its
// response is spoilt.
func TestOrderWithAnInvalidStatusMayBeInProgress(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		a := scriptedAgent(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 2\r\n\r\n{}", socktest.FIN))
		err := a.engine.Load(context.Background(), engine.LoadOrder{})
		require.Error(t, err, status)
		require.NotErrorIs(t, err, engine.ErrRefused, status)
		require.NotErrorIs(t, err, engine.ErrFenced, status)
	}
}

// Guards against an upstream that counts as healthy although the status of its response to
// the health check is spoilt. 304 is left out: a GET may be answered with it, and any status
// below 500 counts as healthy.
func TestInvalidStatusIsNotHealthy(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		if strings.HasPrefix(status, " 304") {
			continue
		}
		a := scriptedAgent(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 2\r\n\r\n{}", socktest.FIN))
		require.Error(t, a.engine.Probe(context.Background(), "/health"), status)
	}
}
