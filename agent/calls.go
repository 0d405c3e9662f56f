package agent

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// bodyTimeout is the maximum time for an entry to send the body of a call.
	bodyTimeout = 30 * time.Second
	// bodyRetryAfter is the retry delay for calls for whose body there was no memory.
	bodyRetryAfter = time.Second
)

// admittedCall is a call that the gate admitted and counts as in flight.
type admittedCall struct {
	ctx    context.Context
	meta   *wire.Call
	ticket gate.Ticket
	load   wire.Load
	// crash identifies the crash that the upstream would have during the call.
	crash  poison.CrashID
	method string
	path   string
	header http.Header
	body   []byte
	stream *relay.Stream
}

// serveCall decodes a call, requests its admission, passes it to a forwarder and
// writes the response that the forwarder reads from the upstream.
func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request) {
	meta, err := wire.GetCall(r.Header)
	if err != nil {
		wire.WriteProblem(w, refusal("", http.StatusBadRequest, err.Error()))
		return
	}
	w.Header().Set(wire.HeaderRequest, meta.AttemptID())
	body, err := a.readBody(w, r, meta)
	if err != nil {
		a.rejectBody(w, r, meta, err)
		return
	}
	defer body.Release()
	ctx, cancel := context.WithTimeout(r.Context(), meta.Timeout)
	defer cancel()
	a.node.ObserveClock(meta.Clock)
	v := a.requestAdmission(ctx, meta)
	wire.SetLoad(w.Header(), v.load)
	wire.SetStamp(w.Header(), v.stamp)
	wire.SetClock(w.Header(), a.node.Clock(ctx))
	if v.reason != gate.Admitted {
		a.recordRefusal(meta, v.reason)
		if v.reason == gate.Leaving {
			// The agent is about to close its connections, so the entry must
			// not reuse this one.
			w.Header().Set("Connection", "close")
		}
		wire.WriteProblem(w, refusal(meta.Request, http.StatusServiceUnavailable, string(v.reason)))
		return
	}
	call := admittedCall{
		ctx:    ctx,
		meta:   meta,
		ticket: v.ticket,
		load:   v.load,
		method: r.Method,
		path:   strings.TrimPrefix(r.URL.RequestURI(), wire.CallPath),
		header: relay.ForwardHeader(r.Header),
		body:   body.Bytes(),
		stream: relay.NewStream(),
	}
	if a.admittedCalls.Put(ctx, call) != nil {
		a.release(ctx, call.ticket)
		wire.WriteProblem(w, refusal(meta.Request, http.StatusServiceUnavailable, "agent carries as many calls as it may"))
		return
	}
	if relay.Write(ctx, w, call.stream) != nil {
		panic(http.ErrAbortHandler)
	}
}

// readBody returns the body for the upstream. In a call for a model, it sets the
// model name to that of the exact version that must answer.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request, meta *wire.Call) (*bodybudget.Body, error) {
	body, err := a.bodies.ReadRequest(w, r, bodybudget.Limits{
		Bytes: settings.MaxCallBytes, Time: bodyTimeout, Stop: a.callsEnd,
	})
	if err != nil || meta.Root.IsZero() {
		return body, err
	}
	if err := pinBody(r.Context(), body, engine.ServedName(meta.Root)); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// pinBody sets the model name in a body.
func pinBody(ctx context.Context, body *bodybudget.Body, name string) error {
	copyBytes := int64(len(body.Bytes())) + pinnedNameBytes
	if err := body.Reserve(ctx, copyBytes); err != nil {
		return err
	}
	pinned, err := pinModel(body.Bytes(), name)
	if err != nil {
		return err
	}
	body.Replace(pinned, copyBytes)
	return nil
}

// rejectBody responds to a call whose body could not be read. It was not run.
func (a *Agent) rejectBody(w http.ResponseWriter, r *http.Request, meta *wire.Call, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, bodybudget.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case bodybudget.IsShortage(err), errors.Is(err, bodybudget.ErrStopped):
		status = http.StatusServiceUnavailable
	}
	_ = level.Info(a.node.Logger()).Log(
		"msg", "body of a call rejected", "request", meta.Request, "status", status, "length", r.ContentLength, "err", err)
	p := refusal(meta.Request, status, err.Error())
	if status == http.StatusServiceUnavailable {
		p.RetryAfter = bodyRetryAfter
	}
	wire.WriteProblem(w, p)
}

