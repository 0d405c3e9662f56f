package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
)

const (
	// defaultBodyBytes bounds a request's body until a bound is published.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds how long a caller may take to accept a part.
	writeTimeout = 5 * time.Second
)

// carrier is one request on its connection's goroutine. It carries out what
// the router orders and decides nothing.
type carrier struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	call    dispatch.Call
	ticket  dispatch.Ticket
	reply   *ring.Ring[order]
	header  http.Header
	body    []byte
	arrived time.Time
	// started says that the head of an answer was written.
	started bool
	// events says that the answer is flushed part by part.
	events bool
	// lastEvent is the last event that the caller has: the one it named, and
	// later the last one that was passed on.
	lastEvent string
	held      *exchange.HeldResponse
	// load is what the upstream said with its last answer; nil if nothing.
	load *dispatch.Load
}

// serveCall reads a request, hands it to the router and carries out its orders.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &carrier{
		gateway: g, w: w, r: r, control: http.NewResponseController(w),
		call: g.codec.Call(r), arrived: time.Now(),
		ticket: dispatch.Ticket(g.tickets.Add(1)),
		reply:  ring.New[order](1, ring.Wait),
	}
	if !c.readBody() {
		return
	}
	c.call.Fingerprint = retry.Fingerprint(c.call.Key+" "+r.RequestURI, c.body)
	c.header = g.codec.Forwarded(r.Header)
	c.lastEvent = c.call.LastEvent
	g.metrics.arrived(c.call.TimeBudget)
	if g.inbox.Put(r.Context(), arrival{ticket: c.ticket, call: c.call, reply: c.reply}) != nil {
		return
	}
	c.run()
}

// readBody reads the body whole: it may have to be sent more than once.
func (c *carrier) readBody() bool {
	if c.r.ContentLength == 0 {
		return true
	}
	limit := c.gateway.bodyBytes.Load()
	if c.r.ContentLength > limit {
		c.problem(http.StatusRequestEntityTooLarge, "body is larger than the limit")
		return false
	}
	_ = c.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = c.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.problem(http.StatusRequestEntityTooLarge, "body is larger than the limit")
	case err != nil:
		c.problem(http.StatusBadRequest, "body could not be read")
	}
	c.body = body
	return err == nil
}

// run carries out orders until the request has ended.
func (c *carrier) run() {
	for {
		o, err := c.reply.Take(c.r.Context())
		if err != nil {
			_ = c.gateway.inbox.Put(context.Background(), left{ticket: c.ticket})
			c.log("caller-left", "waited", time.Since(c.arrived).Seconds())
			return
		}
		switch a := o.action.(type) {
		case dispatch.Send:
			c.attempt(&a, o.conn)
		case dispatch.Deliver:
			c.deliver()
			return
		case dispatch.Refuse:
			c.refuse(&a)
			return
		case dispatch.Finish:
			c.gateway.metrics.latency.UpdateDuration(c.arrived)
			if c.r.Context().Err() != nil {
				c.abort()
			}
			return
		}
	}
}

// attempt sends the request once and tells the router how that ended.
func (c *carrier) attempt(a *dispatch.Send, conn *exchange.Conn) {
	ctx, cancel := context.WithDeadline(c.r.Context(), a.Deadline)
	defer cancel()
	out := c.exchange(ctx, a, conn)
	c.gateway.metrics.attempt(out.End)
	c.log("attempt", "number", a.Attempt, "upstream", a.Upstream, "expect", a.ExpectVersion,
		"left", time.Until(a.Deadline).Seconds(), "end", out.End, "first", out.FirstByte.Seconds(),
		"version", out.Version, "load", c.load, "waited", a.Waited.Seconds(), "patience", c.call.TimeBudget.Seconds(), "detail", out.Detail)
	_ = c.gateway.inbox.Put(context.Background(), ended{ticket: c.ticket, end: out.AttemptResult, conn: out.conn})
}

// outcome is that of an exchange with the connection, if it can be used again.
type outcome struct {
	exchange.Outcome
	conn *exchange.Conn
}

