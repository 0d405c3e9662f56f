package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rattanspur.example/lib/published"
)

// Admission by rank. While a service has too little capacity, requests of a more urgent rank are
// served first, at all entries alike: they go first at each entry, and each less urgent rank
// leaves more slots of an engine free, so that a request of an urgent rank that arrives at any
// entry finds one. It applies to services whose routes have more than one rank; for others,
// nothing changes.
const (
	// rankReserve is the fraction of an upstream's slots that each rank leaves free for those
	// before it, and that retried requests leave free for new ones of their rank.
	rankReserve = 0.0425
	// minRankShare is the fraction of the requests of a rank that go before all others, so that
	// no rank starves.
	minRankShare = 0.3
	// rankShareTime is the time constant of the averages by which that fraction is kept.
	rankShareTime = 4 * time.Second
	// minRankRate is the rate of requests per second below which a rank's fraction is not
	// looked at.
	minRankRate = 0.5
)

// rankOrder holds the order of a service's ranks.
type rankOrder struct {
	// ranks are the different ranks of the service's routes, the most urgent first.
	ranks []int
	// shares holds what each of them got lately.
	shares []rankShare
}

// rankShare counts the new requests of a rank that arrived lately and those that were sent.
type rankShare struct{ arrived, sent rate }

// setRanks sets the ranks of the routes to a service. What was counted is kept if they are the
// same as before.
func (o *rankOrder) setRanks(ranks []int) {
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	if slices.Equal(o.ranks, ranks) {
		return
	}
	o.ranks = ranks
	o.shares = make([]rankShare, len(ranks))
	for i := range o.shares {
		o.shares[i] = rankShare{arrived: rate{timeConstant: rankShareTime}, sent: rate{timeConstant: rankShareTime}}
	}
}

// applies reports whether requests are admitted by rank.
func (o *rankOrder) applies() bool { return len(o.ranks) > 1 }

// position returns the place of a rank in the order: the number of ranks before it. Customers
// may have ranks that no route has.
func (o *rankOrder) position(rank int) int {
	n, _ := slices.BinarySearchFunc(o.ranks, rank, cmp.Compare[int])
	return min(n, len(o.ranks)-1)
}

// arrive counts a new request and returns its place in the order. It is the first one if its
// rank has got too small a share.
func (o *rankOrder) arrive(now time.Time, rank int) int {
	if !o.applies() {
		return 0
	}
	position := o.position(rank)
	s := &o.shares[position]
	s.arrived.add(now)
	if arrived := s.arrived.perSecond(now); arrived >= minRankRate && s.sent.perSecond(now) < minRankShare*arrived {
		return 0
	}
	return position
}

// recordSend counts a new request that was sent.
func (o *rankOrder) recordSend(now time.Time, rank int) {
	if o.applies() {
		o.shares[o.position(rank)].sent.add(now)
	}
}

// rankKey returns the start of the key of the queue of requests at a place in the order. Keys
// sort by it.
func rankKey(place int) string { return fmt.Sprintf("%03d;", place) }

// maxRankedLoad returns the load, as a fraction of an engine's slots, below which the engine
// gets a request, or a retried one.
func maxRankedLoad(place int, retried bool) float64 {
	level := 2 * place
	if retried {
		level++
	}
	return max(maxEngineLoad-rankReserve*float64(level), rankReserve)
}

// rankedAhead reports whether requests wait that go before a request of a service with
// admission by rank.
func (s *service) rankedAhead(r *request) bool { return s.rankedBefore(r) > 0 }

// rankedBefore returns how many requests wait in queues that go before that of a request: those
// of more urgent ranks and, for a retried one, new ones of its own. It is 0 without admission by
// rank.
func (s *service) rankedBefore(r *request) int {
	if !r.ranked || s.newRequests.length()+s.returningRequests.length() == 0 {
		return 0
	}
	n, regions := 0, r.regionKey()
	for place := range r.place + 1 {
		own := place == r.place
		if q := s.newRequests[rankKey(place)+regions]; q != nil && (!own || r.returningStream()) {
			n += q.Len()
		}
		if q := s.returningRequests[rankKey(place)+regions+returningSuffix]; q != nil && !own {
			n += q.Len()
		}
	}
	return n
}

// routeRanks returns the ranks of the streaming routes to each service.
func routeRanks(c *published.Config) map[*published.Service][]int {
	out := map[*published.Service][]int{}
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, t := range route.Targets {
			if s := c.Services[t.Service]; s != nil && route.Kind == published.Streaming {
				out[s] = append(out[s], route.Rank)
			}
		}
	}
	return out
}
