package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/quota"
	"rattanspur.example/lib/retry"
)

// Settings configure a Core.
type Settings struct {
	// Self is the address of this entry. It distinguishes the entry from others.
	Self   string
	Region fleet.Region
	// Regions maps each failure domain to its region.
	Regions map[fleet.FailureDomain]fleet.Region
	Retries retry.WindowLimits
	// OldVersionGrace is how long after the publication of a new version of
	// the weights older versions may still begin requests.
	OldVersionGrace time.Duration
	// ColdOverrun and ColdSlack raise the published request rate of a cold
	// upstream: the limit is the rate times ColdOverrun plus ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
	// Random returns a number from 0 to n-1.
	Random func(n int) int
}

const (
	// defaultTimeBudget applies to callers that do not state a time budget.
	defaultTimeBudget = 10 * time.Second
	// versionMargin is how long before the end of the grace period old weights
	// stop beginning requests. The grace period starts with the acknowledgement
	// of the new version, which this process learns of later. A request is
	// assumed to begin within firstTokenFactor times the mean time to the first
	// token.
	versionMargin    = 700 * time.Millisecond
	firstTokenFactor = 2.5
	// foreignVersionMargin is how much earlier entries stop that own nothing of the
	// upstream and know its load only with a delay.
	foreignVersionMargin = 300 * time.Millisecond
	// beginMargin is how long before the end of the grace period a request must have
	// begun on old weights, or its attempt is ended. It covers the delay with which
	// processes learn of the new version and with which the upstream notices the end.
	beginMargin = 400 * time.Millisecond
	// minProcesses is the smallest number of entries that shared budgets are
	// divided among.
	minProcesses = 4
	// maxQueued and maxQueuedPerCustomer bound each queue of a service.
	maxQueued            = 256
	maxQueuedPerCustomer = 128
)

// requestQueue holds requests that may be served in the same regions.
type requestQueue = admission.Queue[*request]

func newRequestQueue() *requestQueue {
	return admission.New[*request](admission.Limits{PerCustomer: maxQueuedPerCustomer, Total: maxQueued})
}

// regionQueues maps a set of allowed regions, and the suspicion on the requests, to
// its queue (see request.queueKey), so that requests bound to a full region or to
// one upstream do not block others.
type regionQueues map[queueKey]*requestQueue

// queueKey identifies a queue: the turn of its requests, which is 0 without admission by rank,
// and the upstreams that they may go to.
type queueKey struct {
	turn  int
	group string
}

// keys returns the keys in their order. The order of the map would make equal runs of the
// core differ.
func (r regionQueues) keys() []queueKey {
	return slices.SortedFunc(maps.Keys(r), func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.group, b.group))
	})
}

// length returns the number of waiting requests in all queues.
func (r regionQueues) length() int {
	n := 0
	for _, q := range r {
		n += q.Len()
	}
	return n
}

// service holds the upstreams and the waiting requests of one service.
type service struct {
	name      fleet.Service
	published *published.Service
	upstreams []*upstream
	// newRequests holds the waiting requests that can still meet their goal.
	// returningRequests holds streams that are retried after a rejection; they
	// are served only if capacity is left.
	newRequests, returningRequests regionQueues
	// failoverRequests holds requests whose upstream failed them and that may go on at
	// another one. Their callers have waited longest.
	failoverRequests regionQueues
	// suspectedRequests holds requests of both kinds that may go to one upstream
	// only. They are no sign of missing capacity.
	suspectedRequests regionQueues
	retryBudget       *retry.Window
	rankOrder         rankOrder
	speedEffect       speedEffect
	// maxGoal is the longest first-byte goal of the routes to the service.
	maxGoal time.Duration
	// minGapGoal is the shortest goal for the interval between two events of the routes to the
	// service; 0 if none has one.
	minGapGoal time.Duration
	// demand is the rate at which new requests arrive at this entry, steadyDemand a
	// mean over a longer time.
	demand       rate
	steadyDemand steadyRate
	// reportedDemand is the steady demand as it was last reported to peers. Limits are
	// divided by it, since all entries must use the same demands.
	reportedDemand float64
	// share is this entry's part of the service's slots, as of shareAt.
	share   peering.Share
	shareAt time.Time
	// rejectedAt is when a new request was last rejected for lack of capacity.
	rejectedAt time.Time
	// idleSince is when the waiting requests last made progress: one was sent, or the
	// first one began to wait.
	idleSince time.Time
	// newProgress and returningProgress measure how fast the waiting requests are sent.
	newProgress, returningProgress progress
	// meanFirstByte is the mean of the upstreams' mean times to the first byte.
	meanFirstByte time.Duration
	// coldBudget is how many requests all entries together may send to a cold
	// upstream in each coldWindow; 0 means no limit.
	coldBudget float64
}

