package gateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
)

const (
	// writeTimeout is the maximum time for writing one part of a response to the
	// caller.
	writeTimeout = 5 * time.Second
)

// callHandler handles one request on the goroutine of its connection. It
// executes the router's commands and makes no decisions. It implements
// exchange.Receiver.
type callHandler struct {
	gateway    *Gateway
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	call       dispatch.Call
	ticket     dispatch.Ticket
	commands   *ring.Ring[command]
	header     http.Header
	// upload counts the memory of body.
	upload    *bodybudget.Body
	body      []byte
	arrivedAt time.Time
	// started is true once the head of a response was written to the caller.
	started bool
	// streaming is true if each part of the response is flushed.
	streaming bool
	// lastEventID is the ID of the last event that the caller has: initially the
	// one in its request, later the last one that was passed on.
	lastEventID string
	held        *exchange.HeldResponse
	// upstream runs the current attempt, and version is the version of the weights that
	// its response states.
	upstream fleet.InstanceID
	version  int64
	// lastEnd is how the last attempt ended.
	lastEnd retry.End
	// load is the load in the upstream's last response; nil if it reported none.
	load *dispatch.Load
	// limit is what that response stated about the upstream's limit.
	limit ratelimit.Statement
}

// serveCall reads a request, sends it to the router and executes the router's
// commands.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	markBusy(r.Context())
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	c := &callHandler{
		gateway: g, w: w, r: r, controller: http.NewResponseController(w),
		call: g.codec.Call(r), arrivedAt: time.Now(),
		ticket:   dispatch.Ticket(g.lastTicket.Add(1)),
		commands: ring.New[command](1, ring.Wait),
	}
	if !c.readBody() {
		return
	}
	defer c.upload.Release()
	c.call.Traits = traits(&c.call, r.RequestURI, c.body)
	c.header = g.codec.RequestHeader(r.Header)
	c.lastEventID = c.call.LastEvent
	g.metrics.recordArrival(c.call.TimeBudget)
	if g.inbox.Put(r.Context(), arrival{ctx: r.Context(), ticket: c.ticket, call: c.call, commands: c.commands}) != nil {
		c.abort(callerLeft)
	}
	c.run()
}

// run executes commands until the request has ended.
func (c *callHandler) run() {
	for {
		cmd, err := c.commands.Take(c.r.Context())
		if err != nil {
			_ = c.gateway.inbox.Put(context.Background(), callerDisconnected{ticket: c.ticket})
			// A caller that has only closed its sending side still reads, and a
			// handler that returns ends the response as a complete one.
			c.abort(callerLeft)
		}
		switch a := cmd.action.(type) {
		case dispatch.Send:
			c.attempt(cmd.ctx, &a, cmd.conn)
		case dispatch.Deliver:
			c.deliver()
			return
		case dispatch.Refuse:
			c.refuse(&a)
			return
		case dispatch.Finish:
			c.gateway.metrics.latency.UpdateDuration(c.arrivedAt)
			c.finish()
			return
		}
	}
}

// finish ends a request that needs no further action. A handler that returns marks the
// end of the response, so that an incomplete one is aborted instead.
func (c *callHandler) finish() {
	switch {
	case c.r.Context().Err() != nil:
		c.abort(callerLeft)
	case c.lastEnd == retry.Canceled:
		c.abort(callerBlocked)
	}
}

