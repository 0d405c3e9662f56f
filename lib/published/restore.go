package published

import "time"

// When the store was restored from a copy, the copy lacks the last changes, and what was
// lost is written again by those who wrote it. Until then, an item of the copy may be
// older than what is known: the first snapshot of an era does not say which of its items
// were written after the restore. Numbers help only in part, since they are given out
// again.

// RestoreGrace is how long what was known before a restore holds against the copy. What
// is not written again by then was given up by its writer, and the store's state counts.
const RestoreGrace = 10 * time.Second

// noteEra notes the era of a read of the store or of a peer. A process that has just
// started does not know when the store was restored, so that any era is new to it.
func (s *State) noteEra(now time.Time, revision Revision) {
	if era := revision.Era(); era > s.era || s.eraSince.IsZero() {
		s.era, s.eraSince = max(era, s.era), now
	}
}

// restoreDeadline returns when the state of the store counts, whatever was known before.
func (s *State) restoreDeadline() time.Time { return s.eraSince.Add(RestoreGrace) }

// holdsAgainst reports whether what is known of a key since before a restore holds
// against a change of the new era. copied is set if the change may come from the copy; a
// change that was seen as it happened certainly does not.
func (s *State) holdsAgainst(now time.Time, old *entry, c *Change, copied bool) bool {
	if c.Revision.Era() <= old.revision.Era() || !now.Before(s.restoreDeadline()) {
		return false
	}
	switch item := old.item.(type) {
	case *Config, DesiredVersion:
		// Their writer numbers them, and never goes back.
		return !c.Removed && versionOf(c.Item) < versionOf(item)
	case *Upstream:
		next, ok := c.Item.(*Upstream)
		// A start that is draining does not become ready again.
		return ok && next.StartTime == item.StartTime && item.Draining && !next.Draining
	case nil:
		// The copy was made before the removal.
		return copied && !c.Removed && c.Revision.Number() <= old.revision.Number()
	}
	return false
}

// wasLost reports whether a peer knows a change of an earlier era that the restored store
// lost and that is newer than what it has. A process that started after the restore
// learns of it only in this way.
func (s *State) wasLost(now time.Time, old *entry, c *Change) bool {
	if c.Removed || c.Revision.Era() >= old.revision.Era() || !now.Before(s.restoreDeadline()) {
		return false
	}
	known := versionOf(old.item)
	return known > 0 && versionOf(c.Item) > known
}

// versionOf returns the number that the writer of an item gave it, or 0 if there is
// none.
func versionOf(item any) int64 {
	switch item := item.(type) {
	case *Config:
		return item.Version
	case DesiredVersion:
		return item.Version
	}
	return 0
}
