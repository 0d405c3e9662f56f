// Package routing decides which upstream an attempt goes to. The core is pure.
//
// An entry works with a bounded subset of the replicas of each service, so the
// cost of a decision depends on the size of the subset and not of the fleet.
package routing

import (
	"slices"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// regionBound is the load above which another region is considered.
	regionBound = 0.75
	// regionMargin is how much less loaded a replica of another region must
	// be; without it, calls would cross regions for small differences.
	regionMargin = 0.25
	// localityBound is the load up to which the replica that last saw a prompt
	// prefix is preferred. Cache knowledge must not overload a replica.
	localityBound = 0.5
)

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Request is what routing needs to know of a call.
type Request struct {
	Service fleet.Service
	// Roots are the acceptable weights, the preferred ones first; empty for
	// plain services.
	Roots []fleet.Digest
	// Prefix identifies the first bytes of the prompt; 0 means none.
	Prefix uint64
	// Tried are the replicas that the call must not go to again.
	Tried []fleet.InstanceID
	// Alone asks for a replica without other calls. The replica is reserved
	// until the call is done; one such call runs at a time for each service.
	Alone bool
}

// Choice is a replica and the weights that it is asked to answer with.
type Choice struct {
	Instance fleet.Instance
	Root     fleet.Digest
}

// Table routes the calls of one entry. It is owned by one duty.
type Table struct {
	self     fleet.Instance
	pools    map[fleet.Service]*pool
	byID     map[fleet.InstanceID]*candidate
	live     map[fleet.InstanceID]fleet.Instance
	prefixes *prefixes
	reserved map[fleet.Service]*candidate
}

// pool holds the subset of one service by the weights that replicas serve.
type pool struct {
	plain  bool
	groups map[fleet.Digest]*group
}

// group holds replicas that serve the same weights, by distance.
type group struct{ near, far []*candidate }

// New returns an empty table of an entry.
func New(self fleet.Instance) *Table {
	return &Table{
		self:     self,
		byID:     map[fleet.InstanceID]*candidate{},
		prefixes: newPrefixes(),
		reserved: map[fleet.Service]*candidate{},
	}
}

// Update takes in a configuration and the members. Load and penalties of
// replicas that stay are kept. The cost is linear in the number of members.
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
			t.pools[name] = t.newPool(s, subset(t.self, list, Subset), old)
		}
	}
	for id, c := range old {
		if t.byID[id] != nil {
			continue
		}
		// Calls in flight are still counted out at a replica that left.
		c.left = true
		t.release(c)
		if c.mine > 0 {
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
		c.left = false
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
		g.near = append(g.near, c)
	} else {
		g.far = append(g.far, c)
	}
}

// Pick chooses a replica with room and counts the call in. It returns false if
// no acceptable replica has room now.
func (t *Table) Pick(now time.Time, r Request, random Random) (Choice, bool) {
	p := t.pools[r.Service]
	if p == nil {
		return Choice{}, false
	}
	if r.Alone {
		return t.pickAlone(now, p, r, random)
	}
	s := search{now: now, request: &r, random: random}
	c, root := t.search(p, s)
	if c == nil && !p.anyHealthy(s) {
		// All acceptable replicas failed recently. One of them is tried, since
		// the cause may lie elsewhere. A call never goes to such a replica only
		// because the others have no room.
		s.avoided = true
		c, root = t.search(p, s)
	}
	if c == nil {
		return Choice{}, false
	}
	c.mine++
	t.prefixes.remember(r.Prefix, c.ID)
	return Choice{Instance: c.Instance, Root: root}, true
}

// anyHealthy reports whether a replica could take the call now or later.
func (p *pool) anyHealthy(s search) bool {
	healthy := func(c *candidate) bool {
		return !c.avoided(s.now) && !slices.Contains(s.request.Tried, c.ID)
	}
	for root, g := range p.groups {
		acceptable := p.plain || root.IsZero() || slices.Contains(s.request.Roots, root)
		if acceptable && (slices.ContainsFunc(g.near, healthy) || slices.ContainsFunc(g.far, healthy)) {
			return true
		}
	}
	return false
}

