package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// resends bounds how often a call is sent again after a lost answer.
	resends = 3
	// firstDelay is the time before the first resend; it doubles each time.
	firstDelay = 50 * time.Millisecond
	// tokenTimeout bounds one question for a token.
	tokenTimeout = time.Second
	// answerMargin is the part of a call's time that is kept for telling the
	// caller that the outcome is unknown.
	answerMargin = 500 * time.Millisecond
	// maxProblemBytes bounds a problem read from an agent.
	maxProblemBytes = 64 << 10
)

// errOtherAttempt says that an answer does not name the attempt it belongs to.
var errOtherAttempt = errors.New("answer belongs to another attempt")

// newBoundClient returns the client for calls that are bound to one agent.
// Each takes a new connection, so that net/http never sends one again by
// itself, which it does on reused connections for requests with an
// Idempotency-Key. Redirects are not followed.
func newBoundClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: connectTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// runCourier carries out one errand after the other.
func (e *Entry) runCourier(ctx context.Context) error {
	for {
		x, err := e.once.errands.Take(ctx)
		if err != nil {
			return nil
		}
		limited, cancel := withMargin(x.call.ctx)
		if x.token != nil {
			e.obtainToken(limited, x)
		} else {
			e.carryBound(limited, x)
		}
		cancel()
	}
}

func withMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerMargin))
}

// obtainToken asks one agent after the other. Asking again is harmless: a
// token that nobody uses expires.
func (e *Entry) obtainToken(ctx context.Context, x errand) {
	var lastErr error
	for _, agent := range x.agents {
		limited, cancel := context.WithTimeout(ctx, tokenTimeout)
		var out wire.TokenResponse
		lastErr = e.node.Peers().PostJSON(limited, agent.Address, wire.PathToken, x.token, &out)
		cancel()
		if lastErr != nil {
			continue
		}
		body, err := json.Marshal(out)
		if err != nil {
			lastErr = err
			continue
		}
		h := http.Header{"Content-Type": {"application/json"}}
		_ = x.call.stream.Put(ctx, relay.Part{Head: &relay.Head{Status: http.StatusOK, Header: h}, Data: body, End: true})
		return
	}
	answerBound(x.call.ctx, x.call, boundNotRun(x.call, http.StatusServiceUnavailable, lastErr.Error()))
}

// carryBound sends a call to its one agent, again only after a lost answer.
// Once an answer was lost, a refusal of a later attempt says nothing of the
// earlier one, which may still arrive or may have run; so the caller is told
// that the request was not run only if no attempt came before the refusal.
func (e *Entry) carryBound(ctx context.Context, x errand) {
	agent := x.agents[0]
	var lost error
	delay := firstDelay
	for x.meta.Attempt = 1; ; x.meta.Attempt++ {
		p, err := e.sendBound(ctx, x, agent)
		switch {
		case p == nil && err == nil:
			return
		case p != nil && lost == nil:
			e.refuseBound(x, agent, p)
			return
		case err != nil:
			lost = err
		}
		if p != nil || x.meta.Attempt > resends || duty.Sleep(ctx, delay) != nil {
			break
		}
		delay *= 2
	}
	p := boundUnknown(x.call, "the answer of the agent was lost: "+lost.Error())
	p.Submission = ""
	e.refuseBound(x, agent, p)
}

func (e *Entry) refuseBound(x errand, agent fleet.Instance, p *wire.Problem) {
	kind := timeline.RequestRefused
	if p.Outcome == wire.Unknown {
		kind = timeline.RequestUnknown
	}
	e.recordBound(kind, x, agent, p.Detail)
	answerBound(x.call.ctx, x.call, p)
}

func (e *Entry) recordBound(kind timeline.Kind, x errand, agent fleet.Instance, detail string) {
	e.node.Record(timeline.Event{
		Kind: kind, Request: x.call.id, Profile: x.meta.Profile, Peer: agent.ID, Detail: detail,
	})
}

// sendBound sends one attempt. It returns a problem if the agent answered with
// one or could not be reached, and an error if the answer was lost. Without
// either the response went to the caller.
func (e *Entry) sendBound(ctx context.Context, x errand, agent fleet.Instance) (*wire.Problem, error) {
	c := x.call
	url := "http://" + agent.Address + wire.CallPath + c.path
	req, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return boundNotRun(c, http.StatusBadRequest, err.Error()), nil
	}
	req.Header = relay.ForwardHeader(c.header)
	stripInternal(req.Header)
	x.meta.Clock = e.node.Clock(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		x.meta.Timeout = time.Until(deadline)
	}
	wire.Keys(e.settings.PeerKeys).Authorize(req.Header)
	if err := wire.SetCall(req.Header, &x.meta); err != nil {
		return boundNotRun(c, http.StatusBadRequest, err.Error()), nil
	}
	e.recordBound(timeline.RequestRouted, x, agent, "")
	resp, err := e.once.client.Do(req)
	if err != nil {
		if notConnected(err) {
			return boundNotRun(c, http.StatusServiceUnavailable, err.Error()), nil
		}
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return e.takeBound(x, agent, resp)
}

// notConnected reports whether no connection was made, so that no byte of the
// request was written.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// takeBound passes on the response of a request that ran, and reads what the
// agent says of one that did not.
func (e *Entry) takeBound(x errand, agent fleet.Instance, resp *http.Response) (*wire.Problem, error) {
	c := x.call
	if resp.Header.Get(wire.HeaderRequest) != x.meta.AttemptID() {
		return nil, errOtherAttempt
	}
	outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	if outcome == wire.Ran {
		detail := passBound(c, resp)
		e.recordBound(timeline.RequestRan, x, agent, detail)
		return nil, nil
	}
	p := &wire.Problem{}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return nil, err
	}
	if json.Unmarshal(body, p) != nil || p.Outcome != outcome {
		p = boundUnknown(c, "the agent answered "+resp.Status)
		p.Submission = ""
	}
	p.Status, p.Request = resp.StatusCode, c.id
	if p.Status == http.StatusServiceUnavailable {
		p.RetryAfter = retryAfter
	}
	return p, nil
}

// passBound puts the response on the caller's stream.
func passBound(c *call, resp *http.Response) string {
	h := relay.ForwardHeader(resp.Header)
	stripInternal(h)
	h.Set(wire.HeaderOutcome, string(wire.Ran))
	if err := c.stream.Put(c.ctx, relay.Part{Head: &relay.Head{Status: resp.StatusCode, Header: h}}); err != nil {
		return err.Error()
	}
	end := relay.Part{End: true}
	detail := ""
	if err := relay.ReadBody(c.ctx, resp.Body, c.stream); err != nil {
		end.Err = relay.ErrTruncated
		detail = err.Error()
	}
	_ = c.stream.Put(c.ctx, end)
	return detail
}
