package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
)

// attemptRun carries out one attempt of a request at an upstream. It implements
// exchange.Receiver: its methods are called on the goroutine of the attempt.
type attemptRun struct {
	handler *callHandler
	send    dispatch.Send
	// ctx is the context of the attempt, and cancel ends it with a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// turnComes is closed once the attempt may write to the caller, and ended once a hedge
	// that has taken the place of another attempt has ended. Both are nil for an attempt that
	// is no hedge.
	turnComes, ended chan struct{}
	// received is what the caller has received, as far as the attempt knows: at its begin,
	// and later by what the attempt has written itself.
	received received
	// hedging starts hedges once the attempt is silent; nil until then.
	hedging *hedging
	// load, limit and version are what the response states; the load is nil if it states none.
	load    *dispatch.Load
	limit   ratelimit.Statement
	version int64
	// begunAt is when the response to a streaming request began, and milestones are those that
	// it has not reached.
	begunAt    time.Time
	milestones []time.Duration
	outcome    exchange.Outcome
	// conn is the connection of the attempt; after its end it is nil unless it can be used
	// again.
	conn *exchange.Conn
}

// newRun returns an attempt that has not begun.
func (c *callHandler) newRun(a *dispatch.Send, cmd *command, has received) *attemptRun {
	return &attemptRun{handler: c, send: *a, ctx: cmd.ctx, cancel: cmd.cancel, received: has, conn: cmd.conn}
}

// attempt sends the request once and reports the result to the router. If a hedge takes the
// place of the attempt, it reports that as well, and then the result of the hedge.
func (c *callHandler) attempt(a *dispatch.Send, cmd *command) {
	run := c.newRun(a, cmd, c.received)
	c.turn.begin(run)
	run.execute()
	for next := c.turn.end(run); next != nil; next = c.turn.end(run) {
		c.report(attemptReplaced{ticket: c.ticket, result: run.replacedResult(), conn: run.conn})
		close(next.turnComes)
		<-next.ended
		run = next
	}
	run.hedging.stop()
	c.received, c.held, c.lastEnd = run.received, run.outcome.Held, run.outcome.End
	c.report(attemptEnded{ticket: c.ticket, result: run.outcome.AttemptResult, conn: run.conn})
}

// replacedResult returns the result of an attempt whose place a hedge has taken. Its write to
// the caller may have been refused for that, which is no fault of the caller.
func (r *attemptRun) replacedResult() dispatch.AttemptResult {
	result := r.outcome.AttemptResult
	if result.End == retry.Answered || result.End == retry.Canceled {
		result.End = retry.Stalled
	}
	return result
}

// execute sends the request and passes the response on to the caller once it is the turn of
// the attempt.
func (r *attemptRun) execute() {
	ctx, cancel := context.WithDeadline(r.ctx, r.send.Deadline)
	defer cancel()
	r.exchange(ctx)
	r.handler.gateway.metrics.recordAttempt(r.outcome.End)
	r.log()
}

func (r *attemptRun) log() {
	c, a, out := r.handler, &r.send, &r.outcome
	fields := []any{
		"number", a.Attempt, "rank", a.Rank, "upstream", a.Upstream, "expect", a.ExpectVersion,
		"desired", a.DesiredVersion, "desired-for", a.DesiredFor.Seconds(),
		"left", time.Until(a.Deadline).Seconds(), "end", out.End, "first", out.FirstByte.Seconds(),
		"version", out.Version, "load", r.load, "limit", r.limit, "waited", a.Waited.Seconds(), "patience", c.call.TimeBudget.Seconds(), "detail", out.Detail,
	}
	if a.Hedge {
		fields = append(fields, "hedge", true)
	}
	if c.gateway.stopping() {
		fields = append(fields, "expected", a.Expected.Seconds(), "hint", c.call.ExpectedAnswerTokens, "most-tokens", c.call.MaxAnswerTokens)
	}
	if out.End.Crash() {
		fields = append(fields, "begun", out.Started || out.FirstByte > 0, "traits", formatTraits(c.call.Traits))
	}
	c.log("attempt", fields...)
}

// exchange sends the request and sets the outcome.
func (r *attemptRun) exchange(ctx context.Context) {
	c, a := r.handler, &r.send
	// A process that was paused reads requests whose callers have left meanwhile.
	if c.r.Context().Err() != nil {
		r.outcome = exchange.Outcome{AttemptResult: dispatch.AttemptResult{End: retry.Canceled}, Detail: "caller left before the send"}
		return
	}
	if !r.connect(ctx) {
		return
	}
	header := maps.Clone(c.header)
	c.gateway.codec.AddAttempt(header, a, time.Now(), r.received.lastEventID)
	request := &exchange.Request{
		ID: c.call.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	}
	r.outcome = exchange.Do(ctx, r.conn, request, c.gateway.codec.Head, r, exchange.Options{
		FirstByteTimeout: a.FirstByteTimeout, BeginBy: a.BeginBy, ProgressTimeout: a.GapTimeout, EventStream: a.Streaming,
		FirstByteSilence: a.FirstByteSilence, ProgressSilence: a.GapSilence,
		HoldServerErrors: a.HoldErrors, Resumed: r.received.started,
	})
	if r.outcome.LastEventID != "" {
		r.received.lastEventID = r.outcome.LastEventID
	}
	r.outcome.Started, r.outcome.LastEventID = r.received.started, c.resumeID(r.received)
	if !r.outcome.Reusable {
		r.conn.Close()
		r.conn = nil
	}
}

