package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
)

// Query asks where a request would go.
type Query struct {
	Call Call
	// Customer is the name of the customer that sends the request; if it is set, the key of
	// the call does not count.
	Customer fleet.Customer
	// Upstream is listed in any case; empty if no upstream is of special interest.
	Upstream fleet.InstanceID
	// Limit is the maximum number of upstreams that are listed for each service.
	Limit int
}

// Explanation describes what would become of a request that arrives now.
type Explanation struct {
	Route    string
	Customer fleet.Customer
	// Returning is set if the time budget of the request is that of a retry after a
	// rejection.
	Returning bool
	// Refusal is set if the request would be refused whichever service is chosen.
	Refusal *Refuse
	// Services describes each service of the route. One of them is chosen at random by
	// weight.
	Services []ServiceExplanation
}

// Decision is what would become of a request.
type Decision uint8

// The decisions.
const (
	// Sent means that an upstream would get the request at once.
	Sent Decision = iota
	// Waits means that the request would wait until an upstream has capacity.
	Waits
	// Rejected means that the caller would be told that the request has not run.
	Rejected
)

// String returns the decision as commands show it.
func (d Decision) String() string { return [...]string{"sent", "waits", "rejected"}[d] }

// ServiceExplanation describes what would become of a request at one service of its route.
type ServiceExplanation struct {
	Service  fleet.Service
	Weight   int
	Decision Decision
	// Upstream would get the request if it is Sent.
	Upstream fleet.InstanceID
	// Reason says why the request would not be Sent.
	Reason string
	// Ahead is the number of requests that would go before one that Waits, and MaxWait how
	// long it would wait at most.
	Ahead   int
	MaxWait time.Duration
	// RetryAfter is the delay after which the caller of a Rejected request should retry.
	RetryAfter time.Duration
	// Contended is whether new requests wait or are rejected at any entry.
	Contended bool
	// Counts is the number of upstreams in each state.
	Counts []StateCount
	// Upstreams lists the upstreams, the one that would get the request first, and then by
	// state, cost and ID. Omitted is the number of those that are not listed.
	Upstreams []UpstreamExplanation
	Omitted   int
}

// UpstreamState is what an upstream is for a request.
type UpstreamState uint8

// The states, in the order in which upstreams are listed.
const (
	// Picked would get the request.
	Picked UpstreamState = iota
	// Available has capacity, but another upstream has a lower cost.
	Available
	// Full has no capacity for the request now.
	Full
	// Avoided gets no requests for a while.
	Avoided
	// Unacceptable may not serve the request, whatever its load.
	Unacceptable
)

// String returns the state as commands show it.
func (s UpstreamState) String() string {
	return [...]string{"picked", "available", "full", "avoided", "unacceptable"}[s]
}

// StateCount is a number of upstreams that have a state for the same reason.
type StateCount struct {
	State  UpstreamState
	Reason string
	Count  int
}

// UpstreamExplanation describes what one upstream is for a request.
type UpstreamExplanation struct {
	Upstream fleet.InstanceID
	Region   fleet.Region
	State    UpstreamState
	Reason   string
	// AvoidedFor is how much longer an upstream is avoided; 0 if that has no set end.
	AvoidedFor time.Duration
	// InFlight counts the requests of this entry, Load those of all entries as far as is
	// known. OwnSlots is how many of the Slots this entry owns.
	InFlight, Load, Slots, OwnSlots int
	// PromptTokens is the number of prompt tokens that the upstream has yet to read.
	PromptTokens int
	// Version is the version of the weights that the upstream serves; 0 for plain services.
	Version int64
	// Cost is the cost of sending the request there. The upstream with the lowest cost is
	// picked. It is zero for an Unacceptable upstream.
	Cost CostParts
}

// CostParts are the parts of the cost of an upstream; their sum is the cost.
type CostParts struct {
	// Load is the part that remains without the others: the load of the upstream.
	Load float64
	// Region is the part of a remote region, Ownership that of slots which other entries
	// own, FirstByte that of a slow first byte, Prompts that of unread prompts, and Update
	// that of an update of the weights which is due before the request would end.
	Region, Ownership, FirstByte, Prompts, Update float64
}

// Total returns the cost.
func (p CostParts) Total() float64 {
	return p.Load + p.Region + p.Ownership + p.FirstByte + p.Prompts + p.Update
}

// The reasons why a request waits or an upstream does not get it.
const (
	reasonNoCapacity  = "no upstream has capacity"
	reasonOthersAhead = "other requests wait for the same upstreams"

	reasonDraining     = "it is leaving"
	reasonOutOfService = "its failure domain is out of service"
	reasonRegion       = "its region is not allowed"
	reasonDeclined     = "it wants no requests"
	reasonNoWeights    = "it has no complete weights of the model"
	reasonOldWeights   = "its weights may not begin requests much longer"

	reasonFailed  = "it failed or refused a request"
	reasonOnTrial = "it was silent and another request tries it out"

	reasonColdLimit   = "the limit for cold upstreams is reached"
	reasonStatedLimit = "the limit that it states is reached"
	reasonOwnSlots    = "the slots that this entry owns are in use"
	reasonPrompts     = "it has too many unread prompts"
	reasonSlots       = "its slots are in use"
	reasonReserved    = "the slots left are for requests of more urgent ranks"
	reasonSeveral     = "several limits are reached"

	reasonAllAvoided = "all upstreams with the right weights are avoided"
	reasonSuspected  = "requests with a suspected trait go to one upstream"
)

