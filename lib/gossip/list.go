package gossip

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// listRestoreDelay is how long only lists with lower revisions must have been read until
// they are followed: the service was restored from a copy. A copy of the service that
// lags behind returns such lists as well, but not for so long.
const listRestoreDelay = 10 * time.Second

// SetList applies a version of the instance list. A revision older than the
// last one and an empty list are ignored.
func (t *Table) SetList(list []fleet.Instance, revision uint64, now time.Time) {
	if len(list) == 0 {
		return
	}
	revision, ok := t.orderRevision(revision, now)
	if !ok {
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

// orderRevision returns the revision by which a list is ordered among those of other
// times and processes. ok is false if the list is older than the last one. After a restore
// of the service, its revisions are raised above all known ones, because listings with
// lower ones would lose against those that other processes hold.
func (t *Table) orderRevision(revision uint64, now time.Time) (ordered uint64, ok bool) {
	ordered = revision + t.revisionOffset
	if ordered >= t.revision {
		t.behindSince = time.Time{}
		return ordered, true
	}
	if t.behindSince.IsZero() {
		t.behindSince = now
	}
	if now.Sub(t.behindSince) < listRestoreDelay {
		return 0, false
	}
	greatest := t.revision
	for _, m := range t.records {
		greatest = max(greatest, m.Listed.Revision)
	}
	t.revisionOffset = greatest + 1 - revision
	t.behindSince = time.Time{}
	return greatest + 1, true
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
