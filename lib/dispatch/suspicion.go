package dispatch

import (
	"strconv"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// blockedReason is the reason given to callers whose request is blocked.
const blockedReason = "request crashed several upstreams"

// Detector returns the evidence about requests that crash upstreams.
func (c *Core) Detector() *poison.Detector { return c.detector }

// ApplyReports adds the evidence of another entry. Waiting requests that must not
// run any more are rejected at once.
func (c *Core) ApplyReports(now time.Time, reports []poison.Report) []Action {
	if len(reports) == 0 {
		return nil
	}
	c.detector.Merge(now, reports)
	return c.drain(now)
}

// decide returns how a request may run. One whose answer began goes on anywhere, since most
// upstreams are lost for other reasons, unless it was lost once more or its traits were under
// suspicion before it was lost: a trait may crash upstreams right after the first event.
func (c *Core) decide(now time.Time, r *request) poison.Decision {
	d := c.check(now, r)
	if d.Verdict == poison.Suspected && r.begun && !r.suspected {
		return poison.Decision{}
	}
	return d
}

// check returns the decision on the traits of a request. It is the same as long as no trait is
// under suspicion and the evidence does not change.
func (c *Core) check(now time.Time, r *request) poison.Decision {
	c.detector.Expire(now)
	if r.clear != 0 && r.clear == c.detector.Revision() {
		return poison.Decision{}
	}
	d := c.detector.Check(now, r.Traits)
	r.clear = 0
	if d.Verdict == poison.Clear {
		r.clear = c.detector.Revision()
	}
	return d
}

// suspectedTrait returns the trait whose requests all go to one upstream, or 0 if
// the request may go anywhere.
func suspectedTrait(d poison.Decision) poison.Trait {
	if d.Verdict == poison.Suspected || d.Verdict == poison.Probe {
		return d.Trait
	}
	return 0
}

// pickSuspected returns the upstream for requests with a suspected trait: among the
// acceptable ones that are not avoided and have not failed the request, the one with
// the greatest rendezvous weight. It returns nil if that one has no capacity.
func (c *Core) pickSuspected(now time.Time, s *service, r *request, t poison.Trait) *upstream {
	if s.published == nil {
		return nil
	}
	key := t.String()
	var first *upstream
	greatest := uint64(0)
	for _, u := range s.upstreams {
		weight := fleet.RendezvousWeight(key, string(u.ID))
		if first != nil && weight <= greatest {
			continue
		}
		if u.avoided(now) || r.excludes(now, u) || !c.acceptable(now, s, r, u) {
			continue
		}
		first, greatest = u, weight
	}
	if first == nil || !c.hasCapacity(now, s, r, first) {
		return nil
	}
	return first
}

// recordProbe returns the trait that a request which is sent now probes, or 0.
func (c *Core) recordProbe(now time.Time, d poison.Decision) poison.Trait {
	if d.Verdict != poison.Probe {
		return 0
	}
	c.detector.ProbeSent(now, d.Trait)
	return d.Trait
}

// recordBegan records that the answer of an attempt began. Only the first call for an attempt
// has an effect.
func (c *Core) recordBegan(now time.Time, r *request, a *attempt) {
	if a.answering {
		return
	}
	a.answering, r.begun = true, true
	c.detector.Answered(now, a.sentTo, a.sentAt)
}

// ResponseGoesOn records that the response to a request has gone on for a time, which is at
// least one of Send.Milestones.
func (c *Core) ResponseGoesOn(now time.Time, ticket Ticket, answered time.Duration) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil {
		return nil
	}
	c.detector.GoesOn(now, r.Traits, answered)
	return c.drain(now)
}

// recordEvidence records what the end of an attempt says about the traits of its
// request. An error is no answer: an upstream may reject a request before it runs the part
// that crashes it.
func (c *Core) recordEvidence(now time.Time, r *request, a *attempt, e AttemptResult) {
	failed := e.ServerError || e.ClientError
	switch {
	case e.End == retry.Answered && failed:
		c.detector.Answered(now, a.sentTo, a.sentAt)
		return
	case e.End == retry.Answered:
		c.recordBegan(now, r, a)
		c.detector.Survived(now, r.Traits)
	case e.End.Crash() && !failed:
		c.recordLoss(now, r, a, e)
	}
	r.begun = r.begun || e.Started || (e.FirstByte > 0 && !failed)
}

// recordLoss records that an upstream was lost with a request. One that an upstream has
// survived is not the cause.
func (c *Core) recordLoss(now time.Time, r *request, a *attempt, e AttemptResult) {
	answered := time.Duration(0)
	if e.FirstByte > 0 {
		answered = now.Sub(a.sentAt) - e.FirstByte
	}
	r.survived = r.survived || poison.Lasts(answered)
	if r.survived {
		return
	}
	r.suspected = r.suspected || r.lost || c.detector.Check(now, r.Traits).Verdict != poison.Clear
	r.lost = true
	c.detector.LostAnswering(now, a.sentTo, r.Traits, answered)
}

