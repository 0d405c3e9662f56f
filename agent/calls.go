package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/engine"
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
	ticket gate.Ticket
	load   wire.Load
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
	w.Header().Set(wire.HeaderRequest, meta.AttemptID())
	body, err := readBody(w, r, meta)
	if err != nil {
		wire.WriteProblem(w, refusal(meta.Request, http.StatusBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), meta.Timeout)
	defer cancel()
	a.node.ObserveClock(meta.Clock)
	v := a.askAdmission(ctx, meta)
	wire.SetLoad(w.Header(), v.load)
	wire.SetStamp(w.Header(), v.stamp)
	wire.SetClock(w.Header(), a.node.Clock(ctx))
	if v.reason != gate.Admitted {
		a.refused(meta, v.reason)
		if v.reason == gate.Leaving {
			// The entry does not reuse a connection that is about to be closed.
			w.Header().Set("Connection", "close")
		}
		wire.WriteProblem(w, refusal(meta.Request, http.StatusServiceUnavailable, string(v.reason)))
		return
	}
	g := grant{
		ctx:    ctx,
		meta:   meta,
		ticket: v.ticket,
		load:   v.load,
		method: r.Method,
		path:   strings.TrimPrefix(r.URL.RequestURI(), wire.CallPath),
		header: relay.ForwardHeader(r.Header),
		body:   body,
		stream: relay.NewStream(),
	}
	if a.grants.Put(ctx, g) != nil {
		a.release(ctx, g.ticket)
		wire.WriteProblem(w, refusal(meta.Request, http.StatusServiceUnavailable, "agent carries as many calls as it may"))
		return
	}
	if relay.Write(ctx, w, g.stream) != nil {
		panic(http.ErrAbortHandler)
	}
}

// readBody returns the body for the upstream; a call for a model names exactly
// the version that must answer.
func readBody(w http.ResponseWriter, r *http.Request, meta *wire.Call) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, callBytes))
	if err != nil || meta.Root.IsZero() {
		return body, err
	}
	return pinModel(body, engine.ServedName(meta.Root))
}

// askAdmission asks the gate to count a call in. An admitted call must be
// counted out, so the answer is awaited even if the caller left.
func (a *Agent) askAdmission(ctx context.Context, meta *wire.Call) verdict {
	deadline, _ := ctx.Deadline()
	call := gate.Call{Root: meta.Root, Deadline: deadline, Fingerprint: meta.Fingerprint}
	answer := ring.New[verdict](1, ring.Refuse)
	return a.askGate(ctx, answer, admit{call: call, entry: meta.Entry, stamp: meta.Config, answer: answer})
}

// askGate puts a question to the gatekeeper and waits for the answer.
func (a *Agent) askGate(ctx context.Context, answer *ring.Ring[verdict], question gateEvent) verdict {
	switch err := a.gate.Put(ctx, question); {
	case errors.Is(err, ring.ErrClosed):
		return verdict{reason: gate.Leaving}
	case err != nil:
		return verdict{reason: gate.PastDeadline}
	}
	select {
	case v := <-answer.Out():
		return v
	case <-a.gate.Closed():
		return verdict{reason: gate.Leaving}
	}
}

// release counts a call out that was not handed over, also if its caller left.
func (a *Agent) release(ctx context.Context, t gate.Ticket) {
	_ = a.gate.Put(context.WithoutCancel(ctx), release{ticket: t})
}

func refusal(request string, status int, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemNotRun, Title: "request was not run", Status: status,
		Detail: detail, Request: request, Outcome: wire.NotRun,
	}
}

func (a *Agent) refused(meta *wire.Call, reason gate.Reason) {
	a.metrics.refused(reason)
	a.recordCall(timeline.RequestRefused, meta, string(reason))
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
	if g.ctx.Err() != nil {
		// The caller left or the deadline passed before the hand-over.
		a.release(ctx, g.ticket)
		a.refuseGrant(g, gate.PastDeadline)
		return
	}
	if reason := a.confirmOnce(g.ctx); reason != "" {
		a.release(ctx, g.ticket)
		a.refuseGrant(g, gate.Reason(reason))
		return
	}
	answer := ring.New[verdict](1, ring.Refuse)
	v := a.askGate(ctx, answer, recheck{ticket: g.ticket, answer: answer})
	if v.reason != gate.Admitted {
		a.refuseGrant(g, v.reason)
		return
	}
	g.load = v.load
	if time.Since(v.at) > gateOptions.PauseAfter {
		// The process was paused between the recheck and the hand-over.
		a.release(ctx, g.ticket)
		a.refuseGrant(g, gate.Paused)
		return
	}
	outcome := a.handOver(g)
	_ = a.gate.Put(ctx, done{ticket: g.ticket, outcome: outcome})
}

func (a *Agent) refuseGrant(g grant, reason gate.Reason) {
	a.refused(g.meta, reason)
	answerProblem(g, refusal(g.meta.Request, http.StatusServiceUnavailable, string(reason)))
}

func answerProblem(g grant, p *wire.Problem) {
	h, body := p.Encode()
	wire.SetLoad(h, g.load)
	_ = g.stream.Put(g.ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
