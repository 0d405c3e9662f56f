package dispatch

import (
	"slices"
	"time"

	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/staging"
)

const (
	// remoteRegionCost is the cost added to an upstream of another region: an
	// upstream of the local region is preferred until its load, as a fraction
	// of its slots, is higher by this much.
	remoteRegionCost = 0.3
	// maxEngineLoad is the load, as a fraction of its slots, below which an engine
	// gets new requests. A request that waits inside an engine can no longer be
	// sent elsewhere.
	maxEngineLoad = 1.0
	// maxReturningLoad is that fraction for requests that are retried after a
	// rejection. They have missed their goal already, and each one that is
	// served while others arrive makes another one miss it.
	maxReturningLoad = 0.75
	// maxContendedReturningLoad is that fraction for retried requests while new
	// requests wait or are rejected at any entry.
	maxContendedReturningLoad = 0.5
	// maxFailoverLoad is that fraction for requests whose previous attempt may
	// have run: the response may have begun, and its caller waits for the next
	// event.
	maxFailoverLoad = 1.25
	// maxPlainLoad is that fraction for plain services, whose requests are short.
	maxPlainLoad = 2.0
	// maxPromptShare is the fraction of a service's first-byte goal that an
	// engine may need for its unread prompts. It reads them one after the other.
	maxPromptShare = 0.35
	// promptTimeCost is the cost added to an engine whose unread prompts take
	// as long as the route's first-byte goal; other times add in proportion.
	promptTimeCost = 1.0
	// firstByteCost is the cost added to an upstream whose mean time to the
	// first byte equals the route's goal; other times add in proportion, up to
	// twice the cost.
	firstByteCost = 0.2
)

// trySend sends a request if an acceptable upstream has capacity. It returns
// false otherwise.
func (c *Core) trySend(now time.Time, s *service, r *request, d poison.Decision) (Send, bool) {
	u := c.pick(now, s, r, d)
	if u == nil {
		return Send{}, false
	}
	s.progressOf(r).sends.Add(now)
	if !r.returning && r.attempts == 0 {
		s.rankOrder.recordSend(now, r)
	}
	send := c.send(now, s, r, u, &r.attempt)
	send.Probe = c.recordProbe(now, d)
	return send, true
}

// milestones are the Milestones of each Send.
var milestones = poison.Milestones()

// send begins an attempt of a request at an upstream.
func (c *Core) send(now time.Time, s *service, r *request, u *upstream, a *attempt) Send {
	u.recordSend(now, s.coldBudget > 0)
	if u.limit != nil {
		u.limit.sends.Add(now)
	}
	s.idleSince = now
	r.attempts++
	*a = attempt{upstream: u, number: r.attempts, unreadTokens: r.PromptTokens, sentTo: u.crashID, sentAt: now, trial: u.silent()}
	u.trial = u.trial || a.trial
	u.promptTokens += a.unreadTokens
	send := Send{
		Ticket:     r.ticket,
		Upstream:   u.ID,
		Address:    u.Address,
		Customer:   r.customerName(),
		Deadline:   c.attemptDeadline(r),
		Streaming:  r.route.Kind == published.Streaming,
		HoldErrors: r.route.Idempotent(),
		Waited:     now.Sub(r.arrived),
		Attempt:    r.attempts,
		Milestones: milestones,
		Rank:       r.rank(),
		Ranked:     r.ranked,
		Turn:       r.turn,
		LastTurn:   s.rankOrder.lastTurn(),
	}
	if s.published != nil && s.published.Engine != nil {
		send.ExpectVersion = u.servedVersion(now, r.Model, s.published.Engine.Layers)
		send.DesiredVersion, send.DesiredFor = c.desired(now, r.Model)
	}
	if c.stopping() {
		send.Expected = c.expectedTime(s, r)
	}
	setSilenceLimits(&send, r.route)
	if send.Streaming {
		send.BeginBy = c.beginBy(r.Model, send.ExpectVersion)
	}
	return send
}

// desired returns the newest desired version of a model and how long it has been
// desired; both are 0 if unknown.
func (c *Core) desired(now time.Time, model string) (version int64, age time.Duration) {
	d := c.view.Desired[model]
	if !d.Published.Known() {
		return d.Version, 0
	}
	return d.Version, now.Sub(d.Published.NotBefore)
}

// beginBy returns when a stream must have begun on a version of the weights, or zero
// if the version has no end yet. The estimate behind minVersion does not bound how
// long a request waits inside an engine that becomes slow.
func (c *Core) beginBy(model string, version int64) time.Time {
	d := c.view.Desired[model]
	if version == 0 || version >= d.Version {
		return time.Time{}
	}
	return staging.UsableUntil(d, version, c.settings.OldVersionGrace).Add(-beginMargin)
}