// Explain returns what would become of a request that arrives now, and why. It has no effect
// on later decisions: it spends no budget, and neither counts nor queues the request.
func (c *Core) Explain(now time.Time, q Query) Explanation {
	call := q.Call
	if q.Customer != "" {
		call.Key = c.keyOf(q.Customer)
	}
	route, customer, refusal := c.match(&call)
	if refusal != nil {
		return Explanation{Refusal: refusal}
	}
	r := c.describe(now, call, route, customer)
	e := Explanation{Route: route.Name, Customer: r.customerName(), Returning: r.returning}
	d := c.decide(now, r)
	if d.Verdict == poison.Blocked {
		e.Refusal = &Refuse{Verdict: NotRun, Reason: blockedReason, Trait: d.Trait}
		return e
	}
	r.suspect = suspectedTrait(d)
	for _, t := range route.Targets {
		if t.Weight > 0 {
			e.Services = append(e.Services, c.explainService(now, t, r, d, &q))
		}
	}
	return e
}

// keyOf returns a key of the customer with a name; "" if there is none.
func (c *Core) keyOf(name fleet.Customer) string {
	if c.view == nil || c.view.Config == nil {
		return ""
	}
	for key, customer := range c.view.Config.Customers {
		if customer.Name == name {
			return key
		}
	}
	return ""
}

// explainService describes what would become of a request at a service.
func (c *Core) explainService(now time.Time, t published.Target, r *request, d poison.Decision, q *Query) ServiceExplanation {
	s := c.services[t.Service]
	if s == nil {
		s = &service{name: t.Service}
	}
	out := ServiceExplanation{Service: t.Service, Weight: t.Weight, Contended: s.contended(now)}
	r.service = t.Service
	s.setTurn(now, r)
	picked := c.explainDecision(now, s, r, d, &out)
	c.explainUpstreams(now, s, r, picked, q, &out)
	return out
}

// explainDecision sets the decision on a request, as Arrive makes it, and returns the
// upstream that would get the request, or nil.
func (c *Core) explainDecision(now time.Time, s *service, r *request, d poison.Decision, out *ServiceExplanation) *upstream {
	out.Decision = Rejected
	if !c.endsInTime(now, s, r) {
		out.Reason, out.RetryAfter = stopReason, c.retryAfterAt(now, s, r)
		return nil
	}
	noneAhead := s.noneAhead(r)
	if noneAhead {
		if u := c.pick(now, s, r, d); u != nil {
			out.Decision, out.Upstream = Sent, u.ID
			return u
		}
	}
	until := c.waitUntil(now, s, r)
	if reason := c.queueRefusal(now, s, r, until); reason != "" {
		out.Reason, out.RetryAfter = reason, c.retryAfterAt(now, s, r)
		return nil
	}
	out.Decision, out.MaxWait = Waits, until.Sub(now)
	out.Reason = reasonNoCapacity
	if !noneAhead {
		out.Reason = reasonOthersAhead
	}
	out.Ahead = s.rankedBefore(r)
	if queue := s.queuesFor(r)[r.queueKey()]; queue != nil {
		out.Ahead += queue.Ahead(r.customerName(), c.priority(r, until))
	}
	return nil
}

// queueRefusal returns the reason why enqueue would reject a request that may wait until a
// time, or "" if it would not.
func (c *Core) queueRefusal(now time.Time, s *service, r *request, until time.Time) string {
	if !c.servable(now, s, r) {
		return unservableReason
	}
	// stalled begins a new wait if no request waits.
	if s.newRequests.length()+s.returningRequests.length() > 0 && s.stalled(now) {
		return stalledReason
	}
	it := c.queueItem(r, until)
	if s.wouldExpire(now, &it) {
		return tooManyWaitReason
	}
	return string(s.refusal(now, &it))
}