// attempt sends the request once and reports the result to the router.
func (c *callHandler) attempt(ctx context.Context, a *dispatch.Send, conn *exchange.Conn) {
	c.upstream, c.version = a.Upstream, 0
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	out := c.exchange(ctx, a, conn)
	c.lastEnd = out.End
	c.gateway.metrics.recordAttempt(out.End)
	fields := []any{
		"number", a.Attempt, "rank", a.Rank, "upstream", a.Upstream, "expect", a.ExpectVersion,
		"desired", a.DesiredVersion, "desired-for", a.DesiredFor.Seconds(),
		"left", time.Until(a.Deadline).Seconds(), "end", out.End, "first", out.FirstByte.Seconds(),
		"version", out.Version, "load", c.load, "limit", c.limit, "waited", a.Waited.Seconds(), "patience", c.call.TimeBudget.Seconds(), "detail", out.Detail,
	}
	if c.gateway.stopping() {
		fields = append(fields, "expected", a.Expected.Seconds(), "hint", c.call.ExpectedAnswerTokens, "most-tokens", c.call.MaxAnswerTokens)
	}
	if out.End.Crash() {
		fields = append(fields, "begun", out.Started || out.FirstByte > 0, "traits", formatTraits(c.call.Traits))
	}
	c.log("attempt", fields...)
	_ = c.gateway.inbox.Put(context.Background(), attemptEnded{ticket: c.ticket, result: out.AttemptResult, conn: out.conn})
}

// attemptOutcome is the outcome of an exchange. conn is its connection if it can
// be reused, and nil otherwise.
type attemptOutcome struct {
	exchange.Outcome
	conn *exchange.Conn
}

func (c *callHandler) exchange(ctx context.Context, a *dispatch.Send, conn *exchange.Conn) attemptOutcome {
	// A process that was paused reads requests whose callers have left meanwhile.
	if c.r.Context().Err() != nil {
		out := exchange.Outcome{AttemptResult: dispatch.AttemptResult{End: retry.Canceled}, Detail: "caller left before the send"}
		return attemptOutcome{Outcome: out, conn: conn}
	}
	if conn != nil && !conn.Usable(time.Now()) {
		conn.Close()
		conn = nil
	}
	if conn == nil {
		var err error
		c.gateway.metrics.dials.Inc()
		if conn, err = exchange.Dial(ctx, a.Address); err != nil {
			end := retry.Unreachable
			if c.r.Context().Err() != nil {
				end = retry.Canceled
			}
			return attemptOutcome{Outcome: exchange.Outcome{AttemptResult: dispatch.AttemptResult{End: end, Started: c.started, LastEventID: c.resumeID()}, Detail: err.Error()}}
		}
	}
	header := maps.Clone(c.header)
	c.gateway.codec.AddAttempt(header, a, time.Now(), c.lastEventID)
	request := &exchange.Request{
		ID: c.call.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	}
	c.streaming = a.Streaming
	out := exchange.Do(ctx, conn, request, c.gateway.codec.Head, c, exchange.Options{
		FirstByteTimeout: a.FirstByteTimeout, BeginBy: a.BeginBy, ProgressTimeout: a.GapTimeout, EventStream: a.Streaming,
		FirstByteSilence: a.FirstByteSilence, ProgressSilence: a.GapSilence,
		HoldServerErrors: a.HoldErrors, Resumed: c.started,
	})
	c.held = out.Held
	if out.LastEventID != "" {
		c.lastEventID = out.LastEventID
	}
	out.Started, out.LastEventID = c.started, c.resumeID()
	if !out.Reusable {
		conn.Close()
		conn = nil
	}
	return attemptOutcome{Outcome: out, conn: conn}
}

// resumeID returns the ID of the event after which another upstream may resume
// the response. It returns "" if the caller has received no event with an ID.
func (c *callHandler) resumeID() string {
	if !c.started || c.lastEventID == c.call.LastEvent {
		return ""
	}
	return c.lastEventID
}

// Observe implements exchange.Receiver. It reports the upstream's load, version and
// limit to the router.
func (c *callHandler) Observe(h *exchange.Head) {
	c.load, c.limit, c.version = h.Load, h.Limit, h.Version
	if h.Leaving || h.RetryAfter > 0 {
		c.log("upstream-declines", "leaving", h.Leaving, "after", h.RetryAfter.Seconds())
	}
	c.gateway.metrics.recordLimit(h.Limit)
	c.gateway.metrics.loadUnreadable.Add(h.UnreadableLoad)
	_ = c.gateway.inbox.Put(context.Background(), headReceived{ticket: c.ticket, observation: dispatch.Observation{
		Load: h.Load, Version: h.Version, ColdRemaining: h.ColdRemaining, Limit: h.Limit,
		Leaving: h.Leaving, RetryAfter: h.RetryAfter,
	}})
}

