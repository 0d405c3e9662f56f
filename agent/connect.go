package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
)

const (
	// connectTimeout bounds a new connection to the upstream, with its check.
	connectTimeout = 2 * time.Second
	// idleTimeout ends connections to the upstream that are not used.
	idleTimeout = 30 * time.Second
)

// errTurnedCold ends a new connection to an upstream that restarted or turned
// cold and of which the gate does not know it yet.
var errTurnedCold = errors.New("upstream has turned cold since the last health check")

// connected asks the gate whether a new connection may carry calls.
type connected struct {
	bootID string
	warm   bool
	answer *ring.Ring[bool]
}

func (connected) gateEvent() {}

// upstreamClient returns the client for calls. A start of the engine can be
// reached by new connections only, so each new one is checked first: that way
// no call reaches a restarted engine before the gate has returned to cold.
func (a *Agent) upstreamClient() *http.Client {
	transport := &http.Transport{
		DialContext:         a.dialUpstream,
		MaxIdleConnsPerHost: a.settings.MaxCalls,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

// keepRedirect makes a redirect of the upstream an answer for the caller. If
// the agent followed it, the call would leave the upstream that the gate
// counted it for.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (a *Agent) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(limited, network, address)
	if err != nil || a.plain.Load() {
		return conn, err
	}
	if err := a.checkConnection(limited, conn); err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: err}
	}
	return conn, nil
}

// checkConnection reads the load report over a new connection.
func (a *Agent) checkConnection(ctx context.Context, conn net.Conn) error {
	report, err := a.engine.ReportOverConn(ctx, conn)
	if err != nil {
		return err
	}
	answer := ring.New[bool](1, ring.Refuse)
	if err := a.gate.Put(ctx, connected{bootID: report.BootID, warm: report.Warm, answer: answer}); err != nil {
		return err
	}
	same, err := answer.Take(ctx)
	if err == nil && !same {
		err = errTurnedCold
	}
	return err
}
