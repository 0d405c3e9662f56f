package gossip

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// SetList applies a version of the instance list. A revision older than the
// last one and an empty list are ignored.
func (t *Table) SetList(list []fleet.Instance, revision uint64, now time.Time) {
	if revision < t.revision || len(list) == 0 {
		return
	}
	t.revision = revision
	seen := make(map[fleet.InstanceID]bool, len(list))
	for _, i := range list {
		seen[i.ID] = true
		delete(t.missingSince, i.ID)
		t.mergeListed(i, revision, now)
	}
	t.delistMissing(seen, revision, now)
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
		// The listing is unchanged, so it says nothing about a start since
		// then.
		incarnation = old.Listed.Incarnation
	}
	t.Merge(Member{Instance: i, Listed: Listing{
		State: state, Revision: revision, Incarnation: incarnation,
	}}, now)
}

// delistMissing marks the members that the list no longer names as delisted. If
// more than half of the listed members disappear at once, the list itself may
// be damaged; a later read must confirm it.
func (t *Table) delistMissing(seen map[fleet.InstanceID]bool, revision uint64, now time.Time) {
	missing := 0
	for id := range t.listed {
		if !seen[id] {
			missing++
		}
	}
	trusted := 2*missing <= len(t.listed)
	for id, m := range t.records {
		if seen[id] || id == t.self || m.Removed() {
			continue
		}
		if trusted && t.listed[id] || t.missingTooLong(m, now) {
			m.Listed = Listing{State: Delisted, Revision: revision, Incarnation: m.Version.Incarnation}
			t.Merge(m, now)
		}
	}
}

// missingTooLong records when a member was first missing from the list and
// reports whether it has been missing for longer than its limit.
func (t *Table) missingTooLong(m Member, now time.Time) bool {
	since, known := t.missingSince[m.ID]
	if !known {
		t.missingSince[m.ID] = now
		return false
	}
	limit := delistAfter
	if m.Listed.State == NeverListed || m.Version.Incarnation > m.Listed.Incarnation && m.Listed.State == Delisted {
		limit = neverListedTTL
	}
	return now.Sub(since) >= limit
}
