package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// closeRaceTime is how long before a connection was closed a request may have been
	// written and not been read.
	closeRaceTime = 100 * time.Millisecond
	// A gateway may end answers in the last sixth of the grace of a planned stop, if the
	// replica works on them and their requests were sent within lateRequestTime after the
	// signal.
	endOfGrace      = graceTime / 6
	lateRequestTime = 3 * time.Second
	// leaveTime is how long replicas may work on after an answer has ended. A replica may
	// be silent meanwhile.
	leaveTime = maxPause + time.Second
	// configDelay bounds how long a configuration may be in use after a newer one was
	// published, also at gateways without the store.
	configDelay = 10 * time.Second
)

// ending verifies how a request ended that was written whole to an undisturbed gateway:
// with a whole answer or a refusal, and not with an unknown outcome. Only the replica, the
// caller, the deadline, the timeout of the route or the end of a planned stop may end it
// otherwise; the silence of a replica may not.
func (v *verification) ending(attempt string, a answer, timed bool) {
	sent := v.requests[attempt]
	unknown := a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
	if a.complete && !unknown || a.wholeAt.IsZero() || a.left || v.interrupted(sent.gateway, sent.sentAt, a.receivedAt) {
		return
	}
	waited := a.receivedAt.Sub(sent.sentAt)
	if waited >= v.deadline(&sent, a.receivedAt)-clockSlack {
		if timed && !a.complete && waited >= sent.deadline+lateAnswerTime-clockSlack {
			v.addViolation("SILENT", attempt, "has not ended after %s", waited.Round(time.Millisecond))
		}
		return
	}
	if v.endOfStop(&sent, a, timed) {
		return
	}
	gap := a.receivedAt.Sub(a.lastPartAt)
	switch {
	case unknown && !v.replicaFailed(&sent, a, timed):
		v.addViolation("UNKNOWN", attempt, "was answered %d, while its replicas were sound, %s", a.status, v.describe(&sent, a))
	case unknown:
	case len(v.records.runs[attempt]) == 0:
		// A connection may be closed before a request on it is read. A run shows that it
		// was read.
		if timed && a.receivedAt.Sub(a.wholeAt) > closeRaceTime {
			v.addViolation("LOST", attempt, "was closed without an answer, %s", v.describe(&sent, a))
		}
	case v.replicaFailed(&sent, a, timed), sent.kind.streams() && !a.lastPartAt.IsZero() && gap >= gapPatience-clockSlack:
	default:
		v.addViolation("LOST", attempt, "was cut after %d bytes, %s", len(a.body), v.describe(&sent, a))
	}
}

// describe describes the end of an attempt, and what came before it in seconds before.
func (v *verification) describe(sent *request, a answer) string {
	before := func(at time.Time) float64 { return a.receivedAt.Sub(at).Seconds() }
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "at %s; sent %.3f s before, whole %.3f s before", a.receivedAt.Format("15:04:05.000"), before(sent.sentAt), before(a.wholeAt))
	if !a.lastPartAt.IsZero() {
		_, _ = fmt.Fprintf(&b, ", last bytes %.3f s before", before(a.lastPartAt))
	}
	for _, run := range v.records.runs[sent.attempt] {
		_, _ = fmt.Fprintf(&b, "; %s began %.3f s before and %s", run.replica, before(run.startedAt), run.end)
		if !run.endedAt.IsZero() {
			_, _ = fmt.Fprintf(&b, " %.3f s before", before(run.endedAt))
		}
	}
	return b.String()
}

// deadline returns the time after which a request that was sent may end without an
// answer: by its caller, or by a timeout of its route that was published.
func (v *verification) deadline(sent *request, until time.Time) time.Duration {
	for _, c := range v.changes {
		if c.category == "timeout" && c.from.Before(until) && (c.to.IsZero() || c.to.Add(configDelay).After(sent.sentAt)) {
			return min(sent.deadline, time.Duration(parseNumber(c.value))*time.Millisecond)
		}
	}
	return min(sent.deadline, routeTimeout)
}

// endOfStop reports whether a planned stop of its gateway may have ended a request. One
// that was sent late may be refused then, but not be cut. In an untimed soak, a slow
// process may also read a request late.
func (v *verification) endOfStop(sent *request, a answer, timed bool) bool {
	return slices.ContainsFunc(v.stops, func(s plannedStop) bool {
		ending := s.at.Add(graceTime - endOfGrace)
		if s.gateway != sent.gateway || sent.sentAt.After(s.at.Add(graceTime+time.Second)) || a.receivedAt.Before(ending) {
			return false
		}
		worked := slices.ContainsFunc(v.records.runs[sent.attempt], func(run replicaRun) bool {
			return run.end == running || run.endedAt.After(ending)
		})
		return !timed || a.complete || worked && !a.wholeAt.After(s.at.Add(lateRequestTime+clockSlack))
	})
}

// replicaFailed reports whether a replica may have ended a request. Without a run, it may
// have been any one. In an untimed soak it may be any one too: a request may have gone on
// to one that is down, which records no run.
func (v *verification) replicaFailed(sent *request, a answer, timed bool) bool {
	runs := v.records.runs[sent.attempt]
	for _, run := range runs {
		if run.end == brokeOff || v.interrupted(run.address, sent.sentAt, a.receivedAt) {
			return true
		}
	}
	if timed && len(runs) > 0 {
		return false
	}
	return !timed && len(runs) == 0 || slices.ContainsFunc(v.interruptions, func(d disturbance) bool {
		return v.replicaAddresses[d.target] && d.overlaps(sent.sentAt, a.receivedAt)
	})
}

// interrupted reports whether a fault may have ended requests at the target in a span.
func (v *verification) interrupted(target string, from, to time.Time) bool {
	return slices.ContainsFunc(v.interruptions, func(d disturbance) bool { return d.target == target && d.overlaps(from, to) })
}

// overlaps reports whether the disturbance overlaps a span.
func (d *disturbance) overlaps(from, to time.Time) bool {
	return d.from.Before(to) && (d.to.IsZero() || !d.to.Before(from))
}

// departure verifies that no replica worked on for long after the request had ended for
// its caller.
func (v *verification) departure(attempt string, a answer) {
	sent := v.requests[attempt]
	for _, run := range v.records.runs[attempt] {
		endedAt := run.endedAt
		if run.end == running {
			endedAt = v.takenAt
		}
		late := endedAt.Sub(a.receivedAt)
		if late > leaveTime && !v.interrupted(sent.gateway, sent.sentAt, endedAt) && !v.interrupted(run.address, sent.sentAt, endedAt) {
			v.addViolation("GONE", attempt, "ran at %s until %s after its end", run.replica, late.Round(time.Millisecond))
		}
	}
}