// Core makes the dispatch decisions of one entry. It is not safe for concurrent
// use: the goroutine of one duty owns it.
type Core struct {
	settings Settings
	// startedAt is when the first view arrived; priorities are relative to it.
	startedAt time.Time
	view      *published.View
	services  map[fleet.Service]*service
	upstreams map[fleet.InstanceID]*upstream
	requests  map[Ticket]*request
	// silent holds the requests whose attempt is silent; see silence.go.
	silent map[Ticket]*request
	// hedgedAt is when upstreams for their hedges were last looked for, and hedgedLast is the
	// request with which that ended.
	hedgedAt   time.Time
	hedgedLast Ticket
	detector   *poison.Detector
	// timeBudgets holds the longest time budget of a caller for each route. The
	// budget of a caller that retries is shorter.
	timeBudgets map[string]time.Duration
	// notices holds the latest loader notice by engine address.
	notices map[string]receivedNotice
	limits  *limiter
	// declined holds the upstreams that want no requests from this entry.
	declined declinedStarts
	// place is the place of this entry among those that divide the shared budgets.
	place quota.Place
	// stopEnd is when a planned stop is over; zero if none has begun.
	stopEnd time.Time
	// stopReserve is the time that a request during the stop leaves beside its expected time.
	stopReserve time.Duration
	// answerTimes holds the times of the answers of each route.
	answerTimes map[string]*answerTime
	// rankedConfig is the configuration from which the orders of ranks were made.
	rankedConfig *published.Config
}

// New returns a core without a view. It rejects requests until Update gives it
// one with a configuration.
func New(s Settings) *Core {
	return &Core{
		settings:    s,
		services:    map[fleet.Service]*service{},
		upstreams:   map[fleet.InstanceID]*upstream{},
		requests:    map[Ticket]*request{},
		silent:      map[Ticket]*request{},
		detector:    poison.New(s.Self),
		timeBudgets: map[string]time.Duration{},
		notices:     map[string]receivedNotice{},
		limits:      newLimiter(),
		declined:    declinedStarts{},
		place:       quota.Place{Processes: minProcesses},
		answerTimes: map[string]*answerTime{},
	}
}

// SetPlace sets the place of this entry among those that divide the shared budgets. A number
// of entries below minProcesses counts as minProcesses.
func (c *Core) SetPlace(place quota.Place) {
	place.Processes = max(place.Processes, minProcesses)
	c.place = place
	c.detector.SetProcesses(c.place.Processes)
}

// SetPeerLoads sets the load that the other entries have at each upstream, and
// this entry's share of the slots of each service. What is missing from a map
// counts as zero.
func (c *Core) SetPeerLoads(now time.Time, loads map[fleet.InstanceID]peering.Load, shares map[fleet.Service]peering.Share) {
	for id, u := range c.upstreams {
		u.peerLoad, u.peerLoadAt = loads[id], now
		u.observePeerSpeed(now, u.peerLoad.Speed)
	}
	for name, s := range c.services {
		s.share, s.shareAt = shares[name], now
	}
	c.divideSlots(now)
}

// Demands returns the rate of new requests and the number of waiting ones at
// this entry, by service. Services without recent requests are left out.
func (c *Core) Demands(now time.Time) map[fleet.Service]peering.Demand {
	out := map[fleet.Service]peering.Demand{}
	for name, s := range c.services {
		s.reportedDemand = 0
		if perSecond := s.demand.perSecond(now); perSecond > 0 {
			s.reportedDemand = s.steadyDemand.perSecond(now)
			out[name] = peering.Demand{
				PerSecond: perSecond, Steady: s.reportedDemand,
				Waiting: s.newRequests.length(), Refused: s.rejectedRecently(now), RefusedRank: s.refusedRank(now),
			}
		}
	}
	return out
}

