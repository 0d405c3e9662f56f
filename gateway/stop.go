package gateway

import (
	"context"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/duty"
)

const (
	// shutdownDelay is how long a stopping gateway still accepts new
	// connections, so that the platform has time to notice that it is not ready.
	shutdownDelay = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period requests in progress
	// are ended, so that their answers are written before the process is killed.
	stopMargin = 500 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process ends
	// although requests are in progress.
	exitMargin = 100 * time.Millisecond
	// marginDivisor bounds stopMargin by a fraction of a short grace period.
	marginDivisor = 4
)

// stopStarted tells the router that a planned stop has begun, and when it is over.
type stopStarted struct{ end time.Time }

// stopOver tells the router that the stop is over.
type stopOver struct{}

func (stopStarted) event() {}
func (stopOver) event()    {}

// stop makes the readiness check fail, accepts connections until the platform sends no
// more, closes each one once it is idle, and lets requests in progress complete. Shortly
// before the grace period ends it ends those that remain, so that each gets an answer.
func (g *Gateway) stop(f *front) error {
	startedAt := time.Now()
	grace := g.settings.GracePeriod
	margin := min(stopMargin, grace/marginDivisor)
	end := startedAt.Add(grace - margin)
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace))
	defer cancel()
	g.stopEnd.Store(end.UnixNano())
	_ = g.logger.Log("event", "stop-begun", "grace", grace.Seconds(), "requests", g.inProgress.Load())
	_ = g.inbox.Put(ctx, stopStarted{end: end})
	_ = duty.Sleep(ctx, min(shutdownDelay, grace/2))
	f.closeListener()
	if !f.drain(end) {
		g.endUploads()
		_ = g.inbox.Put(ctx, stopOver{})
		f.drain(startedAt.Add(grace - min(exitMargin, margin/2)))
	}
	open := g.inProgress.Load()
	_ = g.logger.Log("event", "stop", "seconds", time.Since(startedAt).Seconds(),
		"refused", g.stopRefused.Load(), "unknown", g.stopUnknown.Load(), "open", open)
	return g.end(f, open)
}

// stopping reports whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.stopEnd.Load() > 0 }

// countStop counts what a stopping gateway rejects, by what is known about the request.
func (g *Gateway) countStop(a *dispatch.Refuse) {
	switch {
	case !g.stopping():
	case a.Verdict == dispatch.NotRun:
		g.stopRefused.Add(1)
	case a.Verdict == dispatch.OutcomeUnknown, a.Verdict == dispatch.Overdue:
		g.stopUnknown.Add(1)
	}
}

// startStop tells the core that a stop has begun. The router keeps its end for a core
// that replaces this one.
func (r *router) startStop(ctx context.Context, now, end time.Time) {
	r.stopEnd = end
	r.execute(ctx, r.core.Stop(now, end))
}

// endStop interrupts what still runs at the end of a stop, also the requests that the
// core does not know because it was replaced.
func (r *router) endStop(ctx context.Context, now time.Time) {
	if r.stopEnd.IsZero() || now.Before(r.stopEnd) {
		return
	}
	for ticket, req := range r.active {
		if req.orphaned && !req.interrupted {
			req.interrupted = true
			r.execute(ctx, []dispatch.Action{dispatch.Interrupt{Ticket: ticket}})
		}
	}
}

// announceClose tells the caller that its connection closes after the response if the
// process stops.
func (c *callHandler) announceClose() {
	if c.gateway.stopping() {
		c.w.Header().Set("Connection", "close")
	}
}

// brokenOffReason returns why a response that has begun is not completed.
func (c *callHandler) brokenOffReason() abortReason {
	if end := c.gateway.stopEnd.Load(); end > 0 && time.Now().UnixNano() >= end {
		return processStops
	}
	return answerBrokenOff
}

// resumeStop tells a core that replaced another one of the stop, if one has begun.
func (r *router) resumeStop(ctx context.Context) {
	if r.stopEnd.IsZero() {
		return
	}
	now := time.Now()
	r.execute(ctx, r.core.Stop(now, r.stopEnd))
	r.endStop(ctx, now)
}