// minVersion returns the lowest version of the weights with which an upstream
// may still begin a request, or 0 if any may. A request begins with its first
// token, which takes longer the more prompts the upstream has to read. The service's
// mean counts for all its upstreams: otherwise the fastest ones would be used longest,
// and all requests of the last moments would go to them. For the same reason only
// owners send to an upstream shortly before its weights are due.
func (c *Core) minVersion(now time.Time, s *service, r *request, u *upstream) int64 {
	first := max(s.meanFirstByte, u.meanFirstByte, u.promptTime(now, s.published.Engine, u.pendingPromptTokens(now)+r.PromptTokens))
	margin := versionMargin + time.Duration(firstTokenFactor*float64(first))
	if u.ownSlots == 0 {
		margin += foreignVersionMargin
	}
	return c.view.Desired[r.Model].DueAhead(now, c.settings.OldVersionGrace, margin)
}

// pick returns the upstream for a request, or nil. It considers the acceptable
// upstreams that have not failed the request, and picks the one with the lowest
// cost among those that have capacity and are not avoided. If all of them are
// avoided, it picks the one whose avoidance after a failure ends first, among
// those without a request of this entry in flight, if that one has capacity. All
// requests with a suspected trait go to one upstream.
func (c *Core) pick(now time.Time, s *service, r *request, d poison.Decision) *upstream {
	if t := suspectedTrait(d); t != 0 {
		return c.pickSuspected(now, s, r, t)
	}
	if s.published == nil {
		return nil
	}
	var best, avoided *upstream
	bestCost := 0.0
	healthy := false
	for _, u := range s.upstreams {
		if !c.acceptable(now, s, r, u) {
			continue
		}
		if r.excludes(now, u) {
			continue
		}
		if u.avoided(now) {
			if u.failures > 0 && u.inFlight == 0 && (avoided == nil || u.avoidUntil.Before(avoided.avoidUntil)) {
				avoided = u
			}
			continue
		}
		healthy = true
		if !c.hasCapacity(now, s, r, u) {
			continue
		}
		if cost := c.cost(now, s, r, u); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil && !healthy && avoided != nil && c.hasCapacity(now, s, r, avoided) {
		return avoided
	}
	return best
}

// acceptable reports whether an upstream may serve a request, regardless of its
// load.
func (c *Core) acceptable(now time.Time, s *service, r *request, u *upstream) bool {
	if u.Draining || c.view.OutOfService[u.Domain] || !c.regionAllowed(r, u) || c.declined.contains(now, u.startKey()) {
		return false
	}
	e := s.published.Engine
	if e == nil {
		return true
	}
	v := u.servedVersion(now, r.Model, e.Layers)
	if v == 0 || v < c.minVersion(now, s, r, u) {
		return false
	}
	return r.version == 0 || v == r.version
}

// regionAllowed reports whether both the route and the customer allow the
// upstream's region.
func (c *Core) regionAllowed(r *request, u *upstream) bool {
	if len(r.route.Regions) > 0 && !slices.Contains(r.route.Regions, u.region) {
		return false
	}
	return r.customer == nil || len(r.customer.Regions) == 0 || slices.Contains(r.customer.Regions, u.region)
}

// hasCapacity reports whether the upstream may get the request now.
func (c *Core) hasCapacity(now time.Time, s *service, r *request, u *upstream) bool {
	if s.coldBudget > 0 && !u.withinColdLimit(now) || !u.limit.allows(now) {
		return false
	}
	e := s.published.Engine
	if r.silence != nil {
		return u.mayTakeHedge(now, e != nil)
	}
	if e == nil {
		return float64(u.load(now)) < maxPlainLoad*float64(u.Slots)
	}
	if r.possibleRuns > 0 {
		return float64(u.load(now)) < maxFailoverLoad*float64(u.Slots)
	}
	maxLoad := maxEngineLoad - s.rankedReserve(now, r)
	switch {
	case !r.returning:
	case !s.contended(now), r.ranked && r.routePlace == 0:
		maxLoad = min(maxLoad, maxReturningLoad)
	default:
		maxLoad = min(maxLoad, maxContendedReturningLoad)
	}
	if !u.hasRoom(now, maxLoad) {
		return false
	}
	// A suspected request has no other upstream to go to, and most entries own
	// nothing of that one. A stated limit is divided differently.
	if r.suspect == 0 && u.limit == nil && u.inFlight >= s.quota(now, u) {
		return false
	}
	unread := u.pendingPromptTokens(now)
	return unread == 0 || u.promptTime(now, e, unread+r.PromptTokens) <= time.Duration(maxPromptShare*float64(s.maxGoal))
}

// promptTime returns how long an engine takes to read a number of prompt tokens,
// or 0 if its speed is not known.
func promptTime(e *published.Engine, tokens int) time.Duration {
	if e.PromptTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PromptTokensPerSecond * float64(time.Second))
}

