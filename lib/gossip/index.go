package gossip

import (
	"cmp"
	"slices"

	"rattanspur.example/lib/fleet"
)

// maxWatchCandidates is the number of ranked members per region: the watchers,
// the standbys next in rank, and some more in case members are suspected.
const maxWatchCandidates = 16

// index holds data derived from the records. It is updated when it is read, at
// most a few times a second. Its slices are never modified, because a reader
// may still hold them when the next index is built.
type index struct {
	// members are all members sorted by identifier.
	members []fleet.Instance
	// regionPositions are the positions in members of those in the own region.
	regionPositions []int
	// watchCandidates are the members of the region that may watch, in rank
	// order.
	watchCandidates []fleet.Instance
}

// Members returns all members sorted by identifier. The caller must not modify
// the slice.
func (t *Table) Members() []fleet.Instance {
	if len(t.dirty) > 0 {
		t.rebuild()
	}
	return t.index.members
}

// rebuild copies the members once and updates the dirty ones. Sorting all of
// them for each change would cost most of the CPU time of gossip.
func (t *Table) rebuild() {
	members := make([]fleet.Instance, len(t.index.members), len(t.index.members)+len(t.dirty))
	copy(members, t.index.members)
	var added []fleet.Instance
	for id := range t.dirty {
		position, known := findMember(members, id)
		m, present := t.records[id]
		present = present && !m.Removed()
		switch {
		case known && present:
			members[position] = m.Effective()
		case known:
			members = slices.Delete(members, position, position+1)
		case present:
			added = append(added, m.Effective())
		}
	}
	if len(added) > 0 {
		members = append(members, added...)
		slices.SortFunc(members, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	clear(t.dirty)
	t.index.members = members
	t.rebuildRegion()
}

func findMember(members []fleet.Instance, id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m fleet.Instance, id fleet.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
}

func (t *Table) rebuildRegion() {
	type candidate struct {
		weight   uint64
		position int
	}
	own := t.Self().Region
	key := "watch/" + string(own)
	t.index.regionPositions, t.index.watchCandidates = nil, nil
	var candidates []candidate
	for i := range t.index.members {
		m := &t.index.members[i]
		if m.Region != own {
			continue
		}
		t.index.regionPositions = append(t.index.regionPositions, i)
		if m.State == fleet.StateLive {
			candidates = append(candidates, candidate{weight: fleet.RendezvousWeight(key, string(m.ID)), position: i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(b.weight, a.weight)
	})
	for _, c := range candidates[:min(len(candidates), maxWatchCandidates)] {
		t.index.watchCandidates = append(t.index.watchCandidates, t.index.members[c.position])
	}
}
