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
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// maxResends is how many times a call is sent again after a lost response.
	maxResends = 3
	// initialResendDelay is the delay before the first resend; it doubles before
	// each further one.
	initialResendDelay = 50 * time.Millisecond
	// tokenTimeout is the time for one agent to issue a token, before the next one is
	// asked. It doubles with each time that all agents were asked.
	tokenTimeout = time.Second
	// responseMargin is the part of a call's time budget that is reserved for
	// responding to the caller that the outcome is unknown.
	responseMargin = 500 * time.Millisecond
	// maxProblemBytes is the maximum size of a problem that is read from an agent.
	maxProblemBytes = 64 << 10
)

// errWrongAttempt is returned for a response that does not name the attempt that
// was sent.
var errWrongAttempt = errors.New("answer belongs to another attempt")

// newBoundClient returns the client for calls that are bound to one agent. Each
// call uses a new connection, because net/http retries requests with an
// Idempotency-Key by itself on reused connections. Redirects are not followed.
func newBoundClient() *http.Client {
	return &http.Client{
		Transport: relay.NewTransport(&http.Transport{
			MaxResponseHeaderBytes: sock.MaxHeadBytes,
			DialContext:            sock.Dialer(&net.Dialer{Timeout: connectTimeout}),
			DisableKeepAlives:      true,
			DisableCompression:     true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// runOnceWorker executes tasks, one at a time.
func (e *Entry) runOnceWorker(ctx context.Context) error {
	for {
		task, err := e.once.tasks.Take(ctx)
		if err != nil {
			return nil
		}
		taskCtx, cancel := withResponseMargin(task.call.ctx)
		if task.token != nil {
			e.requestToken(taskCtx, task)
		} else {
			e.forwardBound(taskCtx, task)
		}
		cancel()
	}
}

func withResponseMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-responseMargin))
}

// requestToken requests a token from the agents of a task until one issues it, and
// sends it to the caller. Agents that do not answer are asked again, each time for
// twice as long, while a call may wait for capacity: a silent agent may go on.
func (e *Entry) requestToken(ctx context.Context, task onceTask) {
	ctx, cancel := context.WithDeadline(ctx, task.call.arrivedAt.Add(e.settings.QueueWait))
	defer cancel()
	timeout := tokenTimeout
	out, silent, err := e.requestTokenInTurn(ctx, task, timeout)
	for err != nil && silent && ctx.Err() == nil {
		timeout *= 2
		out, silent, err = e.requestTokenInTurn(ctx, task, timeout)
	}
	if err != nil {
		respondProblem(task.call.ctx, task.call, boundNotRun(task.call, http.StatusServiceUnavailable, err.Error()))
		return
	}
	h := http.Header{"Content-Type": {"application/json"}}
	_ = task.call.stream.Put(task.call.ctx, relay.Part{Head: &relay.Head{Status: http.StatusOK, Header: h}, Data: out, End: true})
}

// requestTokenInTurn requests a token from each agent of a task until one issues it,
// and returns its encoding for the caller. Requesting several tokens is harmless,
// since an unused token expires. With an error, silent is true if an agent did not
// answer within the timeout.
func (e *Entry) requestTokenInTurn(ctx context.Context, task onceTask, timeout time.Duration) (token []byte, silent bool, err error) {
	for _, agent := range task.agents {
		tokenCtx, cancel := context.WithTimeout(ctx, timeout)
		var out wire.TokenResponse
		err = e.node.Peers().PostJSON(tokenCtx, agent.Address, wire.PathToken, task.token, &out)
		silent = silent || tokenCtx.Err() != nil
		cancel()
		if err == nil {
			token, err = json.Marshal(out)
			return token, false, err
		}
	}
	return nil, silent, err
}

// forwardBound sends a call to its only agent. It sends the call again only
// after a lost response. Once a response was lost, the refusal of a later attempt
// reveals nothing about the earlier one, which may still arrive or may have run.
// Therefore a refusal is passed on to the caller only if no response was lost
// before it; otherwise, the outcome is reported as unknown.
func (e *Entry) forwardBound(ctx context.Context, task onceTask) {
	agent := task.agents[0]
	if err := ctx.Err(); err != nil {
		e.refuseBound(task, agent, boundNotRun(task.call, http.StatusServiceUnavailable, context.Cause(ctx).Error()))
		return
	}
	var lostErr error
	delay := initialResendDelay
	for task.meta.Attempt = 1; ; task.meta.Attempt++ {
		p, err := e.sendBound(ctx, task, agent)
		switch {
		case p == nil && err == nil:
			return
		case p != nil && lostErr == nil:
			e.refuseBound(task, agent, p)
			return
		case err != nil:
			lostErr = err
		}
		if p != nil || task.meta.Attempt > maxResends || duty.Sleep(ctx, delay) != nil {
			break
		}
		delay *= 2
	}
	p := boundUnknown(task.call, "the answer of the agent was lost: "+lostErr.Error())
	p.Submission = ""
	e.refuseBound(task, agent, p)
}

func (e *Entry) refuseBound(task onceTask, agent fleet.Instance, p *wire.Problem) {
	kind := timeline.RequestRefused
	if p.Outcome == wire.Unknown {
		kind = timeline.RequestUnknown
	}
	e.recordBound(kind, task, agent, p.Detail)
	respondProblem(task.call.ctx, task.call, p)
}

func (e *Entry) recordBound(kind timeline.Kind, task onceTask, agent fleet.Instance, detail string) {
	e.node.Record(timeline.Event{
		Kind: kind, Request: task.call.id, Profile: task.meta.Profile, Peer: agent.ID, Detail: detail,
	})
}

// sendBound sends one attempt. It returns a problem if the agent responded with
// one or could not be reached, and an error if the response was lost. If it
// returns neither, the response was passed on to the caller.
func (e *Entry) sendBound(ctx context.Context, task onceTask, agent fleet.Instance) (*wire.Problem, error) {
	c := task.call
	url := "http://" + agent.Address + wire.CallPath + c.path
	req, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return boundNotRun(c, http.StatusBadRequest, err.Error()), nil
	}
	req.Header = relay.ForwardHeader(c.header)
	removeInternalHeaders(req.Header)
	task.meta.Clock = e.node.Clock(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		task.meta.Timeout = time.Until(deadline)
	}
	wire.Keys(e.settings.PeerKeys).Authorize(req.Header)
	if err := wire.SetCall(req.Header, &task.meta); err != nil {
		return boundNotRun(c, http.StatusBadRequest, err.Error()), nil
	}
	e.recordBound(timeline.RequestRouted, task, agent, "")
	resp, err := e.once.client.Do(req)
	if err != nil {
		if isDialError(err) {
			return boundNotRun(c, http.StatusServiceUnavailable, err.Error()), nil
		}
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return e.receiveBound(task, agent, resp)
}

// isDialError reports whether err means that no connection was made. In that
// case, no byte of the request was written.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// receiveBound passes on the response to a request that has run. Otherwise it
// returns the agent's problem, or an error if the response does not belong to
// the attempt, cannot be read or states a success.
func (e *Entry) receiveBound(task onceTask, agent fleet.Instance, resp *http.Response) (*wire.Problem, error) {
	c := task.call
	if resp.Header.Get(wire.HeaderRequest) != task.meta.AttemptID() {
		return nil, errWrongAttempt
	}
	outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	if outcome == wire.Ran {
		detail := relayBound(c, resp)
		e.recordBound(timeline.RequestRan, task, agent, detail)
		return nil, nil
	}
	if !isError(resp) {
		return nil, relay.ErrBadStatus
	}
	p := &wire.Problem{}
	limit := time.AfterFunc(refusalTimeout, func() { _ = resp.Body.Close() })
	defer limit.Stop()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil && outcome == wire.NotRun {
		return boundNotRun(c, resp.StatusCode, "the agent refused: "+err.Error()), nil
	}
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

// boundEnd returns the end of an attempt whose response broke off.
func boundEnd(ctx context.Context) retry.End {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return retry.TimedOut
	case ctx.Err() != nil:
		return retry.Canceled
	default:
		return retry.Lost
	}
}

// relayBound puts a response on the caller's stream. It returns the text of the
// error if the response was not passed on completely, and "" otherwise.
func relayBound(c *call, resp *http.Response) string {
	h := relay.ForwardHeader(resp.Header)
	removeInternalHeaders(h)
	h.Set(wire.HeaderOutcome, string(wire.Ran))
	if err := c.stream.Put(c.ctx, relay.Part{Head: &relay.Head{Status: resp.StatusCode, Header: h}}); err != nil {
		return err.Error()
	}
	end := relay.Part{End: true}
	detail := ""
	if err := relay.ReadBody(c.ctx, resp.Body, c.stream); err != nil {
		end.Err = truncated(c.ctx, boundEnd(c.ctx), err)
		detail = err.Error()
	}
	// The call may have ended, but the handler still waits for the end part.
	finish, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), responseGrace)
	defer cancel()
	_ = c.stream.Put(finish, end)
	return detail
}
