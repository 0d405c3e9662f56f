package gateway

import (
	"time"

	"rattanspur.example/lib/sock"
)

// abortReason is why a caller's connection is closed although the response is not
// complete, as logs and metrics show it.
type abortReason string

// The reasons.
const (
	// callerLeft means that the caller closed its connection first.
	callerLeft abortReason = "caller-left"
	// callerBlocked means that the caller accepts no more bytes.
	callerBlocked abortReason = "caller-blocked"
	// answerBrokenOff means that an upstream's answer ended early after part of it was
	// written, and that no other upstream goes on with it.
	answerBrokenOff abortReason = "broken-off"
	// answerNotHeld means that a held answer was to be delivered and there is none, which
	// is an error of the gateway.
	answerNotHeld abortReason = "not-held"
	// processStops means that the answer had begun and still ran at the end of a planned
	// stop.
	processStops abortReason = "process-stops"
)

// abort closes the caller's connection without marking the end of the response. It is
// the only place that does so, and does not return.
func (c *callHandler) abort(reason abortReason) {
	c.gateway.metrics.recordAbort(reason)
	c.log("connection-closed", "reason", string(reason), "begun", c.received.started, "waited", time.Since(c.arrivedAt).Seconds())
	sock.Abort(c.w, c.r)
}