// cost returns the cost of sending a request to an upstream: the load after one more
// request as a fraction of the slots, times the slowdown, plus the costs of a remote
// region, of an upstream that others own, a slow first byte, unread prompts, and an update
// of the weights that is due before the request would end.
func (c *Core) cost(now time.Time, s *service, r *request, u *upstream) float64 {
	cost := (float64(u.load(now)+1) + u.unreportedSends(now, s)) / float64(max(u.Slots, 1))
	cost *= u.speed.slowdown(now)
	if u.region != c.settings.Region {
		cost += remoteRegionCost
	}
	cost += u.foreignCost()
	if r.silence != nil && !u.takesRequests(now) {
		cost += unconfirmedRoomCost
	}
	if goal := r.route.LatencyGoal; goal > 0 {
		cost += firstByteCost * min(float64(u.meanFirstByte)/float64(goal), 2)
	}
	if e := s.published.Engine; e != nil && r.route.LatencyGoal > 0 {
		unread := u.pendingPromptTokens(now)
		cost += s.pauseCostOf(now, r, u, unread)
		if unread > 0 {
			cost += promptTimeCost * float64(u.promptTime(now, e, unread)) / float64(r.route.LatencyGoal)
		}
	}
	if c.updatePending(now, s, r, u) {
		overlap := now.Add(r.duration(s.published.Engine)).Sub(u.updateSlot)
		cost += updateOverlapCost * min(max(overlap.Seconds(), 0), maxUpdateOverlap.Seconds())
	}
	return cost
}

const (
	// updateOverlapCost is the cost added for each second that a request would
	// run past its engine's update slot; the engine takes no requests meanwhile.
	// maxUpdateOverlap bounds the time that counts.
	updateOverlapCost = 0.6
	maxUpdateOverlap  = 2 * time.Second
	// prefillSlowdown is the factor by which a token takes longer because the
	// engine reads the prompts of other requests in between.
	prefillSlowdown = 1.5
)

// updatePending reports whether an upstream has an update slot and serves, as far as is known,
// older weights than the desired ones of the request's model.
func (c *Core) updatePending(now time.Time, s *service, r *request, u *upstream) bool {
	if s.published == nil || s.published.Engine == nil || u.updateSlot.IsZero() {
		return false
	}
	return u.servedVersion(now, r.Model, s.published.Engine.Layers) < c.view.Desired[r.Model].Version
}

// duration estimates how long an engine takes to read the prompt and to generate
// the answer.
func (r *request) duration(e *published.Engine) time.Duration {
	return promptTime(e, r.PromptTokens) + generationTime(e.TimePerToken, r.answerTokens())
}

// generationTime estimates how long an engine with a time per token takes to generate an
// answer.
func generationTime(timePerToken time.Duration, tokens int) time.Duration {
	return time.Duration(prefillSlowdown * float64(timePerToken) * float64(tokens))
}

// answerTokens estimates the length of the answer: by the caller's estimate, or
// else by the longest answer that the request allows.
func (r *request) answerTokens() int {
	if r.ExpectedAnswerTokens > 0 {
		return min(r.ExpectedAnswerTokens, r.MaxAnswerTokens)
	}
	return r.MaxAnswerTokens
}

// setUpdateSlots computes when each engine updates to the target weights of its
// service.
func (c *Core) setUpdateSlots(now time.Time) {
	for _, s := range c.services {
		if s.published == nil || s.published.Engine == nil || len(s.published.Engine.Models) == 0 {
			continue
		}
		model := s.published.Engine.Models[0]
		w, ok := c.view.Desired[model]
		if !ok {
			continue
		}
		addresses := make([]string, 0, len(s.upstreams))
		for _, u := range s.upstreams {
			addresses = append(addresses, u.Address)
		}
		ranks := map[int64]map[string]int{}
		for _, u := range s.upstreams {
			loaded := u.servedVersion(now, model, s.published.Engine.Layers)
			if ranks[loaded] == nil {
				ranks[loaded] = staging.Ranks(addresses, loaded)
			}
			u.updateSlot = staging.SlotStart(w, loaded, c.settings.OldVersionGrace, ranks[loaded][u.Address], len(addresses))
		}
	}
}