// explainUpstreams describes the upstreams of a service for a request.
func (c *Core) explainUpstreams(now time.Time, s *service, r *request, picked *upstream, q *Query, out *ServiceExplanation) {
	type entry struct {
		upstream *upstream
		state    UpstreamState
		reason   string
		cost     float64
	}
	entries := make([]entry, 0, len(s.upstreams))
	counts := map[StateCount]int{}
	for _, u := range s.upstreams {
		e := entry{upstream: u}
		e.state, e.reason = c.stateOf(now, s, r, u, picked)
		if e.state != Unacceptable {
			e.cost = c.cost(now, s, r, u)
		}
		counts[StateCount{State: e.state, Reason: e.reason}]++
		entries = append(entries, e)
	}
	for kind, n := range counts {
		kind.Count = n
		out.Counts = append(out.Counts, kind)
	}
	slices.SortFunc(out.Counts, func(a, b StateCount) int {
		return cmp.Or(cmp.Compare(a.State, b.State), strings.Compare(a.Reason, b.Reason))
	})
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(a.cost, b.cost), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	for _, e := range entries {
		if len(out.Upstreams) >= q.Limit && e.upstream.ID != q.Upstream {
			out.Omitted++
			continue
		}
		x := c.explainUpstream(now, s, r, e.upstream)
		x.State, x.Reason = e.state, e.reason
		if e.state != Unacceptable {
			x.Cost = c.costParts(now, s, r, e.upstream)
		}
		out.Upstreams = append(out.Upstreams, x)
	}
}

// explainUpstream describes an upstream without its state and cost.
func (c *Core) explainUpstream(now time.Time, s *service, r *request, u *upstream) UpstreamExplanation {
	x := UpstreamExplanation{
		Upstream: u.ID, Region: u.region,
		InFlight: u.inFlight, Load: u.load(now), Slots: u.Slots, OwnSlots: u.ownSlots,
		PromptTokens: u.pendingPromptTokens(now),
		AvoidedFor:   max(u.avoidUntil.Sub(now), 0),
	}
	if s.published != nil && s.published.Engine != nil {
		x.Version = u.servedVersion(now, r.Model, s.published.Engine.Layers)
	}
	return x
}

// stateOf returns what an upstream is for a request, and why. picked is the upstream that
// would get the request, or nil.
func (c *Core) stateOf(now time.Time, s *service, r *request, u, picked *upstream) (UpstreamState, string) {
	switch {
	case s.published == nil:
		return Unacceptable, unservableReason
	case u == picked && u.avoided(now):
		return Picked, reasonAllAvoided
	case u == picked && r.suspect != 0:
		return Picked, reasonSuspected
	case u == picked:
		return Picked, ""
	case !c.acceptable(now, s, r, u):
		return Unacceptable, c.unacceptableReason(now, s, r, u)
	case now.Before(u.avoidUntil):
		return Avoided, reasonFailed
	case u.avoided(now):
		return Avoided, reasonOnTrial
	case !c.hasCapacity(now, s, r, u):
		return Full, c.fullReason(now, s, r, u)
	}
	return Available, ""
}

// unacceptableReason returns why an upstream may not serve a request.
func (c *Core) unacceptableReason(now time.Time, s *service, r *request, u *upstream) string {
	switch {
	case u.Draining:
		return reasonDraining
	case c.view.OutOfService[u.Domain]:
		return reasonOutOfService
	case !c.regionAllowed(r, u):
		return reasonRegion
	case c.declined.contains(now, u.startKey()):
		return reasonDeclined
	case u.servedVersion(now, r.Model, s.published.Engine.Layers) == 0:
		return reasonNoWeights
	}
	return reasonOldWeights
}

// fullReason returns which limit keeps a request from an upstream: the one without which the
// upstream would have capacity.
func (c *Core) fullReason(now time.Time, s *service, r *request, u *upstream) string {
	switch {
	case s.coldBudget > 0 && !u.withinColdLimit(now):
		return reasonColdLimit
	case !u.limit.allows(now):
		return reasonStatedLimit
	}
	urgent := *r
	urgent.routePlace = 0
	if r.ranked && c.hasCapacity(now, s, &urgent, u) {
		return reasonReserved
	}
	for _, limit := range []struct {
		reason string
		lift   func(u *upstream)
	}{
		{reasonOwnSlots, func(u *upstream) { u.ownSlots = u.Slots }},
		{reasonPrompts, clearPrompts},
		{reasonSlots, func(u *upstream) { u.inFlight, u.otherLoad, u.peerLoad.Requests = 0, 0, 0 }},
	} {
		lifted := *u
		limit.lift(&lifted)
		if c.hasCapacity(now, s, r, &lifted) {
			return limit.reason
		}
	}
	return reasonSeveral
}

// costParts returns the parts of the cost of sending a request to an upstream: for each
// property, by how much the cost falls if the upstream is copied without it.
func (c *Core) costParts(now time.Time, s *service, r *request, u *upstream) CostParts {
	without := *u
	cost := c.cost(now, s, r, &without)
	fall := func() float64 {
		before := cost
		cost = c.cost(now, s, r, &without)
		return before - cost
	}
	var p CostParts
	without.region = c.settings.Region
	p.Region = fall()
	without.ownFraction = 1
	p.Ownership = fall()
	without.meanFirstByte = 0
	p.FirstByte = fall()
	clearPrompts(&without)
	p.Prompts = fall()
	without.updateSlot = time.Time{}
	p.Update = fall()
	p.Load = cost
	return p
}

// clearPrompts removes the unread prompts of an upstream.
func clearPrompts(u *upstream) { u.promptTokens, u.peerLoad.PromptTokens = 0, 0 }
