package dispatch

import (
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// A sound upstream may be silent for a second or two and go on, and a connection may be
// silent for good; at first the two cannot be told apart. So silence is a reason to look
// for another upstream, not to end an attempt: it goes on until another upstream keeps a
// place for its request, or until its caller has waited for as long as callers do.
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
	// moveInterval is the shortest time between two rounds of searches for the silent
	// attempts, and maxSearches how many of them may be in vain in one round: each looks at
	// all upstreams of its service.
	moveInterval = 20 * time.Millisecond
	maxSearches  = 16
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
// while. The attempt is interrupted as soon as another upstream has capacity.
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
	if !c.mayLeave(now, r, d) || !c.reservePlace(now, r, d) {
		return nil
	}
	return []Action{r.interruptFor(now)}
}

// AttemptResumed records that a silent attempt goes on. The upstream counts as sound.
func (c *Core) AttemptResumed(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil || r.silence == nil {
		return nil
	}
	r.recordAlive(now)
	// An interrupted attempt ends all the same: its place elsewhere is kept until then.
	if r.reserved == nil {
		c.endSilence(r)
	}
	return c.drain(now)
}

// moveSilent interrupts the silent attempts whose requests can go on elsewhere. It looks
// for places at most once in moveInterval, and ends after maxSearches in vain, since many
// attempts may be silent at once. One search in vain counts for all requests that may go to
// the same upstreams. A round begins after the request with which the last one ended, so that
// all get their turn.
func (c *Core) moveSilent(now time.Time, actions []Action) []Action {
	if now.Sub(c.movedAt) < moveInterval {
		return actions
	}
	c.movedAt = now
	inVain := map[silentGroup]bool{}
	for _, ticket := range c.silentInTurn() {
		r := c.silent[ticket]
		d := c.decide(now, r)
		group := r.silentGroup(d)
		if inVain[group] || !c.mayLeave(now, r, d) {
			continue
		}
		if c.reservePlace(now, r, d) {
			actions = append(actions, r.interruptFor(now))
			continue
		}
		inVain[group] = true
		if len(inVain) == maxSearches {
			c.movedLast = ticket
			break
		}
	}
	return actions
}

// silentInTurn returns the silent requests in their order, beginning after the last one that
// was looked at. The order of a map would make equal runs of the core differ.
func (c *Core) silentInTurn() []Ticket {
	if len(c.silent) == 0 {
		return nil
	}
	tickets := slices.Sorted(maps.Keys(c.silent))
	first, found := slices.BinarySearch(tickets, c.movedLast)
	if found {
		first++
	}
	return slices.Concat(tickets[first:], tickets[:first])
}

// silentGroup identifies the silent requests that may go to the same upstreams.
type silentGroup struct {
	service  fleet.Service
	upstream *upstream
	model    string
	regions  string
	failed   string
	version  int64
	suspect  poison.Trait
	// stays is set if the request may go to the upstream of its attempt.
	stays bool
}

func (r *request) silentGroup(d poison.Decision) silentGroup {
	g := silentGroup{
		service: r.service, upstream: r.upstream, model: r.Model, regions: r.regionKey(), version: r.version,
		suspect: suspectedTrait(d), stays: !r.excludes(r.upstream),
	}
	for _, id := range r.failedUpstreams {
		g.failed += string(id) + ","
	}
	return g
}

// mayLeave reports whether a silent attempt is to be interrupted if there is a place
// elsewhere.
func (c *Core) mayLeave(now time.Time, r *request, d poison.Decision) bool {
	e := AttemptResult{End: retry.Stalled, Started: r.silence.Started, LastEventID: r.silence.LastEventID}
	return r.reserved == nil && c.repeatable(now, r, d, e, r.possibleRuns+1)
}

// reservePlace looks for another upstream for a request whose attempt is silent. If one has
// capacity, and the budget allows the retry, it keeps a place there, which counts as a
// request in flight: an attempt that may go on is not ended for nothing.
func (c *Core) reservePlace(now time.Time, r *request, d poison.Decision) bool {
	s := c.service(now, r.service)
	u := c.pick(now, s, r, d)
	if u == nil || u.avoided(now) || c.mayChangeWeights(now, s, r, u) || !s.retryBudget.Spend(now, c.place.Processes) {
		return false
	}
	u.inFlight++
	r.reserved, r.retryPaid = u, true
	return true
}

// interruptFor returns the action that ends the attempt for the upstream which keeps a place.
func (r *request) interruptFor(now time.Time) Interrupt {
	return Interrupt{Ticket: r.ticket, Other: r.reserved.ID, Estimate: r.reserved.estimate(now)}
}

// mayChangeWeights reports whether an upstream may no longer serve the weights that began a
// stream: its update slot has come, and it need not have told that it updates. An attempt that
// is silent is not ended for it, since there is no way back.
func (c *Core) mayChangeWeights(now time.Time, s *service, r *request, u *upstream) bool {
	return r.version != 0 && c.updatePending(now, s, r, u) && !now.Before(u.updateSlot)
}

// endSilence ends the silence of a request, and gives up the place that is kept for it. It
// returns what the silence was, or nil if there was none.
func (c *Core) endSilence(r *request) *Silence {
	s := r.silence
	r.silence = nil
	delete(c.silent, r.ticket)
	if r.reserved != nil {
		r.reserved.inFlight--
		r.reserved = nil
	}
	return s
}

// recordSilentEnd records the end of a silent attempt. The silence counted against its
// upstream when it was reported. If the upstream has responded to other requests since, the
// connection is at fault, and the request may go there again. It may also go to a later
// start of the upstream, for which its attempt may have been interrupted.
func (c *Core) recordSilentEnd(now time.Time, r *request, u *upstream, s *Silence, e AttemptResult) {
	c.recordEvidence(now, r, e)
	if current := c.upstreams[u.ID]; current != nil {
		if current.startKey() != u.startKey() {
			return
		}
		u = current
	}
	if !u.aliveAt.After(s.Since) {
		r.failedUpstreams = append(r.failedUpstreams, u.ID)
	}
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
		return !r.excludes(u) && c.acceptable(now, s, r, u)
	})
}

// excludes reports whether the request must not go to an upstream: one that failed it, or
// the one whose silence it is to leave, unless that has responded to others since.
func (r *request) excludes(u *upstream) bool {
	if slices.Contains(r.failedUpstreams, u.ID) {
		return true
	}
	if r.upstream == nil || u.startKey() != r.upstream.startKey() {
		return false
	}
	return r.silence == nil || !u.aliveAt.After(r.silence.Since)
}

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

// recordAlive records that the upstream has responded to the current attempt.
func (r *request) recordAlive(now time.Time) {
	r.heardAt = now
	r.upstream.recordAlive(now)
}

// recordAlive records that the upstream has responded to a request. It is no longer
// avoided if silence was the reason.
func (u *upstream) recordAlive(now time.Time) {
	u.aliveAt = now
	if u.silent() {
		u.silentAt, u.failures, u.avoidUntil = time.Time{}, 0, time.Time{}
	}
}