// Loads returns the load of this entry at each upstream where it has requests
// in flight, with the speeds that peers should know.
func (c *Core) Loads(now time.Time) map[fleet.InstanceID]peering.Load {
	out := map[fleet.InstanceID]peering.Load{}
	for id, u := range c.upstreams {
		if u.inFlight > 0 {
			out[id] = peering.Load{Requests: u.inFlight, PromptTokens: u.promptTokens}
		}
	}
	c.addSpeeds(now, out)
	return out
}

// Waiting returns the number of requests that wait for an upstream: those that are queued
// and those whose attempt is silent.
func (c *Core) Waiting() int {
	n := len(c.silent)
	for _, s := range c.services {
		n += s.failoverRequests.length() + s.newRequests.length() + s.suspectedRequests.length() + s.returningRequests.length()
	}
	return n
}

// Update applies a new view and returns the actions that it makes possible.
func (c *Core) Update(now time.Time, v *published.View) []Action {
	c.view = v
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	old := c.upstreams
	c.upstreams = make(map[fleet.InstanceID]*upstream, len(v.Upstreams))
	// A service that left the configuration stays as it was last published, for the
	// requests that are in progress there.
	for _, s := range c.services {
		s.upstreams = nil
	}
	if v.Config != nil {
		maps.DeleteFunc(c.timeBudgets, func(name string, _ time.Duration) bool { return !v.Config.HasRoute(name) })
		maps.DeleteFunc(c.answerTimes, func(name string, _ *answerTime) bool { return !v.Config.HasRoute(name) })
	}
	for _, p := range v.Upstreams {
		if p.Address == c.settings.Self {
			// Requests would come back as new ones until all slots of it are taken.
			continue
		}
		u := c.mergeUpstream(now, old[p.ID], p)
		c.upstreams[p.ID] = u
		s := c.service(now, p.Service)
		u.speedEffect = &s.speedEffect
		s.upstreams = append(s.upstreams, u)
	}
	if v.Config != nil {
		for name, p := range v.Config.Services {
			s := c.service(now, name)
			s.published = p
			s.coldBudget = c.coldBudget(p)
			s.maxGoal, s.minGapGoal = 0, 0
		}
		for i := range v.Config.Routes {
			for _, t := range v.Config.Routes[i].Targets {
				s := c.service(now, t.Service)
				s.maxGoal = max(s.maxGoal, v.Config.Routes[i].LatencyGoal)
				s.minGapGoal = shorterGoal(s.minGapGoal, v.Config.Routes[i].GapGoal)
			}
		}
		c.setRanks(v.Config)
	}
	for _, s := range c.services {
		s.sortByRegion()
		s.boundSlots()
	}
	c.expireNotices(now)
	c.retainLimits(now)
	c.declined.expire(now)
	c.setUpdateSlots(now)
	c.divideSlots(now)
	return c.drain(now)
}

// mergeUpstream applies a published upstream to the state kept for it. The
// state is reset if the upstream restarted or changed its address or service.
func (c *Core) mergeUpstream(now time.Time, old *upstream, p *published.Upstream) *upstream {
	u := old
	if u == nil || u.StartTime != p.StartTime || u.Address != p.Address || u.Service != p.Service {
		u = &upstream{
			region: c.settings.Regions[p.Domain], affinity: affinity(c.settings.Self, p.ID), crashID: poison.NewCrashID(p.ID, p.StartTime),
		}
		u.offset = int(fleet.RendezvousWeight("offset", string(p.ID)) % maxOffset)
	}
	if u.Upstream == nil || u.Revision != p.Revision {
		if p.ColdRemaining > 0 {
			u.coldUntil = now.Add(p.ColdRemaining)
		}
	}
	u.Upstream = p
	u.notice = c.notices[p.Address]
	return u
}

