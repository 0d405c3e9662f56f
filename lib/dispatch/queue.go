package dispatch

import (
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

const (
	// streamWaitShare is the fraction of a stream's first-byte goal that a new
	// request may wait for capacity; the rest is left for its first event.
	streamWaitShare = 0.3
	// plainWaitShare is the fraction of the time to the deadline that a
	// non-streaming request may wait.
	plainWaitShare = 0.5
	// returningWaitShare is that fraction for a retried stream, whose goal has
	// passed already.
	returningWaitShare = 0.1
	// promptTokensPerUnit and answerTokensPerUnit are the numbers of tokens that
	// count as one unit of work.
	promptTokensPerUnit = 1024
	answerTokensPerUnit = 128
	// retryAfterShare is the fraction of the remaining time after which a
	// rejected caller is asked to retry. Callers wait for at most a third of
	// their remaining time.
	retryAfterShare = 0.3
	// minRetryAfter is the shortest delay that a rejected caller is given.
	minRetryAfter = 100 * time.Millisecond
)

// The reasons why a request is rejected instead of queued.
const (
	unservableReason = "no upstream can serve the request"
	// These say why a request whose upstream gave no answer is not sent again.
	notRepeatableReason = "the request may not be sent again"
	noBudgetReason      = "the retries of its service are used up"
	noOtherReason       = "no other upstream can serve it"
	stalledReason       = "waiting requests make no progress"
	tooManyWaitReason   = "too many requests wait"
)

// enqueue queues a request until an upstream has capacity. It rejects the
// request at once if no upstream can serve it or the queue does not accept it.
func (c *Core) enqueue(now time.Time, s *service, r *request) []Action {
	until := c.waitUntil(now, s, r)
	if !c.servable(now, s, r) {
		return c.giveUp(now, r, unservableReason)
	}
	if s.stalled(now) {
		return c.giveUp(now, r, stalledReason)
	}
	it := c.queueItem(r, until)
	if s.wouldExpire(now, &it) {
		s.recordRejection(now, r)
		return c.giveUp(now, r, tooManyWaitReason)
	}
	if reason := s.push(now, it); reason != admission.Queued {
		return c.giveUp(now, r, string(reason))
	}
	return c.drain(now)
}

// queueItem returns the item of a request that waits until a time.
func (c *Core) queueItem(r *request, until time.Time) admission.Item[*request] {
	return admission.Item[*request]{
		Customer: r.customerName(),
		Priority: c.priority(r, until),
		Cost:     1 + r.PromptTokens/promptTokensPerUnit + r.MaxAnswerTokens/answerTokensPerUnit,
		Deadline: until,
		Value:    r,
	}
}

// stallTime is the time without progress of the waiting requests of a service after
// which further ones are rejected at once. It is longer than most pauses between two
// sends at a service that is merely busy.
const stallTime = 250 * time.Millisecond

// stalled reports whether requests wait and none of them could be sent for stallTime,
// as when all upstreams were lost at once. Those that wait already are still sent if
// an upstream returns.
func (s *service) stalled(now time.Time) bool {
	if s.newRequests.length()+s.returningRequests.length() == 0 {
		s.idleSince = now
		return false
	}
	return now.Sub(s.idleSince) >= stallTime
}

// queuesFor returns the queues that a request belongs to.
func (s *service) queuesFor(r *request) regionQueues {
	switch {
	case r.suspect != 0:
		return s.suspectedRequests
	case r.possibleRuns > 0:
		return s.failoverRequests
	case r.returningStream():
		return s.returningRequests
	}
	return s.newRequests
}

// newAhead reports whether new requests wait that go before a returning one, or requests that
// go before one by rank.
func (s *service) newAhead(r *request) bool {
	if r.ranked {
		return r.possibleRuns == 0 && r.suspect == 0 && s.rankedBefore(r) > 0
	}
	q := s.newRequests[queueKey{group: r.regionKey()}]
	return r.returningStream() && r.possibleRuns == 0 && q != nil && q.Len() > 0
}

// noneAhead reports whether no waiting request goes before a request that has
// just arrived.
func (s *service) noneAhead(r *request) bool {
	if s.newAhead(r) {
		return false
	}
	q := s.queuesFor(r)[r.queueKey()]
	return q == nil || q.Len() == 0
}

// priority orders the waiting requests of one customer by rank, then by the end
// of their wait in milliseconds.
func (c *Core) priority(r *request, until time.Time) int {
	if r.ranked {
		return -r.place*rankStep - int(until.Sub(c.startedAt)/time.Millisecond)
	}
	return -r.rank()*rankStep - int(until.Sub(c.startedAt)/time.Millisecond)
}

// rankStep is the difference in priority between two ranks. It exceeds any
// difference in wait.
const rankStep = 1 << 40

// queueDeadline returns when a queued request is rejected.
func (c *Core) queueDeadline(now time.Time, r *request) time.Time {
	switch {
	case r.route.Kind == published.Streaming && r.returning:
		return now.Add(time.Duration(returningWaitShare * float64(r.deadline.Sub(now))))
	case r.route.Kind == published.Streaming:
		return r.arrived.Add(time.Duration(streamWaitShare * float64(r.route.LatencyGoal)))
	}
	return now.Add(time.Duration(plainWaitShare * float64(r.deadline.Sub(now))))
}

// servable reports whether any upstream is acceptable for the request,
// regardless of its load.
func (c *Core) servable(now time.Time, s *service, r *request) bool {
	if s.published == nil {
		return false
	}
	for _, u := range s.upstreams {
		if c.acceptable(now, s, r, u) {
			return true
		}
	}
	return false
}

// drain sends waiting requests while upstreams have capacity and rejects those
// whose wait is over. Requests that an upstream failed go before new ones, and new ones
// before returning ones.
func (c *Core) drain(now time.Time) []Action {
	actions := c.endForStop(now)
	for _, s := range c.services {
		groups := [...]regionQueues{s.failoverRequests, s.newRequests, s.suspectedRequests, s.returningRequests}
		for _, queues := range groups {
			actions = c.sweep(now, s, queues, actions)
		}
		if s.rankOrder.applies() {
			actions = c.drainByRank(now, s, actions)
			groups = [...]regionQueues{s.suspectedRequests, nil, nil, nil}
		}
		for _, queues := range groups {
			actions = c.drainQueues(now, s, queues, actions)
		}
		s.updateProgress(now)
	}
	return c.hedgeSilent(now, actions)
}

func (c *Core) drainQueues(now time.Time, s *service, queues regionQueues, actions []Action) []Action {
	for _, key := range queues.keys() {
		q := queues[key]
		actions = c.drainQueue(now, s, q, actions)
		if q.Len() == 0 {
			delete(queues, key)
		}
	}
	return actions
}

// drainQueue drains one queue. A returning request is not sent while new ones
// wait for the same regions.
func (c *Core) drainQueue(now time.Time, s *service, q *requestQueue, actions []Action) []Action {
	for it := q.Peek(); it != nil; it = q.Peek() {
		r := it.Value
		if s.newAhead(r) {
			break
		}
		d := c.decide(now, r)
		if d.Verdict == poison.Blocked {
			q.Take(now)
			actions = append(actions, c.block(r, d))
			continue
		}
		send, ok := c.trySend(now, s, r, d)
		if !ok {
			break
		}
		q.Take(now)
		actions = append(actions, send)
	}
	return actions
}

// abandoned reports whether a queued request was canceled meanwhile.
func (c *Core) abandoned(r *request) bool { return c.requests[r.ticket] != r }

// giveUp ends a request without a response from an upstream. Only callers whose
// request certainly did not run are asked to retry.
func (c *Core) giveUp(now time.Time, r *request, reason string) []Action {
	delete(c.requests, r.ticket)
	out := Refuse{Ticket: r.ticket, Reason: reason, Rank: r.rank(), Ranked: r.ranked}
	remaining := r.deadline.Sub(now)
	switch {
	case r.possibleRuns > 0 && remaining <= 0:
		out.Verdict = Overdue
	case r.possibleRuns > 0:
		out.Verdict = OutcomeUnknown
	default:
		out.Verdict = NotRun
		out.RetryAfter = c.retryAfter(now, r)
	}
	return []Action{out}
}

// AttemptEnded handles the result of an attempt: the request is finished,
// retried, queued again or given up. It also sends waiting requests that fit now.
func (c *Core) AttemptEnded(now time.Time, ticket Ticket, e AttemptResult) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil {
		return nil
	}
	u := r.upstream
	r.dropHedge()
	c.recordEnd(now, r, e)
	actions := c.nextAction(now, r, u, e)
	return append(actions, c.drain(now)...)
}