// block rejects a request with a convicted trait. It must not have run.
func (c *Core) block(r *request, d poison.Decision) Action {
	delete(c.requests, r.ticket)
	return Refuse{Ticket: r.ticket, Verdict: NotRun, Reason: blockedReason, Trait: d.Trait}
}

// queueKey identifies the queue of a request: the regions that may serve it, the
// suspicion that it is under, the weights that it goes on with and the upstreams that
// failed it, so that requests which may go to few upstreams only do not block others.
func (r *request) queueKey() queueKey {
	group := r.regionKey()
	if r.suspect != 0 {
		group += ";!" + r.suspect.String()
	}
	if r.returningStream() {
		group += returningSuffix
	}
	if r.possibleRuns > 0 {
		group += ";failover" + strconv.FormatInt(r.version, 10)
		for _, f := range r.failedUpstreams {
			group += "," + string(f.id)
		}
	}
	return queueKey{turn: r.turn, group: group}
}

// returningSuffix ends the group of retried streams.
const returningSuffix = ";returning"

// returningStream reports whether the request goes after new ones.
func (r *request) returningStream() bool {
	return r.returning && r.route.Kind == published.Streaming
}

// push adds a request to its queue.
func (s *service) push(now time.Time, it admission.Item[*request]) admission.Reason {
	if reason := s.refusal(now, &it); reason != admission.Queued {
		return reason
	}
	queues, key := s.queuesFor(it.Value), it.Value.queueKey()
	q := queues[key]
	if q == nil {
		q = newRequestQueue()
		queues[key] = q
	}
	return q.Push(now, it)
}

// refusal returns the reason why a request would not be queued.
func (s *service) refusal(now time.Time, it *admission.Item[*request]) admission.Reason {
	queues, key := s.queuesFor(it.Value), it.Value.queueKey()
	if it.Value.suspect != 0 && queues.length() >= maxQueued {
		return admission.QueueFull
	}
	q := queues[key]
	if q == nil {
		q = newRequestQueue()
	}
	return q.Check(now, it)
}

// sweep takes the requests out of the queues whose wait is over, which must not run
// any more, or which belong to another queue because suspicion changed.
func (c *Core) sweep(now time.Time, s *service, queues regionQueues, actions []Action) []Action {
	var moved []admission.Item[*request]
	remove := func(r *request) bool { return c.abandoned(r) || c.misplaced(now, r) }
	for _, key := range queues.keys() {
		for _, it := range queues[key].Expire(now, remove) {
			r := it.Value
			d := c.decide(now, r)
			switch {
			case c.abandoned(r):
			case d.Verdict == poison.Blocked:
				actions = append(actions, c.block(r, d))
			case now.Before(it.Deadline):
				r.suspect = suspectedTrait(d)
				moved = append(moved, it)
			default:
				actions = append(actions, c.expire(now, s, r)...)
			}
		}
	}
	for _, it := range moved {
		actions = append(actions, c.requeue(now, s, it)...)
	}
	return actions
}

// requeue sends a request whose suspicion changed, or puts it in its new queue. It is
// tried first: a new request that waits counts as a sign of missing capacity.
func (c *Core) requeue(now time.Time, s *service, it admission.Item[*request]) []Action {
	r := it.Value
	if s.noneAhead(r) {
		if send, ok := c.trySend(now, s, r, c.decide(now, r)); ok {
			return []Action{send}
		}
	}
	if reason := s.push(now, it); reason != admission.Queued {
		return c.giveUp(now, r, string(reason))
	}
	return nil
}

// misplaced reports whether a waiting request must not run any more or belongs to
// another queue.
func (c *Core) misplaced(now time.Time, r *request) bool {
	d := c.decide(now, r)
	return d.Verdict == poison.Blocked || suspectedTrait(d) != r.suspect
}

// expire rejects a request whose wait is over. A suspected request waited for one
// upstream, which says nothing about the capacity of the service.
func (c *Core) expire(now time.Time, s *service, r *request) []Action {
	s.recordRejection(now, r)
	return c.giveUp(now, r, "no upstream had room in time")
}

// recordRejection records that a new request is rejected for lack of capacity.
func (s *service) recordRejection(now time.Time, r *request) {
	if r.returning || r.suspect != 0 || r.possibleRuns > 0 {
		return
	}
	s.rejectedAt = now
	if r.ranked {
		s.rankOrder.recordRefusal(now, r)
	}
}
