// Package routing decides which upstream an attempt goes to. The core is pure: it
// has no clock and starts no goroutine.
//
// An entry works with a bounded subset of the replicas of each service, so that
// the cost of a decision depends on the size of the subset, not of the fleet.
package routing

import (
	"slices"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// maxLocalLoad is the load of a local replica above which replicas of other
	// regions are considered.
	maxLocalLoad = 0.75
	// remoteMargin is how much lower the load of a replica of another region
	// must be; without it, calls would cross regions for small differences.
	remoteMargin = 0.25
	// maxPrefixLoad is the load up to which the replica that last got a prompt
	// prefix is preferred. Prefix caching must not overload a replica.
	maxPrefixLoad = 0.5
)

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Request describes a call to be routed.
type Request struct {
	Service fleet.Service
	// Roots are the root digests of the acceptable weights, the preferred ones
	// first; empty for plain services.
	Roots []fleet.Digest
	// Prefix is the hash of the prompt's prefix; 0 means none. See PrefixOf.
	Prefix uint64
	// Tried are the replicas that the call must not be sent to again.
	Tried []fleet.InstanceID
	// Exclusive requests a replica without other calls. The replica is reserved
	// until the call is done; each service runs one such call at a time.
	Exclusive bool
}

// Choice is a replica and the root digest of the weights that it must respond
// with.
type Choice struct {
	Instance fleet.Instance
	Root     fleet.Digest
}

// Table routes the calls of one entry. It is not safe for concurrent use: the
// goroutine of one duty owns it.
type Table struct {
	self     fleet.Instance
	pools    map[fleet.Service]*pool
	byID     map[fleet.InstanceID]*candidate
	live     map[fleet.InstanceID]fleet.Instance
	prefixes *prefixCache
	reserved map[fleet.Service]*candidate
}

// pool holds the replica subset of one service, grouped by the weights that the
// replicas serve.
type pool struct {
	plain  bool
	groups map[fleet.Digest]*group
}

// group holds replicas that serve the same weights: those of the entry's own
// region and those of other regions.
type group struct{ local, remote []*candidate }

// New returns an empty table for the entry self.
func New(self fleet.Instance) *Table {
	return &Table{
		self:     self,
		byID:     map[fleet.InstanceID]*candidate{},
		prefixes: newPrefixCache(),
		reserved: map[fleet.Service]*candidate{},
	}
}

