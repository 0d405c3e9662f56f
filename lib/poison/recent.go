package poison

import "time"

// maxRecentTraits is the number of traits whose last answers are remembered.
const maxRecentTraits = 4096

// recentTraits remembers when answers to requests with a trait last began. If it is
// full, it forgets the trait that was not touched for the longest time. Its entries
// form a ring in the order of their last touch, in one slice, so that a touch does
// not allocate.
type recentTraits struct {
	positions map[Trait]int32
	// entries holds the head of the ring at position 0.
	entries []recentTrait
}

type recentTrait struct {
	trait Trait
	at    time.Time
	// newer and older are the positions of the neighbors in the ring.
	newer, older int32
}

func newRecentTraits() recentTraits {
	return recentTraits{
		positions: make(map[Trait]int32, maxRecentTraits),
		entries:   make([]recentTrait, 1, maxRecentTraits+1),
	}
}

// last returns when an answer to a request with the trait last began.
func (r *recentTraits) last(t Trait) (time.Time, bool) {
	p, found := r.positions[t]
	return r.entries[p].at, found
}

// touch records that an answer to a request with the trait began.
func (r *recentTraits) touch(t Trait, now time.Time) {
	p, found := r.positions[t]
	if !found {
		p = r.allocate()
		r.positions[t] = p
		r.entries[p].trait = t
	}
	r.entries[p].at = now
	r.unlink(p)
	r.linkNewest(p)
}

// allocate returns the position of an unused entry, which links to itself.
func (r *recentTraits) allocate() int32 {
	if len(r.entries) <= maxRecentTraits {
		p := int32(len(r.entries))
		r.entries = append(r.entries, recentTrait{newer: p, older: p})
		return p
	}
	oldest := r.entries[0].newer
	delete(r.positions, r.entries[oldest].trait)
	return oldest
}

func (r *recentTraits) unlink(p int32) {
	e := &r.entries[p]
	r.entries[e.newer].older = e.older
	r.entries[e.older].newer = e.newer
}

// linkNewest links an entry between the head and the entry that was the newest.
func (r *recentTraits) linkNewest(p int32) {
	newest := r.entries[0].older
	r.entries[p].newer = 0
	r.entries[p].older = newest
	r.entries[newest].newer = p
	r.entries[0].older = p
}