// connect makes sure that there is a connection. If there is none, it sets the outcome.
func (r *attemptRun) connect(ctx context.Context) bool {
	c := r.handler
	if r.conn != nil && !r.conn.Usable(time.Now()) {
		r.conn.Close()
		r.conn = nil
	}
	if r.conn != nil {
		return true
	}
	c.gateway.metrics.dials.Inc()
	conn, err := exchange.Dial(ctx, r.send.Address)
	if err == nil {
		r.conn = conn
		return true
	}
	end := retry.Unreachable
	if c.r.Context().Err() != nil || errors.Is(context.Cause(ctx), errOvertaken) {
		end = retry.Canceled
	}
	r.outcome = exchange.Outcome{
		AttemptResult: dispatch.AttemptResult{End: end, Started: r.received.started, LastEventID: c.resumeID(r.received)}, Detail: err.Error(),
	}
	return false
}

// Observe implements exchange.Receiver. It reports the upstream's load, version and
// limit to the router.
func (r *attemptRun) Observe(h *exchange.Head) {
	c := r.handler
	r.load, r.limit, r.version = h.Load, h.Limit, h.Version
	if h.Leaving || h.RetryAfter > 0 {
		c.log("upstream-declines", "leaving", h.Leaving, "after", h.RetryAfter.Seconds())
	}
	c.gateway.metrics.recordLimit(h.Limit)
	c.gateway.metrics.loadUnreadable.Add(h.UnreadableLoad)
	c.report(headReceived{ticket: c.ticket, observation: dispatch.Observation{
		Attempt: r.send.Attempt, Refused: h.NotRun, Load: h.Load, Version: h.Version, ColdRemaining: h.ColdRemaining, Limit: h.Limit,
		Leaving: h.Leaving, RetryAfter: h.RetryAfter,
	}})
}

// Head implements exchange.Receiver. If a response is resumed at another
// upstream, the head that was already written stays.
func (r *attemptRun) Head(resp *http.Response) error {
	c := r.handler
	if err := c.turn.advance(r); err != nil {
		return err
	}
	// Only a success is the beginning of an answer; the end of the attempt reports
	// any other status.
	if r.send.Streaming && resp.StatusCode/100 == http.StatusOK/100 {
		r.begunAt, r.milestones = time.Now(), r.send.Milestones
		c.report(responseStarted{ticket: c.ticket})
	}
	if r.received.started {
		return nil
	}
	r.received.started = true
	c.writeHead(resp, r.send.Streaming)
	return nil
}

// Part implements exchange.Receiver. Comments in a stream of events are no progress, so that
// they take the turn from no hedge.
func (r *attemptRun) Part(data []byte) error {
	c := r.handler
	write := func() error { return c.writePart(data, r.send.Streaming) }
	if r.send.Streaming && !relay.HasEvent(data) {
		return c.turn.hold(r, write)
	}
	if err := c.turn.advance(r); err != nil {
		return err
	}
	r.reportMilestone()
	return write()
}

// reportMilestone tells the router if the response has gone on for long enough to be evidence.
func (r *attemptRun) reportMilestone() {
	if len(r.milestones) == 0 {
		return
	}
	answered := time.Since(r.begunAt)
	reached := 0
	for reached < len(r.milestones) && answered >= r.milestones[reached] {
		reached++
	}
	if reached > 0 {
		r.milestones = r.milestones[reached:]
		r.handler.report(responseGoesOn{ticket: r.handler.ticket, answered: answered})
	}
}

// Silent implements exchange.Receiver. The router decides whether a hedge begins.
func (r *attemptRun) Silent(since time.Time, lastEventID string) {
	c := r.handler
	if lastEventID != "" {
		r.received.lastEventID = lastEventID
	}
	c.gateway.metrics.silences.Inc()
	c.log("upstream-silent", "upstream", r.send.Upstream, "for", time.Since(since).Seconds(), "begun", r.received.started)
	if !c.turn.fallSilent(r) {
		c.report(hedgeSilent{ticket: c.ticket, since: since})
		return
	}
	if r.hedging == nil {
		r.hedging = c.startHedging(r)
	}
	c.report(attemptSilent{ticket: c.ticket, hedges: r.hedging.commands, silence: dispatch.Silence{
		Since: since, Started: r.received.started, LastEventID: c.resumeID(r.received), Version: r.version,
	}})
}

// Resumed implements exchange.Receiver.
func (r *attemptRun) Resumed() {
	c := r.handler
	c.gateway.metrics.resumptions.Inc()
	c.log("upstream-resumed", "upstream", r.send.Upstream)
	c.report(attemptResumed{ticket: c.ticket})
}
