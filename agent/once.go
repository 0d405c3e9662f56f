package agent

import (
	"context"
	"maps"
	"net/http"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/once"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// ticketKey is the context key for the ticket of an admitted run.
type ticketKey struct{}

// guardOnce returns a handler that passes a call with a key or token to next only
// if the once controller admits it. Calls without them go to next unchanged.
func (a *Agent) guardOnce(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		meta, err := wire.GetCall(r.Header)
		if err != nil || (meta.Key == "" && meta.Token == "") {
			next(w, r)
			return
		}
		a.serveOnce(w, r, meta, next)
	}
}

func (a *Agent) serveOnce(w http.ResponseWriter, r *http.Request, meta *wire.Call, next http.HandlerFunc) {
	w.Header().Set(wire.HeaderRequest, meta.AttemptID())
	ctx, cancel := context.WithTimeout(r.Context(), meta.Timeout)
	defer cancel()
	s := once.Submission{
		Customer: meta.Customer, Key: meta.Key, Token: meta.Token, Fingerprint: meta.Fingerprint,
	}
	v := a.submit(ctx, s)
	if v.Kind == once.Delay {
		_ = duty.Sleep(ctx, v.After)
		s.Waited = true
		v = a.submit(ctx, s)
	}
	switch v.Kind {
	case once.Run:
		a.runAdmitted(ctx, w, r, v.Ticket, next)
	case once.Replay:
		writeAnswer(w, v.Answer)
	default:
		a.recordCall(timeline.RequestRefused, meta, string(v.Reason))
		wire.WriteProblem(w, onceProblem(meta.Request, v))
	}
}

// submit returns the verdict of the once controller on a submission. When ctx ends,
// it abandons the submission but still accepts a verdict that was given meanwhile,
// because an admitted run has to be finished.
func (a *Agent) submit(ctx context.Context, s once.Submission) once.Verdict {
	reply := ring.New[once.Verdict](1, ring.Refuse)
	leaving := once.Verdict{Kind: once.Refuse, Reason: "instance is leaving"}
	if a.once.events.Put(ctx, submitted{submission: s, reply: reply}) != nil {
		return leaving
	}
	select {
	case v := <-reply.Out():
		return v
	case <-a.once.events.Closed():
		return leaving
	case <-ctx.Done():
	}
	_ = a.once.events.Put(context.WithoutCancel(ctx), abandoned{reply: reply})
	select {
	case v := <-reply.Out():
		return v
	case <-a.once.events.Closed():
		return leaving
	}
}

// runAdmitted runs an admitted call and records how it ended. The run continues
// when the entry's connection breaks, so that its answer can be kept for the
// entry's next attempt.
func (a *Agent) runAdmitted(
	ctx context.Context, w http.ResponseWriter, r *http.Request, t once.Ticket, next http.HandlerFunc,
) {
	recorder := newRecorder(w, once.DefaultRules().MaxAnswerBytes)
	event := finished{ticket: t, result: once.AnswerLost}
	detached := context.WithValue(context.WithoutCancel(ctx), ticketKey{}, t)
	defer func() {
		// Also runs if next panics because the response was interrupted.
		_ = a.once.events.Put(detached, event)
	}()
	if err := ctx.Err(); err != nil {
		event.result = once.NotRun
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, err.Error()))
		return
	}
	deadline, _ := ctx.Deadline()
	limited, cancel := context.WithDeadline(detached, deadline)
	defer cancel()
	next(recorder, r.WithContext(limited))
	switch wire.Outcome(recorder.Header().Get(wire.HeaderOutcome)) {
	case wire.Ran:
		event.result = once.Ran
		event.answer = recorder.answer()
	case wire.NotRun:
		event.result = once.NotRun
	}
}

// confirmOnce checks a call with a key or token again immediately before it is
// sent to the upstream. If it returns a reason, the call must not be sent.
func (a *Agent) confirmOnce(ctx context.Context) once.Reason {
	t, ok := ctx.Value(ticketKey{}).(once.Ticket)
	if !ok {
		return ""
	}
	reply := ring.New[once.Reason](1, ring.Refuse)
	if a.once.events.Put(ctx, confirmRequest{ticket: t, reply: reply}) != nil {
		return "deadline passed"
	}
	select {
	case reason := <-reply.Out():
		return reason
	case <-a.once.events.Closed():
		return "instance is leaving"
	}
}