// requestAdmission asks the gate to admit a call. It waits for the verdict even
// if the caller disconnects, because an admitted call has to be released.
func (a *Agent) requestAdmission(ctx context.Context, meta *wire.Call) verdict {
	deadline, _ := ctx.Deadline()
	call := gate.Call{Root: meta.Root, Deadline: deadline, Traits: meta.Traits}
	reply := ring.New[verdict](1, ring.Refuse)
	return a.queryGate(ctx, reply, admit{call: call, entry: meta.Entry, stamp: meta.Config, reply: reply})
}

// queryGate sends an event to the gate controller and waits for the verdict.
func (a *Agent) queryGate(ctx context.Context, reply *ring.Ring[verdict], event gateEvent) verdict {
	switch err := a.gateEvents.Put(ctx, event); {
	case errors.Is(err, ring.ErrClosed):
		return verdict{reason: gate.Leaving}
	case err != nil:
		return verdict{reason: gate.PastDeadline}
	}
	select {
	case v := <-reply.Out():
		return v
	case <-a.gateEvents.Closed():
		return verdict{reason: gate.Leaving}
	}
}

// release ends the admission of a call that was not sent to the upstream, also
// if its caller has disconnected.
func (a *Agent) release(ctx context.Context, t gate.Ticket) {
	_ = a.gateEvents.Put(context.WithoutCancel(ctx), release{ticket: t})
}

func refusal(request string, status int, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemNotRun, Title: "request was not run", Status: status,
		Detail: detail, Request: request, Outcome: wire.NotRun,
	}
}

func (a *Agent) recordRefusal(meta *wire.Call, reason gate.Reason) {
	a.metrics.countRefusal(reason)
	a.recordCall(timeline.RequestRefused, meta, string(reason))
}

func (a *Agent) recordCall(kind timeline.Kind, meta *wire.Call, detail string) {
	a.node.Record(timeline.Event{
		Kind: kind, Request: meta.Request, Profile: meta.Profile, Peer: meta.Entry, Detail: detail,
	})
}

// runForwarder sends admitted calls to the upstream, one at a time.
func (a *Agent) runForwarder(ctx context.Context) error {
	for {
		call, err := a.admittedCalls.Take(ctx)
		if err != nil {
			return nil
		}
		a.forward(ctx, call)
	}
}

func (a *Agent) forward(ctx context.Context, call admittedCall) {
	if call.ctx.Err() != nil {
		// The caller disconnected or the deadline passed before the call was
		// sent.
		a.release(ctx, call.ticket)
		a.refuseCall(call, gate.PastDeadline)
		return
	}
	if reason := a.confirmOnce(call.ctx); reason != "" {
		a.release(ctx, call.ticket)
		a.refuseCall(call, gate.Reason(reason))
		return
	}
	reply := ring.New[verdict](1, ring.Refuse)
	v := a.queryGate(ctx, reply, recheck{ticket: call.ticket, reply: reply})
	if v.reason != gate.Admitted {
		a.refuseCall(call, v.reason)
		return
	}
	call.load, call.crash = v.load, v.crash
	if time.Since(v.at) > gateOptions.PauseAfter {
		// The process was paused after the recheck, so its verdict may be
		// outdated.
		a.release(ctx, call.ticket)
		a.refuseCall(call, gate.Paused)
		return
	}
	outcome := a.sendUpstream(call)
	_ = a.gateEvents.Put(ctx, done{ticket: call.ticket, outcome: outcome})
}

func (a *Agent) refuseCall(call admittedCall, reason gate.Reason) {
	a.recordRefusal(call.meta, reason)
	answerProblem(call, refusal(call.meta.Request, http.StatusServiceUnavailable, string(reason)))
}

func answerProblem(call admittedCall, p *wire.Problem) { answerProblemWith(call, p, http.Header{}) }

// answerProblemWith answers a problem with further headers.
func answerProblemWith(call admittedCall, p *wire.Problem, further http.Header) {
	h, body := p.Encode()
	maps.Copy(h, further)
	wire.SetLoad(h, call.load)
	_ = call.stream.Put(call.ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
