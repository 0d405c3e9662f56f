package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock"
)

// closeReason says why a caller's connection is closed without a whole answer. It is
// the value of the metric label "reason" and of the log key "reason".
type closeReason string

const (
	// closeCallerLeft means that the caller closed its connection, or its sending
	// side, before the answer was whole.
	closeCallerLeft closeReason = "caller_left"
	// closeWriteFailed means that the caller's connection broke or accepted no bytes.
	closeWriteFailed closeReason = "write_failed"
	// closeLost means that the connection to the agent or the upstream broke.
	closeLost closeReason = "lost"
	// closeSilent means that the upstream was silent for longer than the timeouts.
	closeSilent closeReason = "silent"
	// closeTimedOut means that the deadline of the call passed.
	closeTimedOut closeReason = "timed_out"
	// closeTooLarge means that the response is larger than the limit.
	closeTooLarge closeReason = "too_large"
	// closeStopping means that the grace period of a planned stop was over.
	closeStopping closeReason = "stopping"
	// closePanic means that the handler panicked.
	closePanic closeReason = "panic"
	// closeProcessEnd means that the process ended with calls in progress.
	closeProcessEnd closeReason = "process_end"
)

// truncation is the error of a response that broke off after its head was passed on.
// It matches relay.ErrTruncated.
type truncation struct {
	reason closeReason
	cause  error
}

// Error implements error.
func (t *truncation) Error() string { return string(t.reason) + ": " + t.cause.Error() }

// Is implements the interface of errors.Is.
func (t *truncation) Is(target error) bool { return target == relay.ErrTruncated }

// Unwrap returns the cause.
func (t *truncation) Unwrap() error { return t.cause }

// truncated returns the error for a response that broke off with err. ctx is the one
// that the response was read under.
func truncated(ctx context.Context, end retry.End, err error) *truncation {
	t := &truncation{reason: closeLost, cause: err}
	switch {
	case errors.Is(err, errResponseTooLarge):
		t.reason = closeTooLarge
	case errors.Is(context.Cause(ctx), errStopping):
		t.reason = closeStopping
	case end == retry.Stalled:
		t.reason = closeSilent
	case end == retry.TimedOut:
		t.reason = closeTimedOut
	case end == retry.Canceled:
		t.reason = closeCallerLeft
	}
	return t
}

// closeReasonOf returns the reason to close the connection of a caller whose response
// could not be written as a whole. ctx is the one that it was written under.
func closeReasonOf(ctx context.Context, err error) closeReason {
	var t *truncation
	switch {
	case errors.As(err, &t):
		return t.reason
	case errors.Is(err, context.DeadlineExceeded):
		return closeTimedOut
	case errors.Is(context.Cause(ctx), errStopping):
		return closeStopping
	default:
		return closeWriteFailed
	}
}

// closeConnection ends the connection of a caller without a whole answer, and records
// why. It does not return. All code that ends a caller's connection calls it, apart
// from closeAll.
func (e *Entry) closeConnection(w http.ResponseWriter, r *http.Request, c *call, reason closeReason, err error) {
	e.recordClosed(c.id, reason, err)
	sock.Abort(w, r)
}

func (e *Entry) recordClosed(request string, reason closeReason, err error) {
	e.metrics.countClosed(reason, 1)
	_ = level.Info(e.node.Logger()).Log(
		"msg", "connection closed without a whole answer", "request", request, "reason", reason, "err", err)
}

// recordPanic records a panic of a handler, after which net/http closes the caller's
// connection. It must be deferred.
func (e *Entry) recordPanic(request string) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		e.metrics.countClosed(closePanic, 1)
		_ = level.Error(e.node.Logger()).Log(
			"msg", "connection closed without a whole answer", "request", request, "reason", closePanic, "err", v)
	}
	panic(v)
}

// closeAll closes the connections that are still open when the process ends, and
// records how many calls had no whole answer.
func (e *Entry) closeAll(server *http.Server, err error) {
	calls := e.metrics.calls.Load()
	e.metrics.countClosed(closeProcessEnd, int(calls))
	_ = level.Warn(e.node.Logger()).Log(
		"msg", "connections closed at the end of the drain timeout", "calls", calls, "reason", closeProcessEnd, "err", err)
	_ = server.Close()
}
