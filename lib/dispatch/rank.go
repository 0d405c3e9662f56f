package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

// Admission by rank. While a service has too little capacity, requests of a more urgent rank are
// served first, at all entries alike: they go first at each entry, and while they are refused at
// any entry, less urgent ranks leave slots free everywhere. It applies to services whose routes
// have more than one rank; for others, nothing changes.
//
// The pairs of a customer's rank and a route's rank that can occur are the places of the order,
// from 0. The turn of a request follows from its place, and from whether it is a retry. With the
// routes' ranks 0 and 1, and one customer of rank 0 beside others without a rank:
//
//	place  customer, route     turn of a new request, of a retried one
//	0      0, 0                0, 3
//	1      0, 1                2, 5
//	2      1 (the route's), 1  4, 7
const (
	// rankReserve is the fraction of an engine's slots that each rank of routes leaves free for
	// the one before it. It is a little more than one of 12 slots. maxRankReserve bounds what a
	// rank leaves free, however many ranks there are.
	rankReserve    = 0.085
	maxRankReserve = 0.25
	// minRankShare is the fraction of the new requests of a place in the order that is served
	// before all others, so that no kind of request and no customer starves.
	minRankShare = 0.3
	// rankShareTime is the time constant of the averages by which that fraction is kept.
	rankShareTime = 4 * time.Second
	// minRankRate is the rate of requests per second below which the fraction is not looked at.
	minRankRate = 1
)

// rankPair is the rank of a customer and that of a route. A customer without a rank has that of
// the route.
type rankPair struct{ customer, route int }

// compare orders pairs by the customer's rank and then by that of the route.
func (p rankPair) compare(q rankPair) int {
	return cmp.Or(cmp.Compare(p.customer, q.customer), cmp.Compare(p.route, q.route))
}

// rankOrder holds the order of a service's requests by rank.
type rankOrder struct {
	// routes are the different ranks of the routes, and pairs those of customers and routes,
	// the most urgent first.
	routes []int
	pairs  []rankPair
	// shares holds what each place in the order got lately.
	shares []rankShare
	// refusedAt is when new requests of each rank of routes were last refused for lack of
	// capacity.
	refusedAt []time.Time
}

// rankShare counts the new requests of a place that arrived lately and those that were sent.
type rankShare struct{ arrived, sent rate }

// newRankOrder returns the order of ranks, given the ranks of customers and of a service's
// routes in any order.
func newRankOrder(customers, routes []int) rankOrder {
	o := rankOrder{routes: slices.Compact(slices.Sorted(slices.Values(routes)))}
	for _, route := range o.routes {
		o.pairs = append(o.pairs, rankPair{customer: route, route: route})
		for _, customer := range customers {
			o.pairs = append(o.pairs, rankPair{customer: customer, route: route})
		}
	}
	slices.SortFunc(o.pairs, rankPair.compare)
	o.pairs = slices.Compact(o.pairs)
	o.refusedAt = make([]time.Time, len(o.routes))
	o.shares = make([]rankShare, len(o.pairs))
	for i := range o.shares {
		o.shares[i] = rankShare{arrived: rate{timeConstant: rankShareTime}, sent: rate{timeConstant: rankShareTime}}
	}
	return o
}

// update replaces the order. What was counted is kept if it stays the same.
func (o *rankOrder) update(next rankOrder) {
	if !slices.Equal(o.pairs, next.pairs) {
		*o = next
	}
}

// applies reports whether requests are admitted by rank.
func (o *rankOrder) applies() bool { return len(o.routes) > 1 }

// place returns the place of a request in the order, from 0, and that of its route's rank
// among those of the routes. A request that is older than the configuration gets the nearest
// ones.
func (o *rankOrder) place(r *request) (place, routePlace int) {
	place, _ = slices.BinarySearchFunc(o.pairs, rankPair{customer: r.rank(), route: r.route.Rank}, rankPair.compare)
	routePlace, _ = slices.BinarySearch(o.routes, r.route.Rank)
	return min(place, len(o.pairs)-1), min(routePlace, len(o.routes)-1)
}

// starves reports whether a place got too small a share lately.
func (o *rankOrder) starves(now time.Time, place int) bool {
	s := o.shares[place]
	arrived := s.arrived.perSecond(now)
	return arrived >= minRankRate && s.sent.perSecond(now) < minRankShare*arrived
}

// recordArrival counts a new request.
func (o *rankOrder) recordArrival(now time.Time, r *request) {
	if o.applies() {
		place, _ := o.place(r)
		o.shares[place].arrived.add(now)
	}
}

// recordSend counts a new request that was sent.
func (o *rankOrder) recordSend(now time.Time, r *request) {
	if o.applies() {
		place, _ := o.place(r)
		o.shares[place].sent.add(now)
	}
}

// Turns order the waiting requests of a service with admission by rank: new ones by their place,
// and retried ones after the new ones of the next place. A retried request has missed its latency
// goal already, but a caller who is refused twice may not come back.
const (
	turnsPerPlace = 2
	retriedDelay  = 3
)

