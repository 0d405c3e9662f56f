package dispatch

import (
	"maps"
	"math"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/quota"
	"rattanspur.example/lib/ratelimit"
)

// An upstream in need states how many requests per second it takes from all entries
// together. The requests that this allows in limitWindow are divided into units, each of
// which one entry owns by its demand. An entry without a unit sends nothing there.
const (
	// limitWindow is the span in which requests to an upstream with a limit are counted.
	limitWindow = 4 * time.Second
	// divisionInterval is the time between two divisions of a limit that did not change.
	divisionInterval = time.Second
	// minOwnershipDelay is how long an entry owns a unit before it uses it, in addition to
	// the time in which all entries hear from each other: the previous owner may have used
	// it until it learned of the change.
	minOwnershipDelay = limitWindow + divisionInterval
	// maxUnits is the maximum number of units of one limit. Units of great limits stand
	// for several requests.
	maxUnits = 32
	// maxCandidates is the maximum number of entries among which one limit is divided.
	maxCandidates = 16
	// candidatesUnit is the number of no unit; its key selects the candidates.
	candidatesUnit = -1
	// localWeight multiplies the weight of entries in the region of the upstream, so
	// that requests which only that region may serve find units there.
	localWeight = 3.0
	// idleWeight is the weight that each entry has without any demand, as a fraction of
	// the mean demand: otherwise its first requests would find no unit.
	idleWeight = 0.1
	// maxPace is the rate at which an entry may use its part, as a multiple of its mean
	// rate, so that the upstream does not get all of it at the start of each window.
	maxPace = 1.5
)

// limiter holds the stated limits and this entry's parts of them.
type limiter struct {
	// self identifies this entry among those that share limits.
	self    uint64
	table   *ratelimit.Table
	parts   map[ratelimit.Key]*limitPart
	sharing peering.Sharing
	// settledAt is since when this entry has known its peers; zero if it does not.
	settledAt time.Time
	// dividedAt is when the limits were last divided.
	dividedAt time.Time
	// candidates holds the positions of the entries among which each limit is divided, as
	// long as members, which identifies the entries in their order, stays the same.
	candidates map[ratelimit.Key][]int
	members    uint64
}

func newLimiter() *limiter {
	return &limiter{table: ratelimit.NewTable(), parts: map[ratelimit.Key]*limitPart{}, candidates: map[ratelimit.Key][]int{}}
}

// limitPart is this entry's part of the limit of one upstream.
type limitPart struct {
	// total is the number of requests that the limit allows all entries in limitWindow.
	total int
	// ownedSince holds since when this entry owns each unit; zero if it does not.
	ownedSince []time.Time
	// weights identifies the entries and the weights by which the units were divided.
	weights uint64
	// allowance is the number of requests that this entry may send in limitWindow.
	allowance int
	sends     quota.Window
}

// allows reports whether the part allows one more request now. A nil part allows any.
func (p *limitPart) allows(now time.Time) bool {
	switch {
	case p == nil:
		return true
	case p.sends.Count(now, limitWindow) >= p.allowance:
		return false
	}
	gap := time.Duration(float64(limitWindow) / (maxPace * float64(p.allowance)))
	return now.Sub(p.sends.Last()) >= gap
}

// requestsOf returns the number of requests for which a unit stands.
func (p *limitPart) requestsOf(unit int) int {
	return quota.Place{Position: unit, Processes: len(p.ownedSince)}.EqualPart(p.total, 0)
}

// LimitReports returns what to report to peers about stated limits.
func (c *Core) LimitReports() []ratelimit.Report { return c.limits.table.Reports() }

// LimitChanges returns the changes of stated limits since the last call, for logs.
func (c *Core) LimitChanges() []ratelimit.Report { return c.limits.table.Changes() }

// OwnLimit returns how many requests this entry may send to an upstream in four seconds
// by the limit that the upstream states. ok is false if it states none.
func (c *Core) OwnLimit(id fleet.InstanceID) (requests int, ok bool) {
	u := c.upstreams[id]
	if u == nil || u.limit == nil {
		return 0, false
	}
	return u.limit.allowance, true
}

// StatedLimits returns the number of upstreams that state a limit.
func (c *Core) StatedLimits() int { return c.limits.table.Active() }

// ApplyLimits applies what a peer reports about stated limits.
func (c *Core) ApplyLimits(now time.Time, reports []ratelimit.Report) []Action {
	if !c.limits.table.Merge(now, reports) {
		return nil
	}
	c.applyLimits(now)
	return c.drain(now)
}

// SetSharing sets the entries among which stated limits are divided.
func (c *Core) SetSharing(now time.Time, sharing peering.Sharing) {
	l := c.limits
	l.sharing, l.self = sharing, quota.NewSharer(sharing.Self, 0).Process
	switch {
	case !sharing.Settled:
		l.settledAt = time.Time{}
	case l.settledAt.IsZero():
		l.settledAt = now
	}
	members := l.self
	for i := range sharing.Peers {
		members = fleet.Mix(members) ^ quota.NewSharer(sharing.Peers[i].Name, 0).Process
	}
	if members != l.members {
		l.members, l.candidates = members, map[ratelimit.Key][]int{}
	}
	c.applyLimits(now)
}

