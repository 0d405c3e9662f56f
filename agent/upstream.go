package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// errNoProgress cancels a request whose upstream sends nothing for the progress
// timeout.
var errNoProgress = errors.New("upstream made no progress")

// progressTimer cancels a request when no byte of the response arrives for the
// timeout.
type progressTimer struct {
	timer   *time.Timer
	timeout time.Duration
	// end cancels the request for a cause.
	end context.CancelCauseFunc
}

// watchProgress returns a context that ends with its parent or when the upstream
// sends nothing for the timeout.
func watchProgress(parent context.Context, timeout time.Duration) (context.Context, *progressTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	p := &progressTimer{timeout: timeout, end: cancel}
	p.timer = time.AfterFunc(timeout, func() { cancel(errNoProgress) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// reset restarts the timeout.
func (p *progressTimer) reset() { p.timer.Reset(p.timeout) }

// stop suspends the timeout while no read is in progress.
func (p *progressTimer) stop() { p.timer.Stop() }

// progressReader runs a progress timer during each read, and watches how far the answer goes.
type progressReader struct {
	io.Reader
	timer  *progressTimer
	answer *answerWatch
}

// Read implements io.Reader. The time between reads does not count.
func (r progressReader) Read(b []byte) (int, error) {
	r.timer.reset()
	n, err := r.Reader.Read(b)
	r.timer.stop()
	if n > 0 {
		r.answer.goesOn()
	}
	return n, err
}

// sendUpstream sends a call to the upstream, relays the response to the caller
// and returns how the call ended at the upstream.
func (a *Agent) sendUpstream(call admittedCall) gate.Outcome {
	ctx, p, cancel := watchProgress(call.ctx, a.settings.ProgressTimeout)
	defer cancel()
	defer context.AfterFunc(a.callsEnd, func() { p.end(errStopping) })()
	req, err := a.upstreamRequest(ctx, call)
	if err != nil {
		answerProblem(call, refusal(call.meta.Request, http.StatusBadRequest, err.Error()))
		return gate.Failed
	}
	startedAt := time.Now()
	resp, err := a.upstreamClientFor(call.meta).Do(req)
	if err != nil {
		return a.handleNoResponse(ctx, call, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound && !call.meta.Root.IsZero() {
		// The engine does not know the model name, so the call was not run. This
		// happens between a restart of the engine and its next load report.
		a.refuseCall(call, gate.WrongVersion)
		return gate.Failed
	}
	p.stop()
	answer := a.watchAnswer(call, resp.StatusCode)
	err = a.relayResponse(ctx, call, resp, progressReader{Reader: resp.Body, timer: p, answer: answer})
	if err != nil {
		a.metrics.countCall(wire.Unknown)
		a.recordCall(timeline.RequestRan, call.meta, "answer was cut: "+err.Error())
		return interruptedOutcome(ctx)
	}
	answer.recordSurvived()
	a.metrics.countCall(wire.Ran)
	a.recordCall(timeline.RequestRan, call.meta, time.Since(startedAt).String())
	return statusOutcome(resp.StatusCode)
}

// upstreamRequest returns the request for the upstream. Its body is wrapped so
// that net/http cannot rewind it: net/http would otherwise resend a request with
// an Idempotency-Key if a reused connection breaks, although the upstream may
// have run it.
func (a *Agent) upstreamRequest(ctx context.Context, call admittedCall) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(call.body))
	req, err := http.NewRequestWithContext(ctx, call.method, a.engine.Base()+call.path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.body))
	req.Header = call.header
	req.Header.Del("Authorization")
	req.Header.Del(wire.HeaderCall)
	return req, nil
}

// relayResponse puts the response on the stream, of server-sent events only
// complete ones. If reading it fails or it ends inside an event, the stream ends
// with relay.ErrTruncated.
func (a *Agent) relayResponse(ctx context.Context, call admittedCall, resp *http.Response, body io.Reader) error {
	head := &relay.Head{Status: resp.StatusCode, Header: relay.ForwardHeader(resp.Header)}
	head.Header.Set(wire.HeaderOutcome, string(wire.Ran))
	wire.SetLoad(head.Header, call.load)
	if err := call.stream.Put(ctx, relay.Part{Head: head}); err != nil {
		return err
	}
	read := relay.ReadBody
	if relay.IsEventStream(resp.Header) {
		read = relay.ReadEvents
	}
	err := read(ctx, body, call.stream)
	end := relay.Part{End: true}
	if err != nil {
		end.Err = relay.ErrTruncated
	}
	_ = call.stream.Put(call.ctx, end)
	return err
}

func statusOutcome(status int) gate.Outcome {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return gate.Overloaded
	case status >= http.StatusInternalServerError:
		return gate.Failed
	default:
		return gate.Completed
	}
}

// interruptedOutcome returns the outcome of a call without a complete response.
// It distinguishes a disconnected caller or a progress timeout from a broken
// connection, which may mean that the upstream restarted.
func interruptedOutcome(ctx context.Context) gate.Outcome {
	if ctx.Err() != nil {
		return gate.Failed
	}
	return gate.ConnectionLost
}

// handleNoResponse answers a call that got no response from the upstream. It
// reports "not run" only if no connection to the upstream was made.
func (a *Agent) handleNoResponse(ctx context.Context, call admittedCall, err error) gate.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.refuseCall(call, gate.NotHealthy)
		if ctx.Err() != nil {
			return gate.Failed
		}
		return gate.Unreachable
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	a.metrics.countCall(wire.Unknown)
	a.recordCall(timeline.RequestUnknown, call.meta, err.Error())
	outcome := interruptedOutcome(ctx)
	answerProblemWith(call, &wire.Problem{
		Type: wire.ProblemUnknown, Title: "outcome of the request is unknown",
		Status: http.StatusBadGateway, Detail: err.Error(), Request: call.meta.Request, Outcome: wire.Unknown,
	}, crashHeader(call, outcome))
	return outcome
}