// onceStatus maps the reasons that concern the submission itself to statuses. All
// other refusals are temporary and have the status 503.
var onceStatus = map[once.Reason]int{
	once.NotUUID:       http.StatusConflict,
	once.NoTime:        http.StatusConflict,
	once.NoOwners:      http.StatusConflict,
	once.KeyExpired:    http.StatusConflict,
	once.OtherRequest:  http.StatusConflict,
	once.BadToken:      http.StatusConflict,
	once.OtherCustomer: http.StatusConflict,
	once.OtherInstance: http.StatusConflict,
	once.TokenExpired:  http.StatusConflict,
}

// onceProblem returns the problem for a verdict that neither runs the request nor
// replays its answer.
func onceProblem(request string, v once.Verdict) *wire.Problem {
	switch v.Kind {
	case once.AnswerGone:
		return &wire.Problem{
			Type: wire.ProblemAnswerGone, Title: "request ran and its answer is no longer held",
			Status: http.StatusGone, Request: request, Outcome: wire.Ran, Submission: wire.NotRun,
		}
	case once.Refuse, once.Delay:
		status := onceStatus[v.Reason]
		if status == 0 {
			status = http.StatusServiceUnavailable
		}
		p := refusal(request, status, string(v.Reason))
		p.Submission = wire.NotRun
		return p
	default:
		detail := string(v.Reason)
		if v.Kind == once.Wait {
			detail = "the request is still in progress"
		}
		return &wire.Problem{
			Type: wire.ProblemUnknown, Title: "outcome of the request is unknown", Status: http.StatusBadGateway,
			Detail: detail, Request: request, Outcome: wire.Unknown, Submission: wire.NotRun,
		}
	}
}

// writeAnswer replays the answer of the first run.
func writeAnswer(w http.ResponseWriter, answer *once.Answer) {
	maps.Copy(w.Header(), answer.Header)
	w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
	w.Header().Set(wire.HeaderReplayed, "true")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// verdictNames are the values of the metric label verdict.
var verdictNames = map[once.Kind]string{
	once.Run: "run", once.Replay: "replay", once.AnswerGone: "gone", once.Wait: "wait",
	once.Delay: "later", once.Refuse: "refuse", once.Unknown: "unknown",
}

// countVerdict counts a verdict in the metrics.
func (a *Agent) countVerdict(v once.Verdict) {
	a.once.metrics.GetOrCreateCounter(
		`rattanspur_once_verdicts_total{verdict="` + verdictNames[v.Kind] + `"}`).Inc()
}

// serveToken issues a token for a request that may not be repeated.
func (a *Agent) serveToken(w http.ResponseWriter, r *http.Request) {
	var in wire.TokenRequest
	if err := wire.ReadJSON(r.Body, &in); err != nil {
		wire.WriteProblem(w, refusal("", http.StatusBadRequest, err.Error()))
		return
	}
	if in.Service != a.self().Service {
		wire.WriteProblem(w, refusal("", http.StatusConflict, "this instance serves another service"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	// A call with the token would be refused while the agent admits no calls.
	if state, err := a.queryGateState(ctx); err != nil || !state.Ready {
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, "upstream takes no calls now"))
		return
	}
	reply := ring.New[issuedToken](1, ring.Refuse)
	if err := a.once.events.Put(ctx, tokenRequest{customer: in.Customer, reply: reply}); err != nil {
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, err.Error()))
		return
	}
	t, err := reply.Take(ctx)
	if err != nil {
		t.reason = err.Error()
	}
	if t.reason != "" {
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, t.reason))
		return
	}
	wire.WriteJSON(w, wire.TokenResponse{Token: t.text, Instance: a.self().ID, ExpiresIn: t.lifetime.Seconds()})
}

// newOnceClient returns the client for requests that may not be repeated. Each
// request uses a new connection, for two reasons: net/http resends a request if a
// reused connection breaks, and the outcome would be unknown if the upstream
// closed an idle connection at the same time. Redirects are not followed.
func newOnceClient() *http.Client {
	return &http.Client{
		Transport: relay.NewTransport(&http.Transport{
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: sock.MaxHeadBytes,
		}),
		CheckRedirect: returnRedirect,
	}
}

// upstreamClientFor returns the client for a call to the upstream.
func (a *Agent) upstreamClientFor(meta *wire.Call) *http.Client {
	if meta.Once || meta.Key != "" || meta.Token != "" {
		return a.once.upstream
	}
	return a.upstream
}
