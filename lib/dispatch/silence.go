package dispatch

import (
	"slices"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/published"
)

// A sound upstream may be silent for a second or two and go on, and a connection may be
// silent for good; at first the two cannot be told apart. So silence is a reason to ask
// another upstream as well (see hedge.go), not to end an attempt: it goes on until the other
// one has responded, or until its caller has waited for as long as callers do.
const (
	// firstByteSilenceFactor and gapSilenceFactor set the silence after which another
	// upstream is looked for, as multiples of the route's goals for the first byte and
	// between events. It is at least minSilence.
	firstByteSilenceFactor = 4
	gapSilenceFactor       = 4
	minSilence             = time.Second
	// Callers of a stream leave after a gap of minPatience, firstBytePatienceFactor times
	// the goal for the first byte or gapPatienceFactor times that between events,
	// whichever is longest. An attempt is ended patienceMargin later, so that callers who
	// are still there may get what comes.
	minPatience             = 2 * time.Second
	firstBytePatienceFactor = 4
	gapPatienceFactor       = 8
	patienceMargin          = 500 * time.Millisecond
	// resumeGrace is the time after the end of the silence of an upstream in which its other
	// silent attempts go on as well. A hedge at the same upstream would be in vain.
	resumeGrace = 200 * time.Millisecond
	// aliveMargin is how long after the begin of a silence an upstream must have responded to
	// another request to count as alive during it. What it sent last before it fell silent as a
	// whole reaches some requests a little later than others.
	aliveMargin = minSilence / 2
)

// Silence describes an attempt from which nothing has come for a while.
type Silence struct {
	// Since is when the last event came, or when the request was sent.
	Since time.Time
	// Started, LastEventID and Version are what an AttemptResult would hold now.
	Started     bool
	LastEventID string
	Version     int64
}

// setSilenceLimits sets the times after which the attempt is reported as silent and ended.
// A plain request ends by its deadline alone: its caller waits for that.
func setSilenceLimits(s *Send, route *published.Route) {
	s.FirstByteSilence = max(firstByteSilenceFactor*route.LatencyGoal, minSilence)
	if !s.Streaming {
		return
	}
	s.GapSilence = max(gapSilenceFactor*route.GapGoal, minSilence)
	s.GapTimeout = patience(route) + patienceMargin
	if route.Idempotent() {
		s.FirstByteTimeout = s.GapTimeout
	}
}

// patience returns the gap after which the callers of a stream leave.
func patience(route *published.Route) time.Duration {
	return max(minPatience, firstBytePatienceFactor*route.LatencyGoal, gapPatienceFactor*route.GapGoal)
}

// AttemptSilent records that nothing has come from the current attempt of a request for a
// while. A hedge begins as soon as another upstream is expected to accept it.
func (c *Core) AttemptSilent(now time.Time, ticket Ticket, s Silence) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil {
		return nil
	}
	// What the attempt itself received before it fell silent is no response to others.
	if s.Since.Before(r.heardAt) {
		s.Since = r.heardAt
	}
	r.silence = &s
	c.silent[ticket] = r
	if s.Started && r.version == 0 {
		r.version = s.Version
	}
	// A plain response makes no progress before its end, although bytes may arrive.
	if r.route.Kind == published.Streaming || !s.Started {
		r.upstream.recordSilence(now, s.Since)
	}
	d := c.decide(now, r)
	if !c.mayHedge(now, r, d) {
		return nil
	}
	if send, ok := c.tryHedge(now, r, d); ok {
		return []Action{send}
	}
	return nil
}

// AttemptResumed records that a silent attempt goes on. The upstream counts as sound. The end
// of the hedge, if there is one, is reported by itself.
func (c *Core) AttemptResumed(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil || r.silence == nil {
		return nil
	}
	r.recordAlive(now)
	c.endSilence(r)
	return c.drain(now)
}

// endSilence ends the silence of a request. It returns what the silence was, or nil if there
// was none.
func (c *Core) endSilence(r *request) *Silence {
	s := r.silence
	r.silence = nil
	delete(c.silent, r.ticket)
	return s
}

