package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/wire"
)

// runForwarder carries one attempt after the other; the number of forwarders
// bounds the calls in flight.
func (e *Entry) runForwarder(ctx context.Context) error {
	for {
		a, err := e.attempts.Take(ctx)
		if err != nil {
			return nil
		}
		outcome, detail := e.forward(a)
		if e.inbox.Put(ctx, ended{attempt: a, outcome: outcome, detail: detail}) != nil {
			return nil
		}
	}
}

// forward sends one attempt to its agent and passes the response on. NotRun is
// returned only if the agent said so or if no connection was made.
func (e *Entry) forward(a attempt) (wire.Outcome, string) {
	req, err := e.request(a)
	if err != nil {
		return wire.NotRun, err.Error()
	}
	resp, err := e.agents.Do(req)
	if err != nil {
		return lostOutcome(err), err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	switch outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome)); outcome {
	case wire.Ran:
		return e.pass(a, resp)
	case wire.NotRun:
		return wire.NotRun, resp.Status
	default:
		return wire.Unknown, resp.Status
	}
}

func (e *Entry) request(a attempt) (*http.Request, error) {
	c := a.call
	url := "http://" + a.upstream.Address + wire.CallPath + c.path
	req, err := http.NewRequestWithContext(c.ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.Header = relay.PassHeader(c.header)
	if deadline, ok := c.ctx.Deadline(); ok {
		a.meta.Deadline = time.Until(deadline)
	}
	wire.Keys(e.settings.PeerKeys).Sign(req.Header)
	return req, wire.SetCall(req.Header, &a.meta)
}

// lostOutcome tells a connection that was never made from an answer that was lost.
func lostOutcome(err error) wire.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return wire.NotRun
	}
	return wire.Unknown
}

func (e *Entry) pass(a attempt, resp *http.Response) (wire.Outcome, string) {
	s := a.call.stream
	head := &relay.Head{Status: resp.StatusCode, Header: relay.PassHeader(resp.Header)}
	if err := s.Put(a.call.ctx, relay.Part{Head: head}); err != nil {
		return wire.Ran, err.Error()
	}
	end := relay.Part{End: true}
	detail := ""
	if err := relay.ReadBody(a.call.ctx, resp.Body, s); err != nil {
		end.Err = relay.ErrCut
		detail = err.Error()
	}
	_ = s.Put(a.call.ctx, end)
	return wire.Ran, detail
}
