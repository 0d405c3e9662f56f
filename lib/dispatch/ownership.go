package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

// Each entry knows its own requests at once and those of others only later, so an
// upstream is loaded most evenly if few entries send to it. Most requests go to the
// upstreams that an entry owns, some to its neighbors, and others are used only if
// none of these has capacity.
const (
	// neighborCost and strangerCost are the costs added to an upstream of which
	// this entry owns nothing, in proportion to what it does not own.
	neighborCost = 0.25
	strangerCost = 1.5
	// neighborFactor is the number of neighbors for each upstream that an entry
	// owns. minNeighbors is the smallest number of neighbors.
	neighborFactor = 2
	minNeighbors   = 16
)

// sortByRegion sorts the upstreams of a service by region and then by ID. Entries
// are ordered by region too, so that most own upstreams of their own region.
func (s *service) sortByRegion() {
	slices.SortFunc(s.upstreams, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.ID, b.ID))
	})
}

// maxSlotRatio is the greatest number of slots of an upstream that counts, as a multiple of
// the median of its service. One with eight accelerators beside those with one stays below.
const maxSlotRatio = 8

// boundSlots bounds the slots that count for each upstream of the service. One that states
// far too many would otherwise get nearly all requests, and entries would own nothing else.
func (s *service) boundSlots() {
	var slots []int
	for _, u := range s.upstreams {
		if u.Slots > 0 {
			slots = append(slots, u.Slots)
		}
	}
	if len(slots) == 0 {
		return
	}
	slices.Sort(slots)
	most := slots[(len(slots)-1)/2] * maxSlotRatio
	for _, u := range s.upstreams {
		if u.Slots > most {
			bounded := *u.Upstream
			bounded.Slots = most
			u.Upstream = &bounded
		}
	}
}

// divideSlots determines which part of each upstream this entry owns, and how many
// requests it may send to an upstream that is cold.
func (c *Core) divideSlots(now time.Time) {
	for _, s := range c.services {
		for _, u := range s.upstreams {
			u.usable = c.usable(now, s, u)
		}
		s.divide(now)
		s.averageFirstByte()
		for _, u := range s.upstreams {
			u.coldLimit = c.coldLimit(s.coldBudget, u)
		}
	}
}

// inRow reports whether the slots of the upstream are divided among the entries. An
// entry whose slots were at upstreams with a stated limit could not use them.
func (u *upstream) inRow() bool { return u.usable && u.limit == nil }

// divide determines what this entry owns. The slots of all usable upstreams stand
// in one row, and each entry owns the part of the row that its share covers, so
// that ownership follows the demand and each slot has one owner.
func (s *service) divide(now time.Time) {
	shared := s.share.High > s.share.Low && now.Sub(s.shareAt) <= peerLoadTTL
	total := 0
	for _, u := range s.upstreams {
		if u.inRow() {
			total += u.Slots
		}
	}
	neighbors := max(neighborFactor*(s.share.High-s.share.Low), minNeighbors/float64(max(len(s.upstreams), 1)))
	live := part{low: s.share.Low * float64(total), high: s.share.High * float64(total)}
	known := part{low: s.share.KnownLow * float64(total), high: s.share.KnownHigh * float64(total)}
	first := 0
	for _, u := range s.upstreams {
		u.neighbor = u.affinity < neighbors
		u.ownSlots, u.ownFraction, u.knownFraction = 0, 0, 0
		switch {
		case !shared:
			u.ownSlots, u.ownFraction = u.Slots, 1
		case u.inRow():
			u.ownSlots, u.ownFraction = live.of(first, u.Slots)
			_, u.knownFraction = known.of(first, u.Slots)
			first += u.Slots
		}
	}
}

// averageFirstByte sets the mean time to the first byte of the upstreams that have
// one.
func (s *service) averageFirstByte() {
	var sum time.Duration
	known := 0
	for _, u := range s.upstreams {
		if u.usable && u.meanFirstByte > 0 {
			sum += u.meanFirstByte
			known++
		}
	}
	s.meanFirstByte = sum / time.Duration(max(known, 1))
}

// part is the part of a row of slots from low to high.
type part struct{ low, high float64 }

// of returns how many of the slots from first on lie in the part, and which
// fraction of them. A slot lies in the part that contains its middle.
func (p part) of(first, slots int) (count int, fraction float64) {
	from, until := max(float64(first), p.low), min(float64(first+slots), p.high)
	return max(slotsBefore(until)-slotsBefore(from), 0), max(until-from, 0) / float64(max(slots, 1))
}

// ownerColdFraction is the fraction of the budget for a cold upstream that its
// owners have, by what they own. All entries share the rest equally.
const ownerColdFraction = 0.5

// coldLimit returns how many requests this entry may send to an upstream in each
// coldWindow, out of a budget for all entries; 0 means none.
func (c *Core) coldLimit(budget float64, u *upstream) int {
	owners := budget * ownerColdFraction
	return int(owners*u.knownFraction) + c.place.EqualPart(int(budget-owners), u.offset)
}

// foreignCost returns the cost of sending to an upstream that this entry does not
// own. There is none if the upstream states a limit, since that is divided otherwise.
func (u *upstream) foreignCost() float64 {
	if u.limit != nil {
		return 0
	}
	if u.neighbor {
		return neighborCost * (1 - u.ownFraction)
	}
	return strangerCost * (1 - u.ownFraction)
}

// maxOffset bounds the offsets of upstreams in the order of the entries.
const maxOffset = 1 << 16

// affinity returns a number from 0 to 1 for an entry and an upstream. The entry's
// neighbors are the upstreams with the lowest numbers, so that a change of either
// set moves few of them.
func affinity(entry string, id fleet.InstanceID) float64 {
	return float64(fleet.RendezvousWeight(entry, string(id))) / math.MaxUint64
}

// slotsBefore returns the number of slots in a row whose middle lies before a
// position.
func slotsBefore(position float64) int { return int(math.Ceil(position - 0.5)) }

// usable reports whether an upstream can serve requests now, with weights that
// are not overdue.
func (c *Core) usable(now time.Time, s *service, u *upstream) bool {
	if u.Draining || c.view.OutOfService[u.Domain] {
		return false
	}
	if s.published == nil || s.published.Engine == nil || len(s.published.Engine.Models) == 0 {
		return true
	}
	model := s.published.Engine.Models[0]
	v := u.servedVersion(now, model, s.published.Engine.Layers)
	return v != 0 && v >= c.view.Desired[model].Due(now, c.settings.OldVersionGrace)
}

// quota returns how many slots of an upstream this entry may use. While the
// service is contended, it may use only those that it owns. Free sharing would
// not be fair: the loads of other entries arrive late, and the entry with the
// most requests at an upstream would be the first to see a slot become free.
func (s *service) quota(now time.Time, u *upstream) int {
	if !s.contended(now) {
		return u.Slots
	}
	return u.ownSlots
}