// Update applies a configuration and the current members. Load and penalties of
// the replicas that remain are kept. The cost is linear in the number of members.
func (t *Table) Update(a *config.Accepted, members []fleet.Instance) {
	byService := map[fleet.Service][]fleet.Instance{}
	t.live = make(map[fleet.InstanceID]fleet.Instance, len(members))
	for _, m := range members {
		if m.Role != fleet.RoleAgent || m.State != fleet.StateLive || !a.DomainIn(m.FailureDomain) {
			continue
		}
		t.live[m.ID] = m
		if !m.Switching {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	old := t.byID
	t.byID = make(map[fleet.InstanceID]*candidate, len(old))
	t.pools = make(map[fleet.Service]*pool, len(byService))
	for name, list := range byService {
		if s := a.Service(name); s != nil {
			t.pools[name] = t.newPool(s, subset(t.self, list, SubsetSize), old)
		}
	}
	for id, c := range old {
		if t.byID[id] != nil {
			continue
		}
		// A removed replica is kept until its calls in flight are done.
		c.removed = true
		t.release(c)
		if c.ownInFlight > 0 {
			t.byID[id] = c
		}
	}
}

func (t *Table) newPool(s *config.Service, members []fleet.Instance, old map[fleet.InstanceID]*candidate) *pool {
	p := &pool{plain: s.Kind == config.KindPlain, groups: map[fleet.Digest]*group{}}
	for _, m := range members {
		c := old[m.ID]
		if c == nil {
			c = &candidate{}
		}
		c.Instance = m
		c.removed = false
		c.configure(s.Limits)
		t.byID[m.ID] = c
		p.add(c, t.self.Region)
	}
	return p
}

func (p *pool) add(c *candidate, region fleet.Region) {
	key := c.Serving
	if p.plain {
		key = fleet.Digest{}
	}
	g := p.groups[key]
	if g == nil {
		g = &group{}
		p.groups[key] = g
	}
	if c.Region == region {
		g.local = append(g.local, c)
	} else {
		g.remote = append(g.remote, c)
	}
}

// Pick chooses a replica with capacity and counts the call as in flight. It
// returns false if no acceptable replica has capacity now.
func (t *Table) Pick(now time.Time, r Request, random Random) (Choice, bool) {
	p := t.pools[r.Service]
	if p == nil {
		return Choice{}, false
	}
	if r.Exclusive {
		return t.pickExclusive(now, p, r, random)
	}
	s := search{now: now, request: &r, random: random}
	c, root := t.search(p, s)
	if c == nil && !p.hasHealthyReplica(s) {
		// All acceptable replicas failed recently. One of them is tried, because
		// the cause may be elsewhere. A call never goes to such a replica only
		// because the others are at capacity.
		s.avoided = true
		c, root = t.search(p, s)
	}
	if c == nil {
		return Choice{}, false
	}
	c.sent(now)
	t.prefixes.remember(r.Prefix, c.ID)
	return Choice{Instance: c.Instance, Root: root}, true
}

// hasHealthyReplica reports whether an acceptable replica that is not avoided
// could take the call, now or once it has capacity.
func (p *pool) hasHealthyReplica(s search) bool {
	healthy := func(c *candidate) bool {
		return !c.avoided(s.now) && !slices.Contains(s.request.Tried, c.ID)
	}
	for root, g := range p.groups {
		acceptable := p.plain || root.IsZero() || slices.Contains(s.request.Roots, root)
		if acceptable && (slices.ContainsFunc(g.local, healthy) || slices.ContainsFunc(g.remote, healthy)) {
			return true
		}
	}
	return false
}

// search returns a replica of the pool and the root of the weights for it, trying
// the roots in order of preference. It returns nil if there is none.
func (t *Table) search(p *pool, s search) (*candidate, fleet.Digest) {
	if p.plain {
		return t.pickFrom(p.groups[fleet.Digest{}], s), fleet.Digest{}
	}
	for _, root := range s.request.Roots {
		if c := t.pickFrom(p.groups[root], s); c != nil {
			return c, root
		}
	}
	// Replicas that have not reported what they serve are asked for the
	// preferred weights; their agent refuses if they do not serve them.
	if len(s.request.Roots) > 0 {
		return t.pickFrom(p.groups[fleet.Digest{}], s), s.request.Roots[0]
	}
	return nil, fleet.Digest{}
}

// pickFrom returns a replica of the group, or nil. It prefers the replica that
// last got the prompt prefix, then the local region, and in any case replicas that
// are not silent.
func (t *Table) pickFrom(g *group, s search) *candidate {
	if g == nil {
		return nil
	}
	if c := t.byPrefix(g, s); c != nil {
		return c
	}
	local := s.choose(g.local)
	if local != nil && local.loadAfterCall(s.now) <= maxLocalLoad && !local.silent(s.now) {
		return local
	}
	remote := s.choose(g.remote)
	switch {
	case local == nil:
		return remote
	case remote != nil && remote.silent(s.now) != local.silent(s.now):
		if local.silent(s.now) {
			return remote
		}
		return local
	case remote != nil && remote.loadAfterCall(s.now)+remoteMargin < local.loadAfterCall(s.now):
		return remote
	default:
		return local
	}
}

// byPrefix returns the replica that last got the prompt prefix, or nil if it is
// not in the group, not eligible, or loaded above maxPrefixLoad.
func (t *Table) byPrefix(g *group, s search) *candidate {
	c := t.byID[t.prefixes.find(s.request.Prefix)]
	if c == nil || c.removed || c.silent(s.now) || c.loadAfterCall(s.now) > maxPrefixLoad || !s.eligible(c) {
		return nil
	}
	list := g.remote
	if c.Region == t.self.Region {
		list = g.local
	}
	if !slices.Contains(list, c) {
		return nil
	}
	return c
}

// search holds the parameters of one decision.
type search struct {
	now     time.Time
	request *Request
	random  Random
	// avoided selects the replicas that are being avoided, instead of the
	// others.
	avoided bool
}

// choose returns the less loaded of two random replicas that are eligible and not
// silent. If neither is, it returns the first such one from a random position on, an
// eligible one that is silent, or nil.
func (s search) choose(list []*candidate) *candidate {
	n := len(list)
	if n == 0 {
		return nil
	}
	first := s.random(n)
	second := first
	if n > 1 {
		second = (first + 1 + s.random(n-1)) % n
	}
	a, b := list[first], list[second]
	eligibleA, eligibleB := s.eligible(a) && !a.silent(s.now), s.eligible(b) && !b.silent(s.now)
	switch {
	case eligibleA && eligibleB && b.loadAfterCall(s.now) < a.loadAfterCall(s.now):
		return b
	case eligibleA:
		return a
	case eligibleB:
		return b
	}
	var silent *candidate
	for i := range n {
		c := list[(first+i)%n]
		switch {
		case !s.eligible(c):
		case !c.silent(s.now):
			return c
		case silent == nil:
			silent = c
		}
	}
	return silent
}

func (s search) eligible(c *candidate) bool {
	if c.reserved || s.now.Before(c.pausedUntil) || c.avoided(s.now) != s.avoided {
		return false
	}
	return c.hasCapacity(s.now) && !slices.Contains(s.request.Tried, c.ID)
}

// PickInstance counts a call as in flight at the given replica, whatever its
// load. It returns false if the replica is not live or its failure domain is out
// of service.
func (t *Table) PickInstance(id fleet.InstanceID) (fleet.Instance, bool) {
	m, ok := t.live[id]
	if !ok {
		return fleet.Instance{}, false
	}
	c := t.byID[id]
	if c == nil {
		// The replica is not in the subset. It is treated like a removed one.
		c = &candidate{Instance: m, removed: true, limit: 1}
		t.byID[id] = c
	}
	c.ownInFlight++
	return m, true
}

// Report applies the load that an agent reported with a response.
func (t *Table) Report(now time.Time, id fleet.InstanceID, l Load) {
	if c := t.byID[id]; c != nil {
		c.report(now, l)
	}
}

// KnowsLoad reports whether a replica has reported its load a short time ago. Otherwise only
// the calls of this entry count.
func (t *Table) KnowsLoad(now time.Time, id fleet.InstanceID) bool {
	c := t.byID[id]
	return c != nil && now.Sub(c.reportedAt) <= reportTTL
}

// Refused pauses calls to a replica that refused one for another reason than
// load.
func (t *Table) Refused(now time.Time, id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.pausedUntil = now.Add(refusalPause)
	}
}

// Busy pauses calls to a replica that refused one for lack of capacity.
func (t *Table) Busy(now time.Time, id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.pausedUntil = now.Add(min(firstBusyPause<<min(c.busyRefusals, 10), maxBusyPause))
		c.busyRefusals++
	}
}

// Accepted records that a replica accepted a call, which ends a series of busy
// refusals.
func (t *Table) Accepted(id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.busyRefusals = 0
		c.gaveSign()
	}
}

// Failed avoids a replica for a while after a call to it was lost.
func (t *Table) Failed(now time.Time, id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.failed(now)
	}
}

// Succeeded ends the penalty of a replica and resets its count of failures.
func (t *Table) Succeeded(id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.failures = 0
		c.avoidUntil = time.Time{}
		c.gaveSign()
	}
}

// Done records that a call to a replica is no longer in flight.
func (t *Table) Done(id fleet.InstanceID) {
	c := t.byID[id]
	if c == nil || c.ownInFlight == 0 {
		return
	}
	c.ownInFlight--
	if c.exclusive {
		t.release(c)
	}
	if c.removed && c.ownInFlight == 0 {
		delete(t.byID, id)
	}
}
