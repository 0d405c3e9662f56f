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
//
// If the loaded version itself became the target only a short time ago, its engines
// update after those that serve an older version, which is due first.
func SlotStart(target published.DesiredVersion, loaded int64, updateWindow time.Duration, rank, count int) time.Time {
	next, own := startsAround(target, loaded, func(p published.Publication) time.Time { return p.NotBefore })
	first := next.Add(time.Duration(firstSlotFraction * float64(updateWindow)))
	if due := own.Add(updateWindow - lastSlotMargin); !own.IsZero() && due.After(first) {
		first = due
	}
	last := UsableUntil(target, loaded, updateWindow).Add(-lastSlotMargin)
	if last.Before(first) {
		return last
	}
	return first.Add(last.Sub(first) * time.Duration(rank) / time.Duration(max(count, 1)))
}

// UsableUntil returns the time after which no new request may start on the
// loaded version: the earliest end of the update window of a newer target.
func UsableUntil(target published.DesiredVersion, loaded int64, updateWindow time.Duration) time.Time {
	next, _ := startsAround(target, loaded, func(p published.Publication) time.Time { return target.GraceStart(p, updateWindow) })
	return next.Add(updateWindow)
}

// startsAround returns the earliest start of a version that is newer than the loaded one,
// and the start of the loaded one; zero if that is not known. startOf returns the start of a
// version by its publication. The oldest newer version need not have the earliest start, since
// the process may have first observed it later. What was the target before the loaded one does
// not count: a newer version may have been withdrawn and become the target again.
func startsAround(target published.DesiredVersion, loaded int64, startOf func(published.Publication) time.Time) (next, own time.Time) {
	next = startOf(target.Published)
	for _, e := range target.Previous {
		if e.Version == loaded {
			return next, startOf(e.Published)
		}
		if e.Version < loaded {
			continue
		}
		if start := startOf(e.Published); next.IsZero() || start.Before(next) {
			next = start
		}
	}
	return next, time.Time{}
}

// Ranks returns the positions, from 0, of the engines with the given addresses among
// the engines of their service. The order differs between the versions that engines
// have loaded, so that those of each version are spread over all positions.
func Ranks(addresses []string, loaded int64) map[string]int {
	key := strconv.FormatInt(loaded, 10)
	weights := make(map[string]uint64, len(addresses))
	for _, a := range addresses {
		weights[a] = fleet.RendezvousWeight(key, a)
	}
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	ranks := make(map[string]int, len(weights))
	for i, a := range sorted {
		if _, known := ranks[a]; !known {
			ranks[a] = i
		}
	}
	return ranks
}
