package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/retry"
)

// protect runs a step of the router. If the step panics, the state of the core can
// no longer be trusted: protect replaces the core and goes on, so that one event
// does not end the process and every request in it.
func (r *router) protect(ctx context.Context, step func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.gateway.metrics.panics.Inc()
			_ = r.gateway.logger.Log("event", "router-panic", "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
			r.replaceCore(ctx)
		}
	}()
	step()
}

// replaceCore builds a new core from what is published. Requests without an attempt
// in progress end at once. The others are orphaned: they end with their attempt.
func (r *router) replaceCore(ctx context.Context) {
	for ticket, req := range r.active {
		switch {
		case req.inAttempt:
			req.orphaned = true
		case req.upstream == "":
			r.sendCommand(ctx, ticket, command{action: dispatch.Refuse{
				Ticket: ticket, Verdict: dispatch.NotRun, Reason: internalErrorReason, RetryAfter: internalErrorRetryAfter,
			}}, true)
		default:
			r.sendCommand(ctx, ticket, command{action: dispatch.Refuse{
				Ticket: ticket, Verdict: dispatch.OutcomeUnknown, Reason: internalErrorReason,
			}}, true)
		}
	}
	defer r.resumeStop(ctx)
	r.core = dispatch.New(r.gateway.settings.Dispatch)
	if r.view == nil {
		return
	}
	defer func() {
		// A core without a view refuses requests until the next one arrives.
		if cause := recover(); cause != nil {
			_ = r.gateway.logger.Log("event", "view-unusable", "revision", r.revision, "err", fmt.Sprint(cause))
			r.core = dispatch.New(r.gateway.settings.Dispatch)
		}
	}()
	r.core.Update(time.Now(), r.view)
}

const (
	internalErrorReason = "internal error of the gateway"
	// internalErrorRetryAfter is the retry delay for requests that an internal
	// error ended.
	internalErrorRetryAfter = 200 * time.Millisecond
)

// endOrphan ends a request whose attempt ended after the core that sent it was
// replaced.
func (r *router) endOrphan(ctx context.Context, ev attemptEnded) {
	result := &ev.result
	var action dispatch.Action
	switch {
	case result.Held:
		action = dispatch.Deliver{Ticket: ev.ticket}
	case result.End == retry.Answered, result.End == retry.Canceled:
		action = dispatch.Finish{Ticket: ev.ticket}
	default:
		action = dispatch.Refuse{Ticket: ev.ticket, Verdict: dispatch.OutcomeUnknown, Reason: internalErrorReason}
	}
	r.sendCommand(ctx, ev.ticket, command{action: action}, true)
}
