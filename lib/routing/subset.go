package routing

import (
	"cmp"
	"slices"

	"rattanspur.example/lib/fleet"
)

// Subset is the number of replicas of a service that one entry works with.
const Subset = 64

// nearShare is the share of the subset that is kept for the entry's own
// region. At 127 entries and 717 replicas a region, 32 replicas for each entry
// put every replica into the subsets of 5.7 entries on average.
const nearShare = 2

// ranked is a replica with its rendezvous weight for the entry.
type ranked struct {
	instance fleet.Instance
	rank     uint64
}

// subset returns at most size of the replicas: half of them in the entry's own
// region if there are enough, and each half spread evenly over the failure
// domains. Each domain contributes its replicas with the greatest rendezvous
// weights, so a replica that joins or leaves moves few others.
func subset(self fleet.Instance, list []fleet.Instance, size int) []fleet.Instance {
	if len(list) <= size {
		return list
	}
	near, far := map[fleet.FailureDomain][]ranked{}, map[fleet.FailureDomain][]ranked{}
	nearCount := 0
	for _, m := range list {
		r := ranked{instance: m, rank: fleet.RendezvousWeight(string(self.ID), string(m.ID))}
		if m.Region == self.Region {
			near[m.FailureDomain] = append(near[m.FailureDomain], r)
			nearCount++
		} else {
			far[m.FailureDomain] = append(far[m.FailureDomain], r)
		}
	}
	farCount := len(list) - nearCount
	nearSize := min(nearCount, max(size/nearShare, size-farCount))
	return append(spread(near, nearSize), spread(far, size-nearSize)...)
}

// spread takes replicas from the domains in turn.
func spread(domains map[fleet.FailureDomain][]ranked, size int) []fleet.Instance {
	names := make([]fleet.FailureDomain, 0, len(domains))
	for name, list := range domains {
		names = append(names, name)
		slices.SortFunc(list, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.instance.ID, b.instance.ID))
		})
	}
	slices.Sort(names)
	out := make([]fleet.Instance, 0, size)
	for round := 0; len(out) < size; round++ {
		taken := false
		for _, name := range names {
			if round < len(domains[name]) && len(out) < size {
				out = append(out, domains[name][round].instance)
				taken = true
			}
		}
		if !taken {
			return out
		}
	}
	return out
}