// recordSilentEnd records the end of a silent attempt. The silence counted against its
// upstream when it was reported. If the upstream has responded to other requests since, the
// connection is at fault, and the request may go there again. It may also go to a later
// start of the upstream.
func (c *Core) recordSilentEnd(now time.Time, r *request, u *upstream, s *Silence, e AttemptResult) {
	c.recordEvidence(now, r, &r.attempt, e)
	if current := c.upstreams[u.ID]; current != nil {
		if current.startKey() != u.startKey() {
			return
		}
		u = current
	}
	r.failedUpstreams = append(r.failedUpstreams, failedUpstream{id: u.ID, silentSince: s.Since})
}

// enqueueFailover queues a request whose upstream failed it, until another one has
// capacity.
func (c *Core) enqueueFailover(now time.Time, s *service, r *request, e AttemptResult) []Action {
	it := c.queueItem(r, failoverDeadline(now, r, e))
	if reason := s.push(now, it); reason != admission.Queued {
		return c.giveUp(now, r, string(reason))
	}
	return c.drain(now)
}

// failoverDeadline returns how long a request that an upstream failed waits for another
// one. A stream that has begun waits for as long as its caller does, any other request
// for a short time, after which its caller is told.
func failoverDeadline(now time.Time, r *request, e AttemptResult) time.Time {
	remaining := r.deadline.Sub(now)
	wait := time.Duration(plainWaitShare * float64(remaining))
	switch {
	case e.Started:
		wait = patience(r.route) - e.Idle
	case r.route.Kind == published.Streaming:
		wait = time.Duration(returningWaitShare * float64(remaining))
	}
	return now.Add(min(wait, remaining))
}

// movable reports whether any upstream that has not failed the request is acceptable for
// it, regardless of its load.
func (c *Core) movable(now time.Time, s *service, r *request) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool {
		return !r.excludes(now, u) && c.acceptable(now, s, r, u)
	})
}

// excludes reports whether the request must not go to an upstream: one that failed it, or
// the one whose silence it is to leave, unless that has responded to others since. A hedge
// does not go to an upstream that has just refused one of the request either.
func (r *request) excludes(now time.Time, u *upstream) bool {
	failed := func(f failedUpstream) bool {
		return f.id == u.ID && (f.silentSince.IsZero() || !u.aliveDuring(f.silentSince))
	}
	if slices.ContainsFunc(r.failedUpstreams, failed) {
		return true
	}
	if r.silence != nil && r.refusedHedge(now, u) {
		return true
	}
	if r.upstream == nil || u.startKey() != r.upstream.startKey() {
		return false
	}
	return r.silence == nil || !u.aliveDuring(r.silence.Since) || now.Sub(u.resumedAt) < resumeGrace
}

// aliveDuring reports whether the upstream has responded to another request during a silence
// that began at a time, so that only a connection is silent.
func (u *upstream) aliveDuring(since time.Time) bool { return u.aliveAt.Sub(since) >= aliveMargin }

// silent reports whether the upstream was found silent and has not responded since.
func (u *upstream) silent() bool { return !u.silentAt.IsZero() }

// avoided reports whether the upstream gets no requests now. A silent one gets one request
// at a time after its avoidance, to find out whether it has gone on.
func (u *upstream) avoided(now time.Time) bool {
	return now.Before(u.avoidUntil) || u.silent() && u.trial
}

// recordSilence records that an attempt has been silent since a time. All attempts that
// were in progress when the upstream fell silent count as one failure, and none counts if
// the upstream has responded to another request since.
func (u *upstream) recordSilence(now, since time.Time) {
	if u.aliveAt.After(since) || !since.After(u.silentAt) {
		return
	}
	u.silentAt = now
	u.recordFailure(now)
}

// recordAlive records that the upstream has responded to the attempt.
func (a *attempt) recordAlive(now time.Time) {
	a.heardAt = now
	a.upstream.recordAlive(now)
}

// recordAlive records that the upstream has responded to a request. It is no longer
// avoided if silence was the reason.
func (u *upstream) recordAlive(now time.Time) {
	u.aliveAt = now
	if u.silent() {
		u.resumedAt = now
		u.silentAt, u.failures, u.avoidUntil = time.Time{}, 0, time.Time{}
	}
}
