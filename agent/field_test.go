package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/framing"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/sock/socktest"
	"rattanspur.example/lib/wire"
)

// Guards against a response with a malformed field that is relayed, with a body that the
// upstream did not frame, also for calls with a key, which use another client.
func TestMalformedFieldOfTheUpstreamIsNotRelayed(t *testing.T) {
	for _, m := range socktest.MalformedHeads("") {
		a := scriptedAgent(t, socktest.Respond(m.Text, socktest.FIN))
		for _, key := range []string{"", "key"} {
			call := testCall(context.Background(), fleet.Digest{1}, "")
			call.meta.Key = key
			require.Equal(t, gate.ConnectionLost, a.sendUpstream(call), m.Name)
			part, err := call.stream.Take(context.Background())
			require.NoError(t, err)
			if m.Body != "" {
				body, err := drain(t, call.stream)
				require.Equal(t, m.Body, body)
				require.ErrorIs(t, err, relay.ErrTruncated, m.Name)
				continue
			}
			require.Equal(t, http.StatusBadGateway, part.Head.Status, m.Name)
			require.Equal(t, string(wire.Unknown), part.Head.Header.Get(wire.HeaderOutcome), m.Name)
		}
	}
}

// Guards against an order, a load report or a health check that counts although the response
// to it has a malformed field.
func TestMalformedFieldOfAnOrderOrReport(t *testing.T) {
	ctx := context.Background()
	for _, m := range socktest.MalformedHeads("") {
		a := scriptedAgent(t, socktest.Respond(m.Text, socktest.FIN))
		err := a.engine.Load(ctx, engine.LoadOrder{})
		require.Error(t, err, m.Name)
		require.NotErrorIs(t, err, engine.ErrRefused, m.Name)
		require.Error(t, a.engine.Probe(ctx, "/health"), m.Name)
	}
}

// Guards against a new connection to the upstream that is used although the head of the load
// report on it is malformed.
func TestMalformedReportOnANewConnection(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}"
	a := scriptedAgent(t, socktest.Respond(report, socktest.Open))
	ctx := context.Background()
	conn, err := sock.DialWith(ctx, &net.Dialer{}, "tcp", strings.TrimPrefix(a.engine.Base(), "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.ErrorIs(t, a.checkConnection(ctx, conn), framing.ErrMalformedHead)
}