func (c *Core) service(now time.Time, name fleet.Service) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name:              name,
			failoverRequests:  regionQueues{},
			newRequests:       regionQueues{},
			suspectedRequests: regionQueues{},
			returningRequests: regionQueues{},
			retryBudget:       retry.NewWindow(c.settings.Retries, now),
			demand:            rate{timeConstant: rateTimeConstant},
			steadyDemand:      steadyRate{rate: rate{timeConstant: steadyTimeConstant}},
		}
		c.services[name] = s
	}
	return s
}

// coldBudget returns how many requests all entries together may send to a cold
// upstream in each coldWindow; 0 means no limit.
func (c *Core) coldBudget(p *published.Service) float64 {
	if p == nil || p.ColdPerSecond <= 0 {
		return 0
	}
	return (p.ColdPerSecond*c.settings.ColdOverrun + c.settings.ColdSlack) * coldLimitFraction
}

// Arrive handles a new request: it sends, queues or rejects it.
func (c *Core) Arrive(now time.Time, ticket Ticket, call Call) []Action {
	route, customer, refusal := c.match(&call)
	if refusal != nil {
		refusal.Ticket = ticket
		return []Action{*refusal}
	}
	r := c.newRequest(now, ticket, call, route, customer)
	d := c.decide(now, r)
	if d.Verdict == poison.Blocked {
		return []Action{c.block(r, d)}
	}
	r.suspect = suspectedTrait(d)
	c.requests[ticket] = r
	s := c.service(now, r.service)
	if !c.endsInTime(now, s, r) {
		return c.giveUp(now, r, stopReason)
	}
	s.retryBudget.RecordFirst(now)
	if !r.returning {
		s.rankOrder.recordArrival(now, r)
	}
	s.setTurn(now, r)
	if !r.returning {
		s.demand.add(now)
		s.steadyDemand.add(now)
	}
	if s.noneAhead(r) {
		if send, ok := c.trySend(now, s, r, d); ok {
			return []Action{send}
		}
	}
	return c.enqueue(now, s, r)
}

// match returns the route and the customer of a call, which is nil if the call needs none,
// or the refusal of the call.
func (c *Core) match(call *Call) (*published.Route, *published.Customer, *Refuse) {
	if c.view == nil || c.view.Config == nil {
		return nil, nil, &Refuse{Verdict: NotRun, Reason: "no configuration known yet", RetryAfter: unconfiguredRetryAfter}
	}
	config := c.view.Config
	route := config.Route(call.Host, call.Path)
	if route == nil {
		return nil, nil, &Refuse{Verdict: NoRoute, Reason: "no route matches"}
	}
	customer := config.Customer(call.Key)
	if customer == nil && config.KeysRequired && !route.Anonymous {
		return nil, nil, &Refuse{Verdict: NoKey, Reason: "unknown key"}
	}
	return route, customer, nil
}

// unconfiguredRetryAfter is the retry delay for callers that arrive before the
// process has a configuration.
const unconfiguredRetryAfter = 500 * time.Millisecond

// Cancel ends a request whose caller disconnected while it was queued or before
// its send was carried out.
func (c *Core) Cancel(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil {
		return nil
	}
	delete(c.requests, ticket)
	if r.upstream == nil {
		return nil
	}
	c.endSilence(r)
	r.dropHedge()
	r.release()
	return c.drain(now)
}

// Observe applies what the header of a response reported about the request's
// upstream.
func (c *Core) Observe(now time.Time, ticket Ticket, o Observation) {
	r := c.requests[ticket]
	if r == nil {
		return
	}
	a := r.attemptNumber(o.Attempt)
	if a == nil {
		return
	}
	a.upstream.observe(now, o)
	if o.Load != nil {
		a.statedSlowdown = o.Load.Slowdown
	}
	a.recordAlive(now)
	c.declined.observe(now, a.upstream.startKey(), o)
	if c.limits.table.Observe(now, a.sentAt, a.upstream.startKey(), o.Limit) {
		c.applyLimits(now)
	}
}

// ResponseStarted records that the response to a request began.
func (c *Core) ResponseStarted(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil || r.upstream == nil {
		return nil
	}
	r.releasePrompt()
	r.recordAlive(now)
	c.recordBegan(now, r, &r.attempt)
	return c.drain(now)
}

// Tick handles the passing of time: it expires queued requests and sends those
// that fit now.
func (c *Core) Tick(now time.Time) []Action { return c.drain(now) }
