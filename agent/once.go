package agent

import (
	"context"
	"maps"
	"net/http"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/once"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// ticketKey is the context key of the ticket of an admitted run.
type ticketKey struct{}

// guardOnce lets a call with a key or token reach next only if the keeper
// admits it. Calls without them pass unchanged.
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
		a.runOnce(ctx, w, r, v.Ticket, next)
	case once.Replay:
		writeAnswer(w, v.Answer)
	default:
		a.recordCall(timeline.RequestRefused, meta, string(v.Reason))
		wire.WriteProblem(w, onceProblem(meta.Request, v))
	}
}

// submit asks the keeper for a verdict. A submission that leaves while it
// waits must take a verdict that was given in that moment, since an admitted
// run has to be finished.
func (a *Agent) submit(ctx context.Context, s once.Submission) once.Verdict {
	answer := ring.New[once.Verdict](1, ring.Refuse)
	leaving := once.Verdict{Kind: once.Refuse, Reason: "instance is leaving"}
	if a.once.events.Put(ctx, submitted{submission: s, answer: answer}) != nil {
		return leaving
	}
	select {
	case v := <-answer.Out():
		return v
	case <-a.once.events.Closed():
		return leaving
	case <-ctx.Done():
	}
	_ = a.once.events.Put(context.WithoutCancel(ctx), abandoned{answer: answer})
	select {
	case v := <-answer.Out():
		return v
	case <-a.once.events.Closed():
		return leaving
	}
}

// runOnce lets an admitted call run and records how it ended. The run does not
// end when the entry's connection breaks, so that its answer can be kept for
// the entry's next attempt.
func (a *Agent) runOnce(
	ctx context.Context, w http.ResponseWriter, r *http.Request, t once.Ticket, next http.HandlerFunc,
) {
	recorder := newRecorder(w, once.DefaultRules().MaxAnswerBytes)
	end := finished{ticket: t, result: once.AnswerLost}
	detached := context.WithValue(context.WithoutCancel(ctx), ticketKey{}, t)
	defer func() {
		// Also reached if next panics because the answer was cut.
		_ = a.once.events.Put(detached, end)
	}()
	if err := ctx.Err(); err != nil {
		end.result = once.NotRun
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, err.Error()))
		return
	}
	deadline, _ := ctx.Deadline()
	limited, cancel := context.WithDeadline(detached, deadline)
	defer cancel()
	next(recorder, r.WithContext(limited))
	switch wire.Outcome(recorder.Header().Get(wire.HeaderOutcome)) {
	case wire.Ran:
		end.result = once.Ran
		end.answer = recorder.answer()
	case wire.NotRun:
		end.result = once.NotRun
	}
}

// confirmOnce repeats the rules for a call with a key or token immediately
// before the hand-over. A reason means that the call must not be handed over.
func (a *Agent) confirmOnce(ctx context.Context) once.Reason {
	t, ok := ctx.Value(ticketKey{}).(once.Ticket)
	if !ok {
		return ""
	}
	answer := ring.New[once.Reason](1, ring.Refuse)
	if a.once.events.Put(ctx, confirmation{ticket: t, answer: answer}) != nil {
		return "deadline passed"
	}
	select {
	case reason := <-answer.Out():
		return reason
	case <-a.once.events.Closed():
		return "instance is leaving"
	}
}

// onceStatus maps reasons that concern the submission itself; the other
// refusals pass by themselves and have the status 503.
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

// onceProblem returns what the caller is told of a verdict without an answer.
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

// writeAnswer sends the first answer again.
func writeAnswer(w http.ResponseWriter, answer *once.Answer) {
	maps.Copy(w.Header(), answer.Header)
	w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
	w.Header().Set(wire.HeaderReplayed, "true")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

var verdictNames = map[once.Kind]string{
	once.Run: "run", once.Replay: "replay", once.AnswerGone: "gone", once.Wait: "wait",
	once.Delay: "later", once.Refuse: "refuse", once.Unknown: "unknown",
}

// countOnce counts a verdict for the metrics.
func (a *Agent) countOnce(v once.Verdict) {
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
	// A token of an agent that admits no calls would only be refused later.
	if state, err := a.askGateState(ctx); err != nil || !state.Ready {
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, "upstream takes no calls now"))
		return
	}
	answer := ring.New[issuedToken](1, ring.Refuse)
	if err := a.once.events.Put(ctx, tokenQuestion{customer: in.Customer, answer: answer}); err != nil {
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, err.Error()))
		return
	}
	t, err := answer.Take(ctx)
	if err != nil {
		t.reason = err.Error()
	}
	if t.reason != "" {
		wire.WriteProblem(w, refusal("", http.StatusServiceUnavailable, t.reason))
		return
	}
	wire.WriteJSON(w, wire.TokenResponse{Token: t.text, Instance: a.self().ID, ExpiresIn: t.lifetime.Seconds()})
}

// newOnceClient returns the client for hand-overs of requests that may not be
// repeated. Each takes a new connection: net/http sends a request again by
// itself if a reused connection breaks, and a connection that the upstream
// closes meanwhile would leave the outcome unknown. Redirects are not followed.
func newOnceClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: keepRedirect,
	}
}

// upstreamFor returns the client for a call to the upstream.
func (a *Agent) upstreamFor(meta *wire.Call) *http.Client {
	if meta.Once || meta.Key != "" || meta.Token != "" {
		return a.once.upstream
	}
	return a.upstream
}