// recordEnd ends the current attempt of a request and applies its result.
func (c *Core) recordEnd(now time.Time, r *request, e AttemptResult) {
	u := r.upstream
	silence := c.endSilence(r)
	r.release()
	if silence != nil && e.End == retry.Stalled {
		c.recordSilentEnd(now, r, u, silence, e)
	} else {
		c.recordResult(now, u, r, &r.attempt, e)
	}
	c.recordAnswerTime(now, r, e)
	if !e.End.NotRun() {
		r.possibleRuns++
	}
	if e.Started && r.version == 0 {
		r.version = e.Version
	}
}

// recordResult applies the result of an attempt to the states of the upstream
// and of the request.
func (c *Core) recordResult(now time.Time, u *upstream, r *request, a *attempt, e AttemptResult) {
	switch {
	case e.End == retry.Answered && e.ServerError:
		u.recordServerError(now)
	case e.End == retry.Answered:
		u.recordAlive(now)
		u.recordSuccess(e.FirstByte)
		u.speedEffect.add(e.FirstByte, a.statedSlowdown)
	case e.Misdirected:
		u.pause(now, misdirectedPause)
	case e.End == retry.Busy || e.End == retry.Refused:
		u.recordRefusal(now, a.sentAt)
	case e.End.Failure():
		u.recordFailure(now)
	}
	c.recordEvidence(now, r, a, e)
	if e.End.Failure() || e.ServerError || e.Misdirected {
		r.failedUpstreams = append(r.failedUpstreams, failedUpstream{id: u.ID})
	}
}

