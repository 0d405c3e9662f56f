package routing

import (
	"cmp"
	"slices"

	"rattanspur.example/lib/fleet"
)

// SubsetSize is the largest number of replicas of a service that one entry uses.
const SubsetSize = 64

// localDivisor sets the part of the subset that is reserved for the entry's own
// region: 1/localDivisor. With 127 entries and 717 replicas in a region, 32
// replicas per entry put every replica into the subsets of 5.7 entries on
// average.
const localDivisor = 2

// ranked is a replica with its rendezvous weight for the entry.
type ranked struct {
	instance fleet.Instance
	weight   uint64
}

// subset returns at most size of the replicas. Half of them are in the entry's
// own region if there are enough, and each half is spread evenly over the failure
// domains. Each domain contributes its replicas with the greatest rendezvous
// weights, so that a replica that joins or leaves displaces few others.
func subset(self fleet.Instance, list []fleet.Instance, size int) []fleet.Instance {
	if len(list) <= size {
		return list
	}
	local, remote := map[fleet.FailureDomain][]ranked{}, map[fleet.FailureDomain][]ranked{}
	localCount := 0
	for _, m := range list {
		r := ranked{instance: m, weight: fleet.RendezvousWeight(string(self.ID), string(m.ID))}
		if m.Region == self.Region {
			local[m.FailureDomain] = append(local[m.FailureDomain], r)
			localCount++
		} else {
			remote[m.FailureDomain] = append(remote[m.FailureDomain], r)
		}
	}
	remoteCount := len(list) - localCount
	localSize := min(localCount, max(size/localDivisor, size-remoteCount))
	return append(spread(local, localSize), spread(remote, size-localSize)...)
}

// spread returns up to size replicas, taken from the domains in turn, the
// greatest weight first.
func spread(domains map[fleet.FailureDomain][]ranked, size int) []fleet.Instance {
	names := make([]fleet.FailureDomain, 0, len(domains))
	for name, list := range domains {
		names = append(names, name)
		slices.SortFunc(list, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.instance.ID, b.instance.ID))
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
