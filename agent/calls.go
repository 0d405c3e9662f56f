package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// callBytes bounds the body of a call from an entry.
const callBytes = 16 << 20

// grant is a call that the gate counted in.
type grant struct {
	ctx    context.Context
	meta   *wire.Call
	check  gate.Call
	method string
	path   string
	header http.Header
	body   []byte
	stream *relay.Stream
}

// serveCall decodes a call, asks the gate, and writes what the forwarder reads
// from the upstream.
func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request) {
	meta, err := wire.GetCall(r.Header)
	if err != nil {
		wire.WriteProblem(w, refusal("", http.StatusBadRequest, err.Error()))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, callBytes))
	if err != nil {
		wire.WriteProblem(w, refusal(meta.Request, http.StatusBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), meta.Deadline)
	defer cancel()
	deadline, _ := ctx.Deadline()
	g := grant{
		ctx:    ctx,
		meta:   meta,
		check:  gate.Call{Root: meta.Root, Deadline: deadline},
		method: r.Method,
		path:   strings.TrimPrefix(r.URL.RequestURI(), wire.CallPath),
		header: relay.PassHeader(r.Header),
		body:   body,
		stream: relay.NewStream(),
	}
	a.node.Observe(meta.Clock)
	if reason := a.askGate(ctx, func(answer *ring.Ring[gate.Reason]) gateEvent {
		return admit{call: g.check, answer: answer}
	}); reason != gate.Admitted {
		a.recordCall(timeline.RequestRefused, meta, string(reason))
		wire.WriteProblem(w, refusal(meta.Request, http.StatusServiceUnavailable, string(reason)))
		return
	}
	if a.grants.Put(ctx, g) != nil {
		_ = a.gate.Put(context.WithoutCancel(ctx), done{})
		wire.WriteProblem(w, refusal(meta.Request, http.StatusServiceUnavailable, "agent carries as many calls as it may"))
		return
	}
	if relay.Write(ctx, w, g.stream) != nil {
		panic(http.ErrAbortHandler)
	}
}

// askGate puts a question to the gatekeeper and waits for the answer.
func (a *Agent) askGate(ctx context.Context, question func(*ring.Ring[gate.Reason]) gateEvent) gate.Reason {
	answer := ring.New[gate.Reason](1, ring.Refuse)
	if a.gate.Put(ctx, question(answer)) != nil {
		return gate.PastDeadline
	}
	// An admitted call must be counted out, so the answer is awaited even if
	// the caller left.
	reason, err := answer.Take(context.WithoutCancel(ctx))
	if err != nil {
		return gate.Leaving
	}
	return reason
}

func refusal(request string, status int, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemNotRun, Title: "request was not run", Status: status,
		Detail: detail, Request: request, Outcome: wire.NotRun,
	}
}

func (a *Agent) recordCall(kind timeline.Kind, meta *wire.Call, detail string) {
	a.node.Record(timeline.Event{
		Kind: kind, Request: meta.Request, Profile: meta.Profile, Peer: meta.Entry, Detail: detail,
	})
}

// runForwarder carries one granted call after the other.
func (a *Agent) runForwarder(ctx context.Context) error {
	for {
		g, err := a.grants.Take(ctx)
		if err != nil {
			return nil
		}
		a.forward(ctx, g)
	}
}

func (a *Agent) forward(ctx context.Context, g grant) {
	if reason := a.confirmOnce(g.ctx); reason != "" {
		_ = a.gate.Put(ctx, done{})
		answerProblem(g, refusal(g.meta.Request, http.StatusServiceUnavailable, string(reason)))
		return
	}
	reason := a.askGate(ctx, func(answer *ring.Ring[gate.Reason]) gateEvent {
		return recheck{call: g.check, answer: answer}
	})
	if reason != gate.Admitted {
		a.recordCall(timeline.RequestRefused, g.meta, string(reason))
		answerProblem(g, refusal(g.meta.Request, http.StatusServiceUnavailable, string(reason)))
		return
	}
	completed := a.handOver(g)
	_ = a.gate.Put(ctx, done{completed: completed})
}

// handOver sends a call to the upstream and passes the response on. It reports
// whether the upstream completed the call.
func (a *Agent) handOver(g grant) bool {
	req, err := http.NewRequestWithContext(g.ctx, g.method, a.engine.Base()+g.path, bytes.NewReader(g.body))
	if err != nil {
		answerProblem(g, refusal(g.meta.Request, http.StatusBadRequest, err.Error()))
		return false
	}
	req.Header = g.header
	req.Header.Del("Authorization")
	req.Header.Del(wire.HeaderCall)
	start := time.Now()
	resp, err := a.upstreamFor(g.meta).Do(req)
	if err != nil {
		a.recordCall(timeline.RequestUnknown, g.meta, err.Error())
		answerProblem(g, lost(g.meta.Request, err))
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	head := &relay.Head{Status: resp.StatusCode, Header: relay.PassHeader(resp.Header)}
	head.Header.Set(wire.HeaderOutcome, string(wire.Ran))
	_ = g.stream.Put(g.ctx, relay.Part{Head: head})
	end := relay.Part{End: true}
	if err := relay.ReadBody(g.ctx, resp.Body, g.stream); err != nil {
		end.Err = relay.ErrCut
	}
	_ = g.stream.Put(g.ctx, end)
	a.recordCall(timeline.RequestRan, g.meta, time.Since(start).String())
	return end.Err == nil && resp.StatusCode < http.StatusInternalServerError
}

// lost says "not run" only if no connection to the upstream was made.
func lost(request string, err error) *wire.Problem {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusal(request, http.StatusServiceUnavailable, err.Error())
	}
	return &wire.Problem{
		Type: wire.ProblemUnknown, Title: "outcome of the request is unknown",
		Status: http.StatusBadGateway, Detail: err.Error(), Request: request, Outcome: wire.Unknown,
	}
}

func answerProblem(g grant, p *wire.Problem) {
	h, body := p.Encode()
	_ = g.stream.Put(g.ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