// Head implements exchange.Receiver. If a response is resumed at another
// upstream, the head that was already written stays.
func (c *callHandler) Head(resp *http.Response) error {
	// Only a success is the beginning of an answer; the end of the attempt reports
	// any other status.
	if c.streaming && resp.StatusCode/100 == http.StatusOK/100 {
		_ = c.gateway.inbox.Put(context.Background(), responseStarted{ticket: c.ticket})
	}
	if c.started {
		return nil
	}
	c.started = true
	c.gateway.metrics.firstByte.UpdateDuration(c.arrivedAt)
	maps.Copy(c.w.Header(), c.gateway.codec.ResponseHeader(resp.Header))
	if !c.streaming && resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.announceClose()
	c.w.WriteHeader(resp.StatusCode)
	return nil
}

// Part implements exchange.Receiver. It writes a part of the body to the caller.
func (c *callHandler) Part(data []byte) error {
	if err := c.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	if !c.streaming {
		return nil
	}
	return c.controller.Flush()
}

// Silent implements exchange.Receiver. The router decides whether the attempt is
// interrupted.
func (c *callHandler) Silent(since time.Time, lastEventID string) {
	if lastEventID != "" {
		c.lastEventID = lastEventID
	}
	c.gateway.metrics.silences.Inc()
	c.log("upstream-silent", "upstream", c.upstream, "for", time.Since(since).Seconds(), "begun", c.started)
	_ = c.gateway.inbox.Put(context.Background(), attemptSilent{ticket: c.ticket, silence: dispatch.Silence{
		Since: since, Started: c.started, LastEventID: c.resumeID(), Version: c.version,
	}})
}

// Resumed implements exchange.Receiver.
func (c *callHandler) Resumed() {
	c.gateway.metrics.resumptions.Inc()
	c.log("upstream-resumed", "upstream", c.upstream)
	_ = c.gateway.inbox.Put(context.Background(), attemptResumed{ticket: c.ticket})
}

// deliver passes on the held response.
func (c *callHandler) deliver() {
	if c.started || c.held == nil {
		c.abort(answerNotHeld)
	}
	_ = c.Head(c.held.Response)
	_ = c.Part(c.held.Body)
}

// refuse responds with a problem of the gateway itself. If part of a response
// was already written, it aborts the connection instead, so that the caller does
// not treat the response as complete.
func (c *callHandler) refuse(a *dispatch.Refuse) {
	fields := []any{
		"verdict", a.Verdict, "rank", a.Rank, "reason", a.Reason, "after", a.RetryAfter.Seconds(), "waited", time.Since(c.arrivedAt).Seconds(),
	}
	if a.Trait != 0 {
		fields = append(fields, "trait", a.Trait.String())
	}
	c.log("refused", fields...)
	if c.started {
		c.abort(c.brokenOffReason())
	}
	if a.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.writeProblem(statusCodes[a.Verdict], a.Reason)
}

// statusCodes maps verdicts to HTTP status codes.
var statusCodes = map[dispatch.Verdict]int{
	dispatch.NotRun:         http.StatusServiceUnavailable,
	dispatch.OutcomeUnknown: http.StatusBadGateway,
	dispatch.Overdue:        http.StatusGatewayTimeout,
	dispatch.NoRoute:        http.StatusNotFound,
	dispatch.NoKey:          http.StatusUnauthorized,
}

func (c *callHandler) writeProblem(status int, detail string) {
	c.announceClose()
	c.w.Header().Set("Content-Type", "application/problem+json")
	c.w.WriteHeader(status)
	_, _ = c.w.Write([]byte(`{"status":` + strconv.Itoa(status) + `,"detail":` + strconv.Quote(detail) + `}`))
}

func (c *callHandler) log(event string, fields ...any) {
	_ = c.gateway.logger.Log(append([]any{"event", event, "request", c.call.ID}, fields...)...)
}
