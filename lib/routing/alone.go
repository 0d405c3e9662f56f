package routing

import (
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

// pickAlone reserves a replica, so that it gets no further calls, and returns
// it once no call is in flight there.
func (t *Table) pickAlone(now time.Time, p *pool, r Request, random Random) (Choice, bool) {
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
	c.mine++
	c.alone = true
	return Choice{Instance: c.Instance, Root: root}, true
}

// rootFor returns the weights that a replica is asked for; ok is false if it
// serves none that are acceptable.
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

// Release ends the reservation of a replica on which no call was placed.
func (t *Table) Release(s fleet.Service) {
	if c := t.reserved[s]; c != nil && !c.alone {
		t.release(c)
	}
}

func (t *Table) release(c *candidate) {
	if !c.reserved {
		return
	}
	c.reserved, c.alone = false, false
	delete(t.reserved, c.Service)
}
