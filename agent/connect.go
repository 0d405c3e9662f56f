package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/sock"
)

const (
	// connectTimeout bounds the dial of a connection to the upstream and its
	// check together.
	connectTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection to the upstream is
	// closed.
	idleTimeout = 30 * time.Second
)

// errBecameCold rejects a new connection to an upstream that restarted or became
// cold since the gate's last health check.
var errBecameCold = errors.New("upstream has become cold since the last health check")

// connectionCheck asks the gate whether a new connection may be used for calls.
type connectionCheck struct {
	bootID string
	warm   bool
	reply  *ring.Ring[bool]
}

func (connectionCheck) gateEvent() {}

// upstreamClient returns the client for calls. A restarted engine is reached by
// new connections only, so each new connection is checked first. That way no call
// reaches a restarted engine before the gate treats it as cold.
func (a *Agent) upstreamClient() *http.Client {
	transport := relay.NewTransport(&http.Transport{
		MaxResponseHeaderBytes: sock.MaxHeadBytes,
		DialContext:            a.dialUpstream,
		MaxIdleConnsPerHost:    a.settings.MaxCalls,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	})
	return &http.Client{Transport: transport, CheckRedirect: returnRedirect}
}

// returnRedirect implements http.Client.CheckRedirect. It returns a redirect of
// the upstream to the caller. If the agent followed it, the call would leave the
// upstream for which the gate counts it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (a *Agent) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := sock.DialWith(limited, &net.Dialer{}, network, address)
	if err != nil {
		return nil, err
	}
	if a.plain.Load() {
		return conn, nil
	}
	if err := a.checkConnection(limited, conn); err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: err}
	}
	return conn, nil
}

// checkConnection reads the load report over a new connection and asks the gate
// whether it matches the last health check.
func (a *Agent) checkConnection(ctx context.Context, conn *sock.Conn) error {
	conn.ExpectHead()
	report, err := a.engine.ReportOverConn(ctx, conn)
	if err != nil {
		return err
	}
	reply := ring.New[bool](1, ring.Refuse)
	if err := a.gateEvents.Put(ctx, connectionCheck{bootID: report.BootID, warm: report.Warm, reply: reply}); err != nil {
		return err
	}
	allowed, err := reply.Take(ctx)
	if err == nil && !allowed {
		err = errBecameCold
	}
	return err
}
