package gossip

import (
	"time"

	"rattanspur.example/lib/fleet"
)

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