// nextAction decides whether a request is finished, retried, queued again or
// given up.
func (c *Core) nextAction(now time.Time, r *request, u *upstream, e AttemptResult) []Action {
	s := c.service(now, r.service)
	delivered := e.End == retry.Answered && (!e.ServerError || !e.Held)
	if delivered || e.End == retry.Canceled {
		delete(c.requests, r.ticket)
		return []Action{Finish{Ticket: r.ticket}}
	}
	d := c.decide(now, r)
	r.suspect = suspectedTrait(d)
	noRetry := c.mayRetry(now, s, r, d, e)
	switch {
	case d.Verdict == poison.Blocked && r.possibleRuns == 0:
		return []Action{c.block(r, d)}
	case noRetry == "":
		if send, ok := c.trySend(now, s, r, d); ok {
			return []Action{send}
		}
		switch {
		case r.possibleRuns == 0:
			return c.enqueue(now, s, r)
		case !e.Held && c.movable(now, s, r):
			return c.enqueueFailover(now, s, r, e)
		}
		noRetry = noOtherReason
	}
	if e.Held {
		delete(c.requests, r.ticket)
		return []Action{Deliver{Ticket: r.ticket}}
	}
	return c.giveUp(now, r, c.noAnswerReason(now, u, e)+"; "+noRetry)
}

// mayRetry returns why the request may not be sent once more, or "" if it may. It then
// takes a retry from the budget unless the upstream was unreachable.
func (c *Core) mayRetry(now time.Time, s *service, r *request, d poison.Decision, e AttemptResult) (reason string) {
	if !c.repeatable(now, r, d, e) {
		return notRepeatableReason
	}
	// An unreachable upstream has not received the request, so that a retry adds
	// no load and does not count against the budget.
	if e.End != retry.Unreachable && !s.retryBudget.Spend(now, c.place.Processes) {
		return noBudgetReason
	}
	return ""
}

// repeatable reports whether the request may be sent once more after an attempt, regardless of
// the budget.
func (c *Core) repeatable(now time.Time, r *request, d poison.Decision, e AttemptResult) bool {
	return c.endsInTime(now, c.service(now, r.service), r) && r.mayRunAgain(now, d, e, r.possibleRuns)
}

// mayRunAgain reports whether the request may be sent once more after the given number of
// possible runs. A suspected request is not sent again after a crash, so that it crashes no
// second upstream.
func (r *request) mayRunAgain(now time.Time, d poison.Decision, e AttemptResult, possibleRuns int) bool {
	if !now.Before(r.deadline) {
		return false
	}
	if !e.End.NotRun() && (!r.route.Idempotent() || possibleRuns >= r.route.MaxAttempts) {
		return false
	}
	if e.Started && e.LastEventID == "" {
		return false
	}
	return d.Verdict != poison.Blocked && (!e.End.Crash() || d.Verdict == poison.Clear)
}
