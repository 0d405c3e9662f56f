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
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
)

const (
	// writeTimeout is the maximum time for writing one part of a response to the
	// caller.
	writeTimeout = 5 * time.Second
)

// callHandler handles one request on the goroutine of its connection. It
// executes the router's commands and makes no decisions.
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
	// received is what the caller has received. Only the attempt whose turn it is, or the
	// handler between two attempts, uses it.
	received received
	turn     turn
	held     *exchange.HeldResponse
	// lastEnd is how the last attempt ended.
	lastEnd retry.End
}

// received is what a caller has received of a response.
type received struct {
	// started is true once the head of the response was written.
	started bool
	// lastEventID is the ID of the last event that the caller has: initially the
	// one in its request, later the last one that was passed on.
	lastEventID string
}

// serveCall reads a request, sends it to the router and executes the router's
// commands.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	if !markBusy(r.Context()) {
		panic(http.ErrAbortHandler)
	}
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
	c.received.lastEventID = c.call.LastEvent
	g.metrics.recordArrival(c.call.TimeBudget)
	if n := c.call.PartsLeftOut; n > 0 {
		g.metrics.partsLeftOut.Add(n)
		c.log("prompt-parts-left-out", "parts", n)
	}
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
			c.attempt(&a, &cmd)
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

// resumeID returns the ID of the event after which another upstream may resume
// the response. It returns "" if the caller has received no event with an ID.
func (c *callHandler) resumeID(has received) string {
	if !has.started || has.lastEventID == c.call.LastEvent {
		return ""
	}
	return has.lastEventID
}

// writeHead writes the head of a response to the caller.
func (c *callHandler) writeHead(resp *http.Response, streaming bool) {
	c.gateway.metrics.firstByte.UpdateDuration(c.arrivedAt)
	maps.Copy(c.w.Header(), c.gateway.codec.ResponseHeader(resp.Header))
	if !streaming && resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.announceClose()
	c.w.WriteHeader(resp.StatusCode)
}

// writePart writes a part of the body to the caller. Each part of a stream is flushed.
func (c *callHandler) writePart(data []byte, streaming bool) error {
	if err := c.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	if !streaming {
		return nil
	}
	return c.controller.Flush()
}

// report passes an event to the router, also if the caller has left.
func (c *callHandler) report(ev event) { _ = c.gateway.inbox.Put(context.Background(), ev) }

// deliver passes on the held response.
func (c *callHandler) deliver() {
	if c.received.started || c.held == nil {
		c.abort(answerNotHeld)
	}
	c.received.started = true
	c.writeHead(c.held.Response, false)
	_ = c.writePart(c.held.Body, false)
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
	if c.received.started {
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