func (t *Table) search(p *pool, s search) (*candidate, fleet.Digest) {
	if p.plain {
		return t.pickFrom(p.groups[fleet.Digest{}], s), fleet.Digest{}
	}
	for _, root := range s.request.Roots {
		if c := t.pickFrom(p.groups[root], s); c != nil {
			return c, root
		}
	}
	// Replicas that have not said what they serve get the preferred weights;
	// their gate refuses if they do not serve them.
	if len(s.request.Roots) > 0 {
		return t.pickFrom(p.groups[fleet.Digest{}], s), s.request.Roots[0]
	}
	return nil, fleet.Digest{}
}

func (t *Table) pickFrom(g *group, s search) *candidate {
	if g == nil {
		return nil
	}
	if c := t.local(g, s); c != nil {
		return c
	}
	near := s.choose(g.near)
	if near != nil && near.load(s.now) <= regionBound {
		return near
	}
	far := s.choose(g.far)
	switch {
	case near == nil:
		return far
	case far != nil && far.load(s.now)+regionMargin < near.load(s.now):
		return far
	default:
		return near
	}
}

// local returns the replica that last saw the prompt prefix, if it is in the
// group and below the bound.
func (t *Table) local(g *group, s search) *candidate {
	c := t.byID[t.prefixes.find(s.request.Prefix)]
	if c == nil || c.left || c.load(s.now) > localityBound || !s.fits(c) {
		return nil
	}
	list := g.far
	if c.Region == t.self.Region {
		list = g.near
	}
	if !slices.Contains(list, c) {
		return nil
	}
	return c
}

// search holds what one decision looks for.
type search struct {
	now     time.Time
	request *Request
	random  Random
	avoided bool
}

// choose returns the less loaded of two random replicas that fit. If neither
// fits, it returns the first one that fits from a random position on.
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
	fitsA, fitsB := s.fits(a), s.fits(b)
	switch {
	case fitsA && fitsB && b.load(s.now) < a.load(s.now):
		return b
	case fitsA:
		return a
	case fitsB:
		return b
	}
	for i := range n {
		if c := list[(first+i)%n]; s.fits(c) {
			return c
		}
	}
	return nil
}

func (s search) fits(c *candidate) bool {
	if c.reserved || s.now.Before(c.refusedUntil) || c.avoided(s.now) != s.avoided {
		return false
	}
	return c.hasRoom(s.now) && !slices.Contains(s.request.Tried, c.ID)
}

// Fixed counts a call in at a named replica, whatever its load. It returns
// false if the replica is not live or its failure domain is out of service.
func (t *Table) Fixed(id fleet.InstanceID) (fleet.Instance, bool) {
	m, ok := t.live[id]
	if !ok {
		return fleet.Instance{}, false
	}
	c := t.byID[id]
	if c == nil {
		// Counted like a replica that left: it is outside of the subset.
		c = &candidate{Instance: m, left: true, limit: 1}
		t.byID[id] = c
	}
	c.mine++
	return m, true
}

// Report takes in the load that an agent reported with an answer.
func (t *Table) Report(now time.Time, id fleet.InstanceID, l Load) {
	if c := t.byID[id]; c != nil {
		c.report(now, l)
	}
}

// Refused pauses a replica that refused a call for another reason than load.
func (t *Table) Refused(now time.Time, id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.refusedUntil = now.Add(refusedFor)
	}
}

// Busy pauses a replica that refused a call for lack of room.
func (t *Table) Busy(now time.Time, id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.refusedUntil = now.Add(min(firstBusyPause<<min(c.busy, 10), maxBusyPause))
		c.busy++
	}
}

// Accepted takes in that a replica took a call.
func (t *Table) Accepted(id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.busy = 0
	}
}

// Failed avoids a replica for a while, because a call to it was lost.
func (t *Table) Failed(now time.Time, id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.failed(now)
	}
}

// Succeeded ends the penalties of a replica.
func (t *Table) Succeeded(id fleet.InstanceID) {
	if c := t.byID[id]; c != nil {
		c.failures = 0
		c.avoidUntil = time.Time{}
	}
}

// Done counts a call out.
func (t *Table) Done(id fleet.InstanceID) {
	c := t.byID[id]
	if c == nil || c.mine == 0 {
		return
	}
	c.mine--
	if c.alone {
		t.release(c)
	}
	if c.left && c.mine == 0 {
		delete(t.byID, id)
	}
}