func (c *carrier) exchange(ctx context.Context, a *dispatch.Send, conn *exchange.Conn) outcome {
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
			return outcome{Outcome: exchange.Outcome{AttemptResult: dispatch.AttemptResult{End: end, Started: c.started, LastEventID: c.resume()}, Detail: err.Error()}}
		}
	}
	header := maps.Clone(c.header)
	c.gateway.codec.Attempt(header, a, time.Now(), c.lastEvent)
	request := &exchange.Request{
		ID: c.call.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	}
	c.events = a.Streaming
	out := exchange.Do(ctx, conn, request, c.gateway.codec.Head, c, exchange.Options{
		FirstByteTimeout: a.FirstByteTimeout, ProgressTimeout: a.GapTimeout, EventStream: a.Streaming, HoldServerErrors: a.HoldErrors, Resumed: c.started,
	})
	c.held = out.Held
	if out.LastEventID != "" {
		c.lastEvent = out.LastEventID
	}
	out.Started, out.LastEventID = c.started, c.resume()
	if !out.Reusable {
		conn.Close()
		conn = nil
	}
	return outcome{Outcome: out, conn: conn}
}

// resume returns the event after which the answer may go on elsewhere, or ""
// if the caller has got none that has an id.
func (c *carrier) resume() string {
	if !c.started || c.lastEvent == c.call.LastEvent {
		return ""
	}
	return c.lastEvent
}

// Observe implements exchange.Answer.
func (c *carrier) Observe(h *exchange.Head) {
	c.load = h.Load
	_ = c.gateway.inbox.Put(context.Background(), observed{ticket: c.ticket, seen: dispatch.Observation{
		Load: h.Load, Version: h.Version, ColdRemaining: h.ColdRemaining,
	}})
}

// Head implements exchange.Answer. An answer that goes on at another upstream
// keeps the head of the first one.
func (c *carrier) Head(resp *http.Response) error {
	if c.events {
		_ = c.gateway.inbox.Put(context.Background(), began{ticket: c.ticket})
	}
	if c.started {
		return nil
	}
	c.started = true
	c.gateway.metrics.firstByte.UpdateDuration(c.arrived)
	maps.Copy(c.w.Header(), c.gateway.codec.Returned(resp.Header))
	if !c.events && resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.w.WriteHeader(resp.StatusCode)
	return nil
}

// Part implements exchange.Answer.
func (c *carrier) Part(data []byte) error {
	if err := c.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	if !c.events {
		return nil
	}
	return c.control.Flush()
}

// deliver passes on the answer that was held.
func (c *carrier) deliver() {
	if c.started || c.held == nil {
		c.abort()
	}
	_ = c.Head(c.held.Response)
	_ = c.Part(c.held.Body)
}

// refuse answers in the system's own name. A request whose answer has begun is
// cut, so that the caller does not take it for a whole one.
func (c *carrier) refuse(a *dispatch.Refuse) {
	c.log("refused", "verdict", a.Verdict, "reason", a.Reason, "after", a.RetryAfter.Seconds(),
		"waited", time.Since(c.arrived).Seconds())
	if c.started {
		c.abort()
	}
	if a.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.problem(statuses[a.Verdict], a.Reason)
}

// statuses are the status codes of the verdicts.
var statuses = map[dispatch.Verdict]int{
	dispatch.NotRun:         http.StatusServiceUnavailable,
	dispatch.OutcomeUnknown: http.StatusBadGateway,
	dispatch.Overdue:        http.StatusGatewayTimeout,
	dispatch.NoRoute:        http.StatusNotFound,
	dispatch.NoKey:          http.StatusUnauthorized,
}

func (c *carrier) problem(status int, detail string) {
	c.w.Header().Set("Content-Type", "application/problem+json")
	c.w.WriteHeader(status)
	_, _ = c.w.Write([]byte(`{"status":` + strconv.Itoa(status) + `,"detail":` + strconv.Quote(detail) + `}`))
}

// abort closes the caller's connection without an end of the answer.
func (c *carrier) abort() { panic(http.ErrAbortHandler) }

func (c *carrier) log(event string, fields ...any) {
	_ = c.gateway.logger.Log(append([]any{"event", event, "request", c.call.ID}, fields...)...)
}