// setTurn sets the place and the turn of a request that arrives. A new request of a place that
// starves goes before all others.
func (s *service) setTurn(now time.Time, r *request) {
	r.ranked = s.rankOrder.applies()
	if !r.ranked {
		return
	}
	r.place, r.routePlace = s.rankOrder.place(r)
	r.starved = !r.returning && s.rankOrder.starves(now, r.place)
	if r.starved {
		r.place = 0
	}
	r.turn = r.place * turnsPerPlace
	if r.returningStream() {
		r.turn += retriedDelay
	}
}

// lastTurn returns the greatest turn that a request may have.
func (o *rankOrder) lastTurn() int { return turnsPerPlace*max(len(o.pairs)-1, 0) + retriedDelay }

// rankedBefore returns how many requests wait in queues with an earlier turn than a request of a
// service with admission by rank, for the same regions. It is 0 for others.
func (s *service) rankedBefore(r *request) int {
	if !r.ranked || s.newRequests.length()+s.returningRequests.length() == 0 {
		return 0
	}
	n, regions := 0, r.regionKey()
	for _, queues := range [...]regionQueues{s.newRequests, s.returningRequests} {
		for key, q := range queues {
			if key.turn < r.turn && strings.TrimSuffix(key.group, returningSuffix) == regions {
				n += q.Len()
			}
		}
	}
	return n
}

// drainByRank sends the waiting requests of a service with admission by rank in their turns.
// Those that an upstream failed go before all.
func (c *Core) drainByRank(now time.Time, s *service, actions []Action) []Action {
	actions = c.drainQueues(now, s, s.failoverRequests, actions)
	keys := append(s.newRequests.keys(), s.returningRequests.keys()...)
	slices.SortStableFunc(keys, func(a, b queueKey) int { return cmp.Compare(a.turn, b.turn) })
	for _, key := range keys {
		for _, queues := range [...]regionQueues{s.newRequests, s.returningRequests} {
			if q := queues[key]; q != nil {
				actions = c.drainQueue(now, s, q, actions)
				if q.Len() == 0 {
					delete(queues, key)
				}
			}
		}
	}
	return actions
}

// rankedReserve returns the fraction of an engine's slots that a request leaves free. It leaves
// some as long as requests of a more urgent rank are refused at any entry, so that those which
// arrive find them. The ranks of customers reserve nothing: most requests may have the same one.
func (s *service) rankedReserve(now time.Time, r *request) float64 {
	if !r.ranked || r.starved || r.routePlace == 0 {
		return 0
	}
	refused, ok := s.mostUrgentRefused(now)
	if !ok || refused >= r.routePlace {
		return 0
	}
	return min(rankReserve*float64(r.routePlace-refused), maxRankReserve)
}

// mostUrgentRefused returns the most urgent place of the routes' ranks at which any entry
// recently refused new requests for lack of capacity. ok is false if none did.
func (s *service) mostUrgentRefused(now time.Time) (routePlace int, ok bool) {
	routePlace = len(s.rankOrder.routes)
	if s.rejectedRecently(now) {
		routePlace = s.rankOrder.refused(now)
	}
	if n := s.share.RefusedRank; n > 0 && now.Sub(s.shareAt) <= peerLoadTTL {
		routePlace = min(routePlace, n-1)
	}
	return routePlace, routePlace < len(s.rankOrder.routes)
}

// refusedRank returns what to report to peers: one more than the most urgent place at which this
// entry recently refused new requests, or 0 if it refused none.
func (s *service) refusedRank(now time.Time) int {
	if place := s.rankOrder.refused(now); place < len(s.rankOrder.routes) && s.rankOrder.applies() {
		return place + 1
	}
	return 0
}

// recordRefusal records that a new request was refused for lack of capacity.
func (o *rankOrder) recordRefusal(now time.Time, r *request) {
	if r.routePlace < len(o.refusedAt) {
		o.refusedAt[r.routePlace] = now
	}
}

// refused returns the most urgent place of the routes' ranks at which requests were refused
// within rejectionWindow, or their number if none were.
func (o *rankOrder) refused(now time.Time) int {
	for i, at := range o.refusedAt {
		if !at.IsZero() && now.Sub(at) < rejectionWindow {
			return i
		}
	}
	return len(o.refusedAt)
}

// setRanks sets the order of ranks of each service from a new configuration.
func (c *Core) setRanks(config *published.Config) {
	if config == c.rankedConfig {
		return
	}
	c.rankedConfig = config
	var customers []int
	for _, customer := range config.Customers {
		if customer.HasRank {
			customers = append(customers, customer.Rank)
		}
	}
	customers = slices.Compact(slices.Sorted(slices.Values(customers)))
	routes := map[fleet.Service][]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		for _, t := range route.Targets {
			if p := config.Services[t.Service]; p != nil && p.Engine != nil && route.Kind == published.Streaming {
				routes[t.Service] = append(routes[t.Service], route.Rank)
			}
		}
	}
	for name, s := range c.services {
		s.rankOrder.update(newRankOrder(customers, routes[name]))
	}
}
