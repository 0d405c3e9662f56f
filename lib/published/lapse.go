package published

import (
	"slices"
	"time"
)

// A registration is removed when its upstream has left, and also when it was not renewed for
// some renewal intervals. The store may have been unavailable meanwhile: then the upstream may
// be there all the same. A process that has heard nothing of the store cannot tell silence of
// its own path from silence of the store. What others wrote in that time can: each renewal that
// the store accepted shows that it was available then.

const (
	// LapseGrace is how long an upstream whose registration may only have lapsed is still
	// assumed to run. Registrations that expired while the store was unavailable are renewed
	// within about two seconds of its recovery, and are read 250 ms later.
	LapseGrace = 2250 * time.Millisecond
	// lapseIntervals is the number of renewal intervals for which the store must at least be
	// unavailable for a registration to expire: three without a renewal, of which the first
	// may have begun before.
	lapseIntervals = 2
	// DefaultRenewalInterval is the time between two renewals of a registration.
	DefaultRenewalInterval = 1200 * time.Millisecond
)

// SetRenewalInterval sets the time between two renewals of a registration.
func (s *State) SetRenewalInterval(d time.Duration) { s.renewalInterval = d }

// SetUnheard sets for how long nothing had been heard of the store before the changes that are
// applied next.
func (s *State) SetUnheard(d time.Duration) { s.unheard = d }

// noteSilence notes the end of a time for which nothing was heard of the store. Registrations that
// changes of the store remove from then on may have lapsed, if it may have been unavailable.
func (s *State) noteSilence(now time.Time, changes []Change) {
	if s.mayHaveLapsed(changes) {
		s.lapseUntil = now.Add(LapseGrace)
	}
}

// mayHaveLapsed reports whether the store may have been unavailable for so long, in the time for
// which nothing was heard of it, that registrations expired. It was not if upstreams renewed theirs
// so often that the rest of the time is too short. The count that a quarter of the upstreams reaches
// is taken, since their renewals are not in step, and since some of them may have ended.
func (s *State) mayHaveLapsed(changes []Change) bool {
	least := lapseIntervals * s.renewalInterval
	if s.unheard < least {
		return false
	}
	counts := s.countRenewals(changes)
	if len(counts) == 0 {
		return true
	}
	slices.Sort(counts)
	n := counts[len(counts)-1-len(counts)/4]
	between := time.Duration(max(n-1, 0)) * s.renewalInterval
	return s.unheard-between >= least
}

// countRenewals returns how often each upstream that remains after changes has renewed its
// registration in them. A registration that differs from the one before is not counted: it may
// have been written between two renewals.
func (s *State) countRenewals(changes []Change) []int {
	last, counts := map[string]*Upstream{}, map[string]int{}
	for key, e := range s.items {
		if u, ok := e.item.(*Upstream); ok {
			last[key], counts[key] = u, 0
		}
	}
	for i := range changes {
		c := &changes[i]
		u, ok := c.Item.(*Upstream)
		if !ok {
			delete(last, c.Key)
			delete(counts, c.Key)
			continue
		}
		if before := last[c.Key]; before != nil && before.sameState(u) {
			counts[c.Key]++
		}
		last[c.Key] = u
	}
	out := make([]int, 0, len(last))
	for key := range last {
		out = append(out, counts[key])
	}
	return out
}

// sameState reports whether two registrations say the same but for what every renewal changes.
func (u *Upstream) sameState(other *Upstream) bool {
	return u.Service == other.Service && u.Address == other.Address && u.Slots == other.Slots && u.Draining == other.Draining &&
		u.StartTime == other.StartTime && slices.Equal(u.Copies, other.Copies)
}

// mayBeLapse reports whether a change of the store removes an upstream whose registration may only
// have lapsed. One that has a content, which is unusable, was written.
func (s *State) mayBeLapse(now time.Time, old *entry, c *Change) bool {
	_, isUpstream := old.item.(*Upstream)
	return isUpstream && c.Removed && len(c.Raw) == 0 && now.Before(s.lapseUntil)
}

// lapse lets an upstream that the store removed expire with the grace.
func (s *State) lapse(old entry, c *Change) {
	if old.expiresAt.IsZero() {
		old.expiresAt = s.lapseUntil
		s.deferred++
	}
	old.successor = &entry{revision: c.Revision}
	s.items[c.Key] = old
}

// TakeDeferred returns how many upstreams that the store removed were kept since the last call,
// because their registrations may have lapsed.
func (s *State) TakeDeferred() int {
	n := s.deferred
	s.deferred = 0
	return n
}

// NextExpiry returns when Expire next replaces an item; zero if none is set to expire.
func (s *State) NextExpiry() time.Time {
	var next time.Time
	for _, e := range s.items {
		if at := e.expiresAt; !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
