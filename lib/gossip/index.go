package gossip

import (
	"cmp"
	"slices"

	"rattanspur.example/lib/fleet"
)

// maxRanked is the number of members of a region that are ranked: the
// watchers and those next in rank, with room for some that are suspected.
const maxRanked = 16

// index is what is derived from the records. It is brought up to date when it
// is read, at most a few times a second. Its slices are never changed, because
// their readers may cause the next index to be built.
type index struct {
	// members are all members in the order of their identifiers.
	members []fleet.Instance
	// region holds the places of the members of the own region.
	region []int
	// ranked are the members of the region that may watch, first rank first.
	ranked []fleet.Instance
}

// Members returns all members in the order of their identifiers. The caller
// must not change the slice.
func (t *Table) Members() []fleet.Instance {
	if len(t.touched) > 0 {
		t.rebuild()
	}
	return t.index.members
}

// rebuild copies the members once and changes those that were touched. Sorting
// all of them for each change would cost most of the processor time of gossip.
func (t *Table) rebuild() {
	members := make([]fleet.Instance, len(t.index.members), len(t.index.members)+len(t.touched))
	copy(members, t.index.members)
	var added []fleet.Instance
	for id := range t.touched {
		place, known := place(members, id)
		m, kept := t.records[id]
		kept = kept && !m.Gone()
		switch {
		case known && kept:
			members[place] = m.Effective()
		case known:
			members = slices.Delete(members, place, place+1)
		case kept:
			added = append(added, m.Effective())
		}
	}
	if len(added) > 0 {
		members = append(members, added...)
		slices.SortFunc(members, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	clear(t.touched)
	t.index.members = members
	t.rebuildRegion()
}

func place(members []fleet.Instance, id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m fleet.Instance, id fleet.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
}

func (t *Table) rebuildRegion() {
	type candidate struct {
		rank  uint64
		place int
	}
	own := t.Self().Region
	key := "watch/" + string(own)
	t.index.region, t.index.ranked = nil, nil
	var candidates []candidate
	for i := range t.index.members {
		m := &t.index.members[i]
		if m.Region != own {
			continue
		}
		t.index.region = append(t.index.region, i)
		if m.State == fleet.StateLive {
			candidates = append(candidates, candidate{rank: fleet.RendezvousWeight(key, string(m.ID)), place: i})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(b.rank, a.rank)
	})
	for _, c := range candidates[:min(len(candidates), maxRanked)] {
		t.index.ranked = append(t.index.ranked, t.index.members[c.place])
	}
}
