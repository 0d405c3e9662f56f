package routing

import (
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

// pickExclusive reserves a replica, so that it gets no further calls. It returns
// the replica once no call is in flight there and it serves acceptable weights,
// and false until then.
func (t *Table) pickExclusive(now time.Time, p *pool, r Request, random Random) (Choice, bool) {
	c := t.reserved[r.Service]
	if c == nil {
		c, _ = t.search(p, search{now: now, request: &r, random: random})
		if c == nil {
			return Choice{}, false
		}
		c.reserved = true
		t.reserved[r.Service] = c
	}
	if c.inFlight(now) > 0 {
		return Choice{}, false
	}
	root, ok := rootFor(p, c, r)
	if !ok {
		return Choice{}, false
	}
	c.ownInFlight++
	c.exclusive = true
	return Choice{Instance: c.Instance, Root: root}, true
}

// rootFor returns the root of the weights that a replica must respond with; ok
// is false if it serves none that are acceptable.
func rootFor(p *pool, c *candidate, r Request) (root fleet.Digest, ok bool) {
	switch {
	case p.plain:
		return fleet.Digest{}, true
	case c.Serving.IsZero() && len(r.Roots) > 0:
		return r.Roots[0], true
	default:
		return c.Serving, slices.Contains(r.Roots, c.Serving)
	}
}

// Release ends the reservation of a service's replica, unless its exclusive call
// is in flight.
func (t *Table) Release(s fleet.Service) {
	if c := t.reserved[s]; c != nil && !c.exclusive {
		t.release(c)
	}
}

// release ends the reservation of a replica, if there is one.
func (t *Table) release(c *candidate) {
	if !c.reserved {
		return
	}
	c.reserved, c.exclusive = false, false
	delete(t.reserved, c.Service)
}
