package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// errSilent ends a request whose upstream sends nothing for too long.
var errSilent = errors.New("upstream made no progress")

// pinModel sets the model's name in the body of a call. Everything else stays
// as it is, apart from white space and the order of the fields.
func pinModel(body []byte, name string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, eris.New("a call for a model needs a JSON object as its body")
	}
	encoded, err := json.Marshal(name)
	if err != nil {
		return nil, eris.Wrap(err, "model name")
	}
	for field := range fields {
		// Readers that ignore case would take such a field for the model.
		if strings.EqualFold(field, "model") {
			delete(fields, field)
		}
	}
	fields["model"] = encoded
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, eris.Wrap(err, "encode call")
	}
	return out.Bytes(), nil
}

// progress cancels a request after a time without any byte of the answer.
type progress struct {
	timer  *time.Timer
	period time.Duration
}

// watch returns a context that ends when the caller leaves or when the
// upstream is silent for the period.
func watch(parent context.Context, period time.Duration) (context.Context, *progress, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	p := &progress{period: period}
	p.timer = time.AfterFunc(period, func() { cancel(errSilent) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// made takes in that the upstream sent something.
func (p *progress) made() { p.timer.Reset(p.period) }

// pause stops the watch while the answer waits for its reader.
func (p *progress) pause() { p.timer.Stop() }

// progressReader tells a progress of every read.
type progressReader struct {
	io.Reader
	progress *progress
}

// Read implements io.Reader. The time in which nobody reads does not count.
func (r progressReader) Read(b []byte) (int, error) {
	r.progress.made()
	n, err := r.Reader.Read(b)
	r.progress.pause()
	return n, err
}

// handOver sends a call to the upstream, passes the response on and says how
// the call ended there.
func (a *Agent) handOver(g grant) gate.Outcome {
	ctx, p, stop := watch(g.ctx, a.settings.ProgressTimeout)
	defer stop()
	req, err := a.upstreamRequest(ctx, g)
	if err != nil {
		answerProblem(g, refusal(g.meta.Request, http.StatusBadRequest, err.Error()))
		return gate.Failed
	}
	start := time.Now()
	resp, err := a.upstreamFor(g.meta).Do(req)
	if err != nil {
		return a.lost(ctx, g, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound && !g.meta.Root.IsZero() {
		// The engine does not know the model's name, so nothing was run. This
		// happens between an engine's restart and the next load report.
		a.refuseGrant(g, gate.WrongVersion)
		return gate.Failed
	}
	p.pause()
	err = a.pass(ctx, g, resp, p)
	if err != nil {
		a.metrics.calls(wire.Unknown)
		a.recordCall(timeline.RequestRan, g.meta, "answer was cut: "+err.Error())
		return brokenOutcome(ctx)
	}
	a.metrics.calls(wire.Ran)
	a.recordCall(timeline.RequestRan, g.meta, time.Since(start).String())
	return statusOutcome(resp.StatusCode)
}

// upstreamRequest returns the request for the upstream. Its body hides that it
// could be read again: net/http sends a request with an Idempotency-Key a
// second time by itself if a reused connection breaks, although the upstream
// may have run it.
func (a *Agent) upstreamRequest(ctx context.Context, g grant) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(g.body))
	req, err := http.NewRequestWithContext(ctx, g.method, a.engine.Base()+g.path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(g.body))
	req.Header = g.header
	req.Header.Del("Authorization")
	req.Header.Del(wire.HeaderCall)
	return req, nil
}

// pass puts the response on the stream; a cut one is marked as such.
func (a *Agent) pass(ctx context.Context, g grant, resp *http.Response, p *progress) error {
	head := &relay.Head{Status: resp.StatusCode, Header: relay.ForwardHeader(resp.Header)}
	head.Header.Set(wire.HeaderOutcome, string(wire.Ran))
	wire.SetLoad(head.Header, g.load)
	if err := g.stream.Put(ctx, relay.Part{Head: head}); err != nil {
		return err
	}
	err := relay.ReadBody(ctx, progressReader{Reader: resp.Body, progress: p}, g.stream)
	end := relay.Part{End: true}
	if err != nil {
		end.Err = relay.ErrTruncated
	}
	_ = g.stream.Put(g.ctx, end)
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

// brokenOutcome tells a caller that left and a silent upstream from a broken
// connection, which may mean that the upstream restarted.
func brokenOutcome(ctx context.Context) gate.Outcome {
	if ctx.Err() != nil {
		return gate.Failed
	}
	return gate.ConnectionLost
}

// lost answers a call without a response. It says "not run" only if no
// connection to the upstream was made.
func (a *Agent) lost(ctx context.Context, g grant, err error) gate.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.refuseGrant(g, gate.NotHealthy)
		if ctx.Err() != nil {
			return gate.Failed
		}
		return gate.Unreachable
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	a.metrics.calls(wire.Unknown)
	a.recordCall(timeline.RequestUnknown, g.meta, err.Error())
	answerProblem(g, &wire.Problem{
		Type: wire.ProblemUnknown, Title: "outcome of the request is unknown",
		Status: http.StatusBadGateway, Detail: err.Error(), Request: g.meta.Request, Outcome: wire.Unknown,
	})
	return brokenOutcome(ctx)
}
