package gossip

import (
	"sort"
	"time"

	"rattanspur.example/lib/fleet"
)

// maxRanked is the number of members of a region that are ranked: the
// watchers and those next in rank, with room for some that are suspected.
const maxRanked = 16

// SetList takes in a reading of the instance list. An older revision than the
// last one is ignored.
func (t *Table) SetList(list []fleet.Instance, revision uint64, now time.Time) {
	if revision < t.revision || len(list) == 0 {
		return
	}
	t.revision = revision
	seen := make(map[fleet.InstanceID]bool, len(list))
	for _, i := range list {
		seen[i.ID] = true
		delete(t.absent, i.ID)
		t.mergeListed(i, revision, now)
	}
	t.dropAbsent(seen, revision, now)
	t.listed = seen
}

func (t *Table) mergeListed(i fleet.Instance, revision uint64, now time.Time) {
	state := ListedLive
	if i.State == fleet.StateLeaving {
		state = ListedLeaving
		i.State = fleet.StateLive
	}
	old := t.records[i.ID]
	incarnation := old.Version.Incarnation
	if old.Listed.State == state {
		// The list repeats itself; it says nothing about a start since then.
		incarnation = old.Listed.Incarnation
	}
	t.Merge(Member{Instance: i, Listed: Listing{
		State: state, Revision: revision, Incarnation: incarnation,
	}}, now)
}

// dropAbsent marks members that the list doesn't name any more. If more than
// half of the listed members vanish at once, the list itself may be damaged;
// then a later reading must confirm it.
func (t *Table) dropAbsent(seen map[fleet.InstanceID]bool, revision uint64, now time.Time) {
	vanished := 0
	for id := range t.listed {
		if !seen[id] {
			vanished++
		}
	}
	trusted := 2*vanished <= len(t.listed)
	for id, m := range t.records {
		if seen[id] || id == t.self || m.Gone() {
			continue
		}
		if trusted && t.listed[id] || t.missingFor(m, now) {
			m.Listed = Listing{State: Absent, Revision: revision, Incarnation: m.Version.Incarnation}
			t.Merge(m, now)
		}
	}
}

// missingFor notes when a member was first missing and reports whether that is
// long enough ago.
func (t *Table) missingFor(m Member, now time.Time) bool {
	since, noted := t.absent[m.ID]
	if !noted {
		t.absent[m.ID] = now
		return false
	}
	limit := absentAfter
	if m.Listed.State == Unlisted || m.Version.Incarnation > m.Listed.Incarnation && m.Listed.State == Absent {
		limit = unlistedAfter
	}
	return now.Sub(since) >= limit
}

// Members returns all members in the order of their identifiers. The caller
// must not change the slice.
func (t *Table) Members() []fleet.Instance {
	if t.dirty {
		t.rebuild()
	}
	return t.index.members
}

func (t *Table) rebuild() {
	t.dirty = false
	self := t.Self()
	x := index{members: make([]fleet.Instance, 0, len(t.records))}
	for _, m := range t.records {
		if !m.Gone() {
			x.members = append(x.members, m.Effective())
		}
	}
	sort.Slice(x.members, func(i, j int) bool { return x.members[i].ID < x.members[j].ID })
	for _, m := range x.members {
		if m.ID != t.self {
			x.peers = append(x.peers, m)
		}
		if m.Region != self.Region {
			continue
		}
		if m.ID != t.self {
			x.region = append(x.region, m)
		}
		if m.State == fleet.StateLive {
			x.ranked = append(x.ranked, m)
		}
	}
	key := "watch/" + string(self.Region)
	sort.Slice(x.ranked, func(i, j int) bool {
		return fleet.Rank(key, string(x.ranked[i].ID)) > fleet.Rank(key, string(x.ranked[j].ID))
	})
	x.ranked = x.ranked[:min(len(x.ranked), maxRanked)]
	t.index = x
}
