package dispatch

import (
	"time"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// stopRetryAfter is the retry delay for requests that a planned stop leaves no time for.
// Another entry can serve them at once.
const stopRetryAfter = 200 * time.Millisecond

// A stream that begins during a stop must leave time for its upstream to be silent for a
// moment, since it is cut if it still runs at the end: maxStopReserve, or the length of the
// stop by stopReserveDivisor if that is shorter.
const (
	maxStopReserve     = 2 * time.Second
	stopReserveDivisor = 2
)

// loadedSlowdown is the factor by which an answer may take longer at an engine with all of
// its slots in use. A stream that is cut at the end costs more than one that begins elsewhere.
const loadedSlowdown = 2

const (
	// stopReason is the reason given to callers whose request could not end before the
	// process does.
	stopReason = "the process stops before the request could end"
	// interruptedReason is that reason if the request was running at the end.
	interruptedReason = "the process stops and the request still ran"
)

// Stop begins a planned stop that ends at a given time. Until then, requests are handled
// as usual if they are expected to end in time, and rejected as early as possible
// otherwise. At the end, what waits is rejected and what runs is interrupted. A later
// call can only bring the end forward.
func (c *Core) Stop(now, end time.Time) []Action {
	if c.stopEnd.IsZero() || end.Before(c.stopEnd) {
		c.stopEnd = end
		c.stopReserve = min(maxStopReserve, end.Sub(now)/stopReserveDivisor)
	}
	return c.drain(now)
}

// stopping reports whether a planned stop has begun.
func (c *Core) stopping() bool { return !c.stopEnd.IsZero() }

// endForStop rejects the waiting requests that cannot end before the process does any
// more. Once the stop is over it interrupts those that run.
func (c *Core) endForStop(now time.Time) []Action {
	if !c.stopping() {
		return nil
	}
	over := !now.Before(c.stopEnd)
	var actions []Action
	for ticket, r := range c.requests {
		switch {
		case r.upstream == nil && !c.endsInTime(now, c.service(now, r.service), r):
			actions = append(actions, c.giveUp(now, r, stopReason)...)
		case r.upstream != nil && over && !r.interrupted:
			r.interrupted = true
			actions = append(actions, Interrupt{Ticket: ticket})
		}
	}
	return actions
}

// endsInTime reports whether a request that is sent now is expected to end before the
// process does.
func (c *Core) endsInTime(now time.Time, s *service, r *request) bool {
	if !c.stopping() {
		return true
	}
	return now.Before(c.stopEnd) && !now.After(c.latestSend(s, r))
}

// hedgeEndsInTime reports whether a hedge that is sent now is expected to end before the process
// does. No time is set apart in which its upstream may be silent: the silent attempt, which
// goes on beside it, has used that up.
func (c *Core) hedgeEndsInTime(now time.Time, r *request) bool {
	if !c.stopping() || !r.deadline.After(c.stopEnd) {
		return true
	}
	return !now.After(c.stopEnd.Add(-c.expectedTime(c.service(now, r.service), r)))
}

// latestSend returns when a request must be sent to end before a stopping process does.
func (c *Core) latestSend(s *service, r *request) time.Time {
	if !r.deadline.After(c.stopEnd) {
		return r.deadline
	}
	latest := c.stopEnd.Add(-c.expectedTime(s, r))
	if r.route.Kind == published.Streaming && !r.begun {
		return latest.Add(-c.stopReserve)
	}
	return latest
}

// waitUntil returns when a queued request is rejected, with regard to a planned stop.
func (c *Core) waitUntil(now time.Time, s *service, r *request) time.Time {
	until := c.queueDeadline(now, r)
	if !c.stopping() {
		return until
	}
	if latest := c.latestSend(s, r); latest.Before(until) {
		return latest
	}
	return until
}

// attemptDeadline returns when an attempt ends at the latest.
func (c *Core) attemptDeadline(r *request) time.Time {
	if c.stopping() && c.stopEnd.Before(r.deadline) {
		return c.stopEnd
	}
	return r.deadline
}

// expectedTime estimates how long an attempt takes; 0 if nothing is known. The outcome of a
// request that may run only once stays unknown if the estimate is too low, so its estimate
// is an upper bound: by the answers of its route, or else the time until its deadline.
func (c *Core) expectedTime(s *service, r *request) time.Duration {
	measured := c.answerTimes[r.route.Name]
	known := measured.known()
	switch {
	case !r.route.Idempotent() && known:
		return measured.upperBound()
	case !r.route.Idempotent():
		return r.deadline.Sub(r.arrived)
	}
	if s.published != nil && s.published.Engine != nil {
		e := s.published.Engine
		first := max(s.meanFirstByte, promptTime(e, r.PromptTokens))
		if r.begun {
			// How much of the answer is left is not known. The caller loses nothing if
			// the stream goes on until the stop is over.
			return first
		}
		if e.TimePerToken > 0 && r.answerTokens() > 0 {
			return max(first, loadedSlowdown*r.duration(e), c.longestStream(r, e.TimePerToken))
		}
	}
	if r.route.Kind == published.Streaming {
		return c.longestStream(r, 0)
	}
	if known {
		return measured.mean + measured.deviation
	}
	return 0
}

// longestStream returns an upper bound of the time that a stream takes: by the longest answer
// that its request allows, at an engine with a time per token (0 if unknown), and by the
// streams of its route so far. Callers' estimates do not count, since they are often far too
// low, and a stream that is cut cannot be answered otherwise any more. 0 for other requests.
func (c *Core) longestStream(r *request, timePerToken time.Duration) time.Duration {
	if r.route.Kind != published.Streaming {
		return 0
	}
	longest := generationTime(timePerToken, r.MaxAnswerTokens)
	if a := c.answerTimes[r.route.Name]; a.known() {
		return max(longest, a.upperBound())
	}
	if longest == 0 {
		return r.deadline.Sub(r.arrived)
	}
	return longest
}

// retryAfter returns the delay after which the caller of a request that has not run
// should retry.
func (c *Core) retryAfter(now time.Time, r *request) time.Duration {
	return c.retryAfterAt(now, c.service(now, r.service), r)
}

// retryAfterAt returns that delay for a request to a service.
func (c *Core) retryAfterAt(now time.Time, s *service, r *request) time.Duration {
	if !c.endsInTime(now, s, r) {
		return stopRetryAfter
	}
	return max(time.Duration(retryAfterShare*float64(r.deadline.Sub(now))), minRetryAfter)
}

// noAnswerReason describes why a request ends without an answer after an attempt.
func (c *Core) noAnswerReason(now time.Time, u *upstream, e AttemptResult) string {
	reason := "upstream " + string(u.ID) + " gave no answer: " + e.End.String()
	if c.stopping() && !now.Before(c.stopEnd) {
		return interruptedReason + "; " + reason
	}
	return reason
}

const (
	// minAnswers is the number of answers from which the time of an answer is estimated.
	minAnswers = 8
	// deviationFactor and minBoundFactor set the upper bound of the time of an answer:
	// the mean plus so many mean deviations, and at least so many means.
	deviationFactor = 4
	minBoundFactor  = 1.5
	// deviationDivisor is the reciprocal of the weight of a new value in the mean
	// deviation.
	deviationDivisor = 4
)

// answerTime is a moving average of the times from sending a request to the end of its
// answer, and of their deviation from it.
type answerTime struct {
	count           int
	mean, deviation time.Duration
}

func (a *answerTime) add(d time.Duration) {
	a.count++
	if a.count == 1 {
		a.mean, a.deviation = d, d/2
		return
	}
	a.deviation += ((d - a.mean).Abs() - a.deviation) / deviationDivisor
	a.mean += (d - a.mean) / averageDivisor
}

// known reports whether there were enough answers for an estimate; it may be called on nil.
func (a *answerTime) known() bool { return a != nil && a.count >= minAnswers }

// upperBound returns a time within which nearly all answers end.
func (a *answerTime) upperBound() time.Duration {
	return max(a.mean+deviationFactor*a.deviation, time.Duration(minBoundFactor*float64(a.mean)))
}

// recordAnswerTime records how long an attempt took that ended with an answer. Errors
// say nothing about the time of an answer.
func (c *Core) recordAnswerTime(now time.Time, r *request, e AttemptResult) {
	if e.End != retry.Answered || e.ServerError || e.ClientError {
		return
	}
	a := c.answerTimes[r.route.Name]
	if a == nil {
		a = &answerTime{}
		c.answerTimes[r.route.Name] = a
	}
	a.add(now.Sub(r.sentAt))
}