// ownershipDelay returns how long this entry owns a unit before it uses it.
func (l *limiter) ownershipDelay() time.Duration {
	return minOwnershipDelay + peering.RoundTime(len(l.sharing.Peers))
}

// retainLimits drops the limits of upstreams that are gone.
func (c *Core) retainLimits(now time.Time) {
	c.limits.table.Retain(now, func(k ratelimit.Key) bool {
		u := c.upstreams[k.ID]
		return u != nil && u.StartTime == k.StartTime
	})
	c.applyLimits(now)
}

// applyLimits sets this entry's part of each stated limit. Parts are divided again if
// the limit changed, and otherwise once in divisionInterval.
func (c *Core) applyLimits(now time.Time) {
	l := c.limits
	if l.table.Empty() && len(l.parts) == 0 {
		return
	}
	due := now.Sub(l.dividedAt) >= divisionInterval
	if due {
		l.dividedAt = now
	}
	parts := make(map[ratelimit.Key]*limitPart, len(l.parts))
	for _, s := range c.services {
		sharers := map[fleet.Region][]quota.Sharer{}
		for _, u := range s.upstreams {
			u.limit = nil
			limit, ok := l.table.Limit(now, u.startKey())
			if !ok {
				continue
			}
			if sharers[u.region] == nil {
				sharers[u.region] = c.sharers(s, u.region)
			}
			u.limit = l.part(now, u, limit, due, sharers[u.region])
			parts[u.startKey()] = u.limit
		}
	}
	l.parts = parts
	maps.DeleteFunc(l.candidates, func(k ratelimit.Key, _ []int) bool { return parts[k] == nil })
}

// part returns this entry's part of the limit of an upstream.
func (l *limiter) part(now time.Time, u *upstream, limit ratelimit.Limit, due bool, sharers []quota.Sharer) *limitPart {
	p := l.parts[u.startKey()]
	total := max(int(math.Ceil(limit.PerSecond*limitWindow.Seconds())), 1)
	since := now
	if p == nil {
		p = &limitPart{}
		// The units had the same owners before the limit was stated, unless this entry
		// has just learned of the others.
		if !l.settledAt.IsZero() {
			since = l.settledAt
		}
	}
	if p.total != total || due {
		candidates := l.candidatesFor(u, sharers)
		weights := fingerprint(candidates)
		if p.total != total || p.weights != weights {
			p.total, p.weights = total, weights
			l.divide(p, u.ID, since, candidates)
		}
	}
	p.allowance = limit.Factor * l.usable(now, p)
	return p
}

// fingerprint identifies entries and their weights.
func fingerprint(sharers []quota.Sharer) uint64 {
	h := uint64(0)
	for _, s := range sharers {
		h = fleet.Mix(h ^ s.Process ^ math.Float64bits(s.Weight))
	}
	return h
}

// candidatesFor returns the entries among which the limit of an upstream is divided.
func (l *limiter) candidatesFor(u *upstream, sharers []quota.Sharer) []quota.Sharer {
	if len(sharers) <= maxCandidates {
		return sharers
	}
	positions := l.candidates[u.startKey()]
	if positions == nil {
		positions = quota.Candidates(quota.UnitKey(u.ID, candidatesUnit), sharers, maxCandidates)
		l.candidates[u.startKey()] = positions
	}
	out := make([]quota.Sharer, len(positions))
	for i, position := range positions {
		out[i] = sharers[position]
	}
	return out
}

// divide determines the units that this entry owns. since is the time from which it
// owns those that it did not own before.
func (l *limiter) divide(p *limitPart, id fleet.InstanceID, since time.Time, sharers []quota.Sharer) {
	units := make([]time.Time, min(p.total, maxUnits))
	for i := range units {
		switch {
		case quota.Owner(quota.UnitKey(id, i), sharers) != l.self:
		case i < len(p.ownedSince) && !p.ownedSince[i].IsZero():
			units[i] = p.ownedSince[i]
		default:
			units[i] = since
		}
	}
	p.ownedSince = units
}

// usable returns the number of requests for which the units stand that this entry may
// use.
func (l *limiter) usable(now time.Time, p *limitPart) int {
	if l.settledAt.IsZero() {
		return 0
	}
	n := 0
	for i, since := range p.ownedSince {
		if !since.IsZero() && now.Sub(since) >= l.ownershipDelay() {
			n += p.requestsOf(i)
		}
	}
	return n
}

// sharers returns the entries that share the limits of a service's upstreams in a
// region, with their weights.
func (c *Core) sharers(s *service, region fleet.Region) []quota.Sharer {
	peers := c.limits.sharing.Peers
	own := s.reportedDemand
	sum := own
	for i := range peers {
		sum += peers[i].Demands[s.name].Steady
	}
	idle := 1.0
	if sum > 0 {
		// It changes in steps, since every change of a weight moves units.
		idle = math.Exp2(math.Round(math.Log2(idleWeight * sum / float64(len(peers)+1))))
	}
	weight := func(demand float64, at fleet.Region) float64 {
		if at == region {
			return localWeight * (demand + idle)
		}
		return demand + idle
	}
	out := []quota.Sharer{{Process: c.limits.self, Weight: weight(own, c.settings.Region)}}
	for i := range peers {
		out = append(out, quota.NewSharer(peers[i].Name, weight(peers[i].Demands[s.name].Steady, peers[i].Region)))
	}
	return out
}
