package staging

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

const (
	// firstSlotFraction is the fraction of the update window after which the
	// first engine of a service loads the new version. The copies arrive before
	// that.
	firstSlotFraction = 0.34
	// lastSlotMargin is the shortest time between the start of an update slot and
	// the end of the update window. The slots are spread over the time before it,
	// so that the other engines go on serving.
	lastSlotMargin = 900 * time.Millisecond
)

// SlotStart returns when an engine that serves an older version may load the
// target. rank is the position of the engine among the count engines of its
// service. Entries compute the same time, to avoid sending the engine long
// requests shortly before it.
func SlotStart(target published.DesiredVersion, loaded int64, updateWindow time.Duration, rank, count int) time.Time {
	first := target.FirstSeen.Add(time.Duration(firstSlotFraction * float64(updateWindow)))
	last := usableUntil(target, loaded, updateWindow).Add(-lastSlotMargin)
	if last.Before(first) {
		return last
	}
	return first.Add(last.Sub(first) * time.Duration(rank) / time.Duration(max(count, 1)))
}

// usableUntil returns the time after which no new request may start on the
// loaded version: the end of the update window of the oldest newer target.
func usableUntil(target published.DesiredVersion, loaded int64, updateWindow time.Duration) time.Time {
	oldest := target.FirstSeen
	for _, e := range target.Previous {
		if e.Version > loaded {
			oldest = e.FirstSeen
		}
	}
	return oldest.Add(updateWindow)
}

// Rank returns the position, from 0, of the engine with address self among the
// addresses of all engines of its service. The order differs between versions.
func Rank(self string, all []string, version int64) int {
	key := strconv.FormatInt(version, 10)
	ownWeight := fleet.RendezvousWeight(key, self)
	rank := 0
	for _, other := range all {
		if other != self && fleet.RendezvousWeight(key, other) > ownWeight {
			rank++
		}
	}
	return rank
}

// Ranks returns the Rank of each of the addresses in all.
func Ranks(all []string, version int64) map[string]int {
	key := strconv.FormatInt(version, 10)
	weights := make(map[string]uint64, len(all))
	for _, a := range all {
		weights[a] = fleet.RendezvousWeight(key, a)
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	ranks := make(map[string]int, len(weights))
	for i, a := range sorted {
		if _, known := ranks[a]; !known {
			ranks[a] = i
		}
	}
	return ranks
}
