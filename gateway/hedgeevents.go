package gateway

import (
	"context"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
)

// attemptReplaced reports that a hedge has taken the place of the current attempt, which
// ended. conn is the connection of that attempt if it can be reused, and nil otherwise.
type attemptReplaced struct {
	ticket dispatch.Ticket
	result dispatch.AttemptResult
	conn   *exchange.Conn
}

// hedgeEnded reports that a hedge has ended beside the current attempt, hedgeDropped that it
// was not sent, and hedgeSilent that nothing has come from it since a time.
type (
	hedgeEnded struct {
		ticket dispatch.Ticket
		result dispatch.AttemptResult
		conn   *exchange.Conn
	}
	hedgeDropped struct {
		ticket dispatch.Ticket
		conn   *exchange.Conn
	}
	hedgeSilent struct {
		ticket dispatch.Ticket
		since  time.Time
	}
)

func (attemptReplaced) event() {}
func (hedgeEnded) event()      {}
func (hedgeDropped) event()    {}
func (hedgeSilent) event()     {}

// handleReplacement makes the hedge of a request its current attempt.
func (r *router) handleReplacement(ctx context.Context, now time.Time, ev attemptReplaced) {
	req := r.active[ev.ticket]
	if req == nil {
		closeConn(ev.conn)
		return
	}
	r.gateway.metrics.interrupts.Inc()
	r.endAttempt(&req.activeAttempt, ev.conn)
	req.activeAttempt, req.hedge = *req.hedge, nil
	r.execute(ctx, r.core.AttemptReplaced(now, ev.ticket, ev.result))
	if ev.result.End.Crash() {
		r.checkConvictions(now)
	}
}

// endHedge ends the hedge of a request.
func (r *router) endHedge(ticket dispatch.Ticket, conn *exchange.Conn) {
	req := r.active[ticket]
	if req == nil || req.hedge == nil {
		closeConn(conn)
		return
	}
	r.endAttempt(req.hedge, conn)
	req.hedge = nil
}

// abandonHedge ends a hedge whose command was not taken before the attempt ended.
func (req *activeRequest) abandonHedge() {
	if req.hedge == nil {
		return
	}
	closeConn(req.hedge.conn)
	req.hedge.interrupt(nil)
	req.hedge = nil
}

// interruptAll interrupts the attempts of a request.
func (req *activeRequest) interruptAll() {
	req.interrupt(exchange.ErrInterrupted)
	if req.hedge != nil {
		req.hedge.interrupt(exchange.ErrInterrupted)
	}
}

// logHedge logs for which silent attempt a hedge begins, and what is assumed about its
// upstream.
func (r *router) logHedge(req *activeRequest, a *dispatch.Send) {
	r.gateway.metrics.hedges.Inc()
	_ = r.gateway.logger.Log("event", "attempt-hedged", "request", req.call.ID, "number", a.Attempt, "upstream", req.upstream, "to", a.Upstream, "estimate", a.Estimate)
}

func closeConn(c *exchange.Conn) {
	if c != nil {
		c.Close()
	}
}
