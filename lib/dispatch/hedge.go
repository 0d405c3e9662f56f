package dispatch

import (
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/retry"
)

// A hedge is a second attempt of a request whose current attempt is silent, at another
// upstream. The current attempt goes on until the hedge makes progress, so that an upstream
// which turns out to be full, or lost, costs the caller nothing: only the hedge ends.
const (
	// hedgeInterval is the shortest time between two rounds of searches for the silent
	// attempts, and maxSearches how many of them may be in vain in one round: each looks at
	// all upstreams of its service.
	hedgeInterval = 20 * time.Millisecond
	maxSearches   = 16
	// maxHedges bounds the hedges of one request, so that one which no upstream accepts does
	// not use up the retries of others.
	maxHedges = 4
	// unconfirmedRoomCost is the cost added to an upstream of which only a guess says that it
	// accepts a hedge. It exceeds the cost of a load that allows one.
	unconfirmedRoomCost = 2.0
)

// hedgeSilent begins hedges of the silent requests that another upstream is expected to
// accept. It looks for upstreams at most once in hedgeInterval, and ends after maxSearches in
// vain, since many attempts may be silent at once. One search in vain counts for all requests
// that may go to the same upstreams. A round begins after the request with which the last one
// ended, so that all get their turn.
func (c *Core) hedgeSilent(now time.Time, actions []Action) []Action {
	if now.Sub(c.hedgedAt) < hedgeInterval {
		return actions
	}
	c.hedgedAt = now
	inVain := map[silentGroup]bool{}
	for _, ticket := range c.silentInTurn() {
		r := c.silent[ticket]
		d := c.decide(now, r)
		group := r.silentGroup(now, d)
		if inVain[group] || !c.mayHedge(now, r, d) {
			continue
		}
		if send, ok := c.tryHedge(now, r, d); ok {
			actions = append(actions, send)
			continue
		}
		inVain[group] = true
		if len(inVain) == maxSearches {
			c.hedgedLast = ticket
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
	first, found := slices.BinarySearch(tickets, c.hedgedLast)
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
	// excluded lists the upstreams that failed the requests or refused hedges of them.
	excluded string
	version  int64
	suspect  poison.Trait
	// stays is set if the request may go to the upstream of its attempt.
	stays bool
}

func (r *request) silentGroup(now time.Time, d poison.Decision) silentGroup {
	g := silentGroup{
		service: r.service, upstream: r.upstream, model: r.Model, regions: r.regionKey(), version: r.version,
		suspect: suspectedTrait(d), stays: !r.excludes(now, r.upstream),
	}
	for _, f := range r.failedUpstreams {
		g.excluded += string(f.id) + ","
	}
	for _, f := range r.refusals {
		g.excluded += string(f.id) + "!"
	}
	return g
}

// mayHedge reports whether a hedge of a silent request may begin if an upstream is expected to
// accept it.
func (c *Core) mayHedge(now time.Time, r *request, d poison.Decision) bool {
	e := AttemptResult{End: retry.Stalled, Started: r.silence.Started, LastEventID: r.silence.LastEventID}
	return r.hedge == nil && r.hedges < maxHedges && c.hedgeEndsInTime(now, r) && r.mayRunAgain(now, d, e, r.possibleRuns+1)
}

// tryHedge begins a hedge of a silent request if an upstream is expected to accept it and the
// budget allows the retry. It returns false otherwise.
func (c *Core) tryHedge(now time.Time, r *request, d poison.Decision) (Send, bool) {
	s := c.service(now, r.service)
	u := c.pick(now, s, r, d)
	if u == nil || u.avoided(now) || c.mayChangeWeights(now, s, r, u) || !s.retryBudget.Spend(now, c.place.Processes) {
		return Send{}, false
	}
	estimate := u.estimate(now)
	r.hedge = &attempt{}
	r.hedges++
	u.hedges++
	send := c.send(now, s, r, u, r.hedge)
	send.Hedge, send.Estimate = true, estimate
	send.Probe = c.recordProbe(now, d)
	return send, true
}

// mayChangeWeights reports whether an upstream may no longer serve the weights that began a
// stream: its update slot has come, and it need not have told that it updates.
func (c *Core) mayChangeWeights(now time.Time, s *service, r *request, u *upstream) bool {
	return r.version != 0 && c.updatePending(now, s, r, u) && !now.Before(u.updateSlot)
}

// takesRequests reports whether the upstream itself has shown a short time ago that it accepts
// requests. A load that only adds up what is known of others says nothing of the kind.
func (u *upstream) takesRequests(now time.Time) bool {
	return !u.acceptedAt.IsZero() && now.Sub(u.acceptedAt) <= loadReportTTL
}

// mayTakeHedge reports whether the upstream is expected to accept a hedge. While that is only
// a guess, it gets one hedge of this entry at a time: a refused one costs a retry, which
// others may need.
func (u *upstream) mayTakeHedge(now time.Time, engine bool) bool {
	if u.hedges > 0 && !u.takesRequests(now) {
		return false
	}
	maxLoad := maxPlainLoad
	if engine {
		maxLoad = maxFailoverLoad
	}
	return float64(u.statedLoad(now)) < maxLoad*float64(u.Slots)
}

// statedLoad estimates the number of requests at the upstream like load, and at least as high
// as the upstream has stated a short time ago: it may have other callers than the entries
// that report to this one.
func (u *upstream) statedLoad(now time.Time) int {
	if now.Sub(u.otherLoadAt) > loadReportTTL {
		return u.load(now)
	}
	return max(u.load(now), u.inFlight+u.otherLoad)
}

// refusedHedge reports whether the upstream has refused a hedge of the request a short time
// ago, and has accepted no other request since.
func (r *request) refusedHedge(now time.Time, u *upstream) bool {
	return slices.ContainsFunc(r.refusals, func(f refusal) bool {
		return f.id == u.ID && now.Sub(f.at) <= loadReportTTL && !u.acceptedAt.After(f.at)
	})
}

// dropHedge ends the part of a hedge that counts at its upstream, if there is one.
func (r *request) dropHedge() {
	if r.hedge == nil {
		return
	}
	r.hedge.upstream.hedges--
	r.hedge.release()
	r.hedge = nil
}

// HedgeDropped records that a hedge was not sent, because the current attempt had gone on or
// ended by then.
func (c *Core) HedgeDropped(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil || r.hedge == nil {
		return nil
	}
	r.dropHedge()
	return c.drain(now)
}

// HedgeSilent records that nothing has come from a hedge since a time, for a while.
func (c *Core) HedgeSilent(now time.Time, ticket Ticket, since time.Time) {
	r := c.requests[ticket]
	if r == nil || r.hedge == nil {
		return
	}
	if since.Before(r.hedge.heardAt) {
		since = r.hedge.heardAt
	}
	r.hedge.upstream.recordSilence(now, since)
}

// HedgeEnded records that a hedge has ended beside the current attempt, which goes on: its
// upstream refused or failed it, or the current attempt was the first to make progress.
func (c *Core) HedgeEnded(now time.Time, ticket Ticket, e AttemptResult) []Action {
	r := c.requests[ticket]
	if r == nil || r.hedge == nil {
		return nil
	}
	h, u := r.hedge, r.hedge.upstream
	r.dropHedge()
	c.recordResult(now, u, r, h, e)
	if e.End.NotRun() {
		r.refusals = append(r.refusals, refusal{id: u.ID, at: now})
	} else {
		r.possibleRuns++
	}
	return c.drain(now)
}

// AttemptReplaced records that the hedge of a request has taken the place of the current
// attempt, which ended: interrupted, with retry.Stalled, because the hedge was the first to
// make progress, or by itself without an answer.
func (c *Core) AttemptReplaced(now time.Time, ticket Ticket, e AttemptResult) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil || r.hedge == nil {
		return nil
	}
	c.recordEnd(now, r, e)
	r.hedge.upstream.hedges--
	r.attempt, r.hedge = *r.hedge, nil
	return c.drain(now)
}
