package once

import (
	"slices"
	"sort"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// Owner returns the instance that decides on a key, chosen by rendezvous hashing
// among the instances of the key's epoch. It returns an empty identifier if no
// epoch covers the key's time.
func Owner(o config.Owners, k Key) fleet.InstanceID {
	e := epochAt(o, k)
	if e == nil {
		return ""
	}
	text := k.String()
	var best fleet.InstanceID
	var bestWeight uint64
	for _, id := range e.Instances {
		weight := fleet.RendezvousWeight(text, string(id))
		// The identifier breaks ties, so that the order of the list does not
		// matter.
		if best == "" || weight > bestWeight || (weight == bestWeight && id > best) {
			best, bestWeight = id, weight
		}
	}
	return best
}

// epochAt returns the last epoch that starts at or before the key's time.
func epochAt(o config.Owners, k Key) *config.OwnerEpoch {
	at := k.Time()
	after := sort.Search(len(o.Epochs), func(i int) bool { return o.Epochs[i].Start.After(at) })
	if after == 0 {
		return nil
	}
	return &o.Epochs[after-1]
}

// ChangesFinal reports whether later changes owners that earlier made final:
// those of key times before the Until of earlier. Epochs at the beginning of the
// list may be missing in later once their keys are no longer accepted.
func ChangesFinal(earlier, later config.Owners) bool {
	if len(earlier.Epochs) == 0 || len(later.Epochs) == 0 {
		return false
	}
	from := later.Epochs[0].Start
	for _, e := range slices.Concat(earlier.Epochs, later.Epochs) {
		at := e.Start
		if at.Before(from) {
			at = from
		}
		if at.Before(earlier.Until) && !sameOwners(earlier, later, KeyAt(ceilToMillisecond(at), [10]byte{})) {
			return true
		}
	}
	return false
}

func sameOwners(a, b config.Owners, k Key) bool {
	if !k.Time().Before(a.Until) {
		return true
	}
	ea, eb := epochAt(a, k), epochAt(b, k)
	if ea == nil || eb == nil {
		return ea == eb
	}
	return slices.Equal(sortedIDs(ea), sortedIDs(eb))
}

func sortedIDs(e *config.OwnerEpoch) []fleet.InstanceID {
	ids := slices.Clone(e.Instances)
	slices.Sort(ids)
	return slices.Compact(ids)
}
