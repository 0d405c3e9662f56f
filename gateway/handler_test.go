package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/retry"
)

// Guards against requests that are sent on although their callers have left: a gateway
// that was paused reads all of them when it resumes.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	source := newSource()
	source.put("op/config", configJSON)
	g := start(t, source)
	conn, err := exchange.Dial(context.Background(), listener.Addr().String())
	require.NoError(t, err)
	upstream, err := listener.Accept()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &callHandler{gateway: g.gateway, r: httptest.NewRequestWithContext(ctx, http.MethodPost, "/read/x", nil)}
	run := c.newRun(&dispatch.Send{Deadline: time.Now().Add(time.Minute)}, &command{ctx: ctx, conn: conn}, received{})
	run.execute()
	require.Equal(t, retry.Canceled, run.outcome.End)
	require.Same(t, conn, run.conn, "the connection can carry another request")
	conn.Close()
	n, err := upstream.Read(make([]byte, 1))
	require.Zero(t, n, "part of the request arrived")
	require.Error(t, err)
}

// Guards against an upstream that counts as unreachable because a hedge was overtaken while it
// connected.
func TestOvertakenHedgeSaysNothingOfItsUpstream(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	g := start(t, source)
	c := &callHandler{gateway: g.gateway, r: httptest.NewRequest(http.MethodPost, "/read/x", nil)}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errOvertaken)
	run := c.newRun(&dispatch.Send{Address: "127.0.0.1:1", Deadline: time.Now().Add(time.Minute)}, &command{ctx: ctx, cancel: cancel}, received{})
	run.execute()
	require.Equal(t, retry.Canceled, run.outcome.End)
}
