package published

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

// Change is a published item or the removal of one.
type Change struct {
	// Key identifies the item. A change with a greater revision replaces an
	// earlier one of the same key.
	Key      string
	Revision Revision
	// Removed is true if the item no longer exists or its content is unusable.
	Removed bool
	// Item is a *Config, *Upstream, DesiredVersion or OutOfService; nil if
	// Removed.
	Item any
	// Raw is the content as published, for forwarding it to peers.
	Raw []byte
}

// Batch is a set of changes up to a revision. Findings has one error for each
// item that could not be decoded.
type Batch struct {
	Changes  []Change
	Revision Revision
	Findings []error
	// Ages holds what a peer reports about the desired versions, by model.
	Ages map[string][]VersionAge
	// Sender is the address of the peer that sent the batch; empty if the store did.
	Sender string
}

// ErrCompacted is returned by a source that no longer has the requested
// history; the reader must read a snapshot instead.
var ErrCompacted = errors.New("requested history has been compacted")

// ErrUnavailable is wrapped by the error of a read that the source refused: it closed or
// rejected the connection, or responded with a server error. A read without any response does
// not have it, since only its connection may be at fault.
var ErrUnavailable = errors.New("source is unavailable")

// ErrUnreachable is wrapped by the error of a read for which no connection to the source could be
// opened. Another kind of read would have failed as well.
var ErrUnreachable = errors.New("source is unreachable")

// OutOfService marks a failure domain that operators took out of service.
type OutOfService struct{ Domain fleet.FailureDomain }

// State builds a view from changes. It is owned by one duty. For each key it
// keeps the change with the greatest revision, so the result does not depend on
// the order in which changes arrive or on the process that sends them. What was known
// before the store was restored from a copy holds against the copy for a while; see
// restore.go.
type State struct {
	revision Revision
	items    map[string]entry
	desired  map[string]DesiredVersion
	view     *View
	// hasSnapshot is true once a snapshot has been applied.
	hasSnapshot bool
	// completeUpTo is the revision up to which items has every existing key. A
	// change of an unknown key up to this revision was superseded by a removal.
	completeUpTo Revision
	// era is the greatest era that was seen, of the store or of a peer, and eraSince is
	// since when.
	era      uint64
	eraSince time.Time
	// absentUntil is when the changes that are applied next were last known to be absent;
	// zero if that is the time at which they are applied.
	absentUntil time.Time
	// outages are the times in which the store was unavailable. peerAheadAt is when a peer was
	// first ahead of this process since that last read the store; zero if none was.
	outages     Outages
	peerAheadAt time.Time
	// renewalInterval is the time between two renewals of a registration, and unheard the time
	// for which nothing was heard of the store before the changes that are applied next.
	// Until lapseUntil, what the store removes may only have lapsed.
	renewalInterval time.Duration
	unheard         time.Duration
	lapseUntil      time.Time
	// deferred counts the upstreams that were kept because their registrations may have lapsed.
	deferred int
	// older counts the changes that were dropped because a newer one of their key is
	// known.
	older int
}

// entry is the newest change of one key. Its item is nil if the key was removed.
type entry struct {
	revision Revision
	item     any
	raw      []byte
	// expiresAt is when successor replaces the entry, or removes it if that is nil;
	// zero if nothing does.
	expiresAt time.Time
	successor *entry
}

// entryOf returns the entry that a change makes.
func entryOf(c *Change) entry {
	if c.Removed {
		return entry{revision: c.Revision}
	}
	return entry{revision: c.Revision, item: c.Item, raw: c.Raw}
}

// NewState returns a state without items.
func NewState() *State {
	return &State{items: map[string]entry{}, desired: map[string]DesiredVersion{}, view: &View{}, renewalInterval: DefaultRenewalInterval}
}

// View returns the current view.
func (s *State) View() *View { return s.view }

// SetAbsentUntil sets when the changes that are applied next were last known to be absent;
// zero means until they are applied. A version may have been published at any time since
// then.
func (s *State) SetAbsentUntil(at time.Time) { s.absentUntil = at }

// Apply applies changes of the store, in their order, up to a revision. Upstreams are
// removed after LapseGrace if their registrations may only have lapsed. It reports
// whether the view changed.
func (s *State) Apply(now time.Time, changes []Change, revision Revision) bool {
	return s.apply(now, changes, revision, false)
}

// ApplyPeer applies what a peer knows. Peers may be behind, so their changes cannot
// restore an item that was missing from a snapshot. It reports whether the view changed.
func (s *State) ApplyPeer(now time.Time, changes []Change, revision Revision) bool {
	return s.apply(now, changes, revision, true)
}

func (s *State) apply(now time.Time, changes []Change, revision Revision, fromPeer bool) bool {
	s.noteEra(now, revision)
	if fromPeer {
		s.notePeer(now, revision)
	} else {
		s.peerAheadAt = time.Time{}
	}
	if !fromPeer {
		s.noteSilence(now, changes)
	}
	changed := false
	for i := range changes {
		changed = s.applyChange(now, &changes[i], fromPeer) || changed
	}
	s.revision = max(s.revision, revision)
	if changed {
		s.rebuild(now)
	}
	return changed
}

// Replace applies a snapshot. Items that are missing from it are removed:
// upstreams after LapseGrace, because registrations expire while the store is
// unavailable, and all other items immediately unless the store was restored from a
// copy. A snapshot of an earlier era than a previous one is ignored. It reports whether
// the view changed.
func (s *State) Replace(now time.Time, snapshot []Change, revision Revision) bool {
	if revision.Era() < s.completeUpTo.Era() {
		return false
	}
	s.noteEra(now, revision)
	s.noteSilence(now, nil)
	s.peerAheadAt = time.Time{}
	present := make(map[string]bool, len(snapshot))
	changed := false
	for i := range snapshot {
		present[snapshot[i].Key] = true
		changed = s.store(now, &snapshot[i], true) || changed
	}
	for key, e := range s.items {
		if present[key] || e.item == nil || e.revision > revision {
			continue
		}
		changed = s.remove(now, key, revision) || changed
	}
	s.revision = max(s.revision, revision)
	s.completeUpTo = max(s.completeUpTo, revision)
	if changed {
		s.rebuild(now)
	}
	s.hasSnapshot = true
	return changed
}

// remove removes an item that is missing from a snapshot with a revision. It reports
// whether it did so at once.
func (s *State) remove(now time.Time, key string, revision Revision) bool {
	e := s.items[key]
	_, isUpstream := e.item.(*Upstream)
	restored := e.revision.Era() < revision.Era()
	if !isUpstream && !restored {
		s.items[key] = entry{revision: e.revision}
		return true
	}
	if e.expiresAt.IsZero() {
		e.expiresAt = now.Add(LapseGrace)
		if !isUpstream {
			e.expiresAt = s.restoreDeadline()
		}
	}
	if restored {
		e.successor = &entry{revision: revision}
	}
	s.items[key] = e
	return false
}

// Expire replaces items whose time has passed: it removes upstreams after LapseGrace.
// It reports whether the view changed.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for key, e := range s.items {
		if e.expiresAt.IsZero() || now.Before(e.expiresAt) {
			continue
		}
		next := entry{revision: e.revision}
		if e.successor != nil {
			next = *e.successor
		}
		s.items[key] = next
		changed = true
	}
	if changed {
		s.rebuild(now)
	}
	return changed
}

// applyChange applies a change of the store or of a peer.
func (s *State) applyChange(now time.Time, c *Change, fromPeer bool) bool {
	old, known := s.items[c.Key]
	if known && s.wasLost(now, &old, c) {
		s.items[c.Key] = entry{revision: c.Revision, item: c.Item, raw: c.Raw, expiresAt: s.restoreDeadline(), successor: &old}
		return true
	}
	if known && c.Revision <= old.revision || !known && c.Revision <= s.completeUpTo {
		if c.Revision < max(old.revision, s.completeUpTo) {
			s.older++
		}
		return false
	}
	if !fromPeer && s.mayBeLapse(now, &old, c) {
		s.lapse(old, c)
		return false
	}
	return s.store(now, c, fromPeer)
}

// store stores a change if its key is unknown, if the stored change of the key
// is older, or if that item is set to expire. copied is set if the change may come from
// the copy from which the store was restored. It reports whether the view has to be
// rebuilt.
func (s *State) store(now time.Time, c *Change, copied bool) bool {
	old, known := s.items[c.Key]
	if known && old.expiresAt.IsZero() && c.Revision <= old.revision {
		if c.Revision < old.revision {
			s.older++
		}
		return false
	}
	if known && s.holdsAgainst(now, &old, c, copied) {
		next := entryOf(c)
		old.expiresAt, old.successor = s.restoreDeadline(), &next
		s.items[c.Key] = old
		return false
	}
	next := entryOf(c)
	next.revision = max(c.Revision, old.revision)
	s.items[c.Key] = next
	return c.Revision != old.revision || !known
}

// rebuild creates a new view from the items.
func (s *State) rebuild(now time.Time) {
	v := &View{
		OutOfService: map[fleet.FailureDomain]bool{},
		Desired:      map[string]DesiredVersion{},
	}
	for key, e := range s.items {
		v.Revision = max(v.Revision, e.revision)
		switch item := e.item.(type) {
		case *Config:
			v.Config = item
		case *Upstream:
			v.Upstreams = append(v.Upstreams, item)
		case OutOfService:
			v.OutOfService[item.Domain] = true
		case DesiredVersion:
			item.Revision = e.revision
			d := s.withPublication(now, key, item)
			d.Outages = s.outages
			// Two keys may name one model. The one that was written last counts.
			if known, ok := v.Desired[d.Model]; !ok || known.Revision <= d.Revision {
				v.Desired[d.Model] = d
			}
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	s.view = v
}

// withPublication returns a desired version with Published and Previous set. A version
// that is written again while it is desired keeps both.
func (s *State) withPublication(now time.Time, key string, d DesiredVersion) DesiredVersion {
	previous, ok := s.desired[key]
	if ok && previous.Version == d.Version {
		previous.Revision = d.Revision
		s.desired[key] = previous
		return previous
	}
	// A version in the first snapshot may have been published long before.
	if s.hasSnapshot {
		d.Published = At(now)
		if !s.absentUntil.IsZero() {
			d.Published = publishedBetween(s.absentUntil, now)
		}
	}
	if ok {
		last := PreviousVersion{Version: previous.Version, Revision: previous.Revision, Published: previous.Published}
		d.Previous = trimPrevious(now, append([]PreviousVersion{last}, previous.Previous...))
	}
	s.desired[key] = d
	return d
}

// CountSuspension makes all known versions older by a time for which the machine was
// suspended, which its steady clock did not count. It reports whether the view changed.
func (s *State) CountSuspension(now time.Time, suspended time.Duration) bool {
	if suspended == 0 || len(s.desired) == 0 {
		return false
	}
	s.outages = s.outages.earlier(suspended)
	for key, d := range s.desired {
		d.Published = d.Published.earlier(suspended)
		d.Previous = slices.Clone(d.Previous)
		for i := range d.Previous {
			d.Previous[i].Published = d.Previous[i].Published.earlier(suspended)
		}
		s.desired[key] = d
	}
	s.rebuild(now)
	return true
}

// TakeOlder returns how many changes were dropped since the last call because a newer
// one of their key is known.
func (s *State) TakeOlder() int {
	n := s.older
	s.older = 0
	return n
}

// Since returns the changes after a revision, including removals.
func (s *State) Since(now time.Time, revision Revision) Batch {
	b := Batch{Revision: s.revision, Ages: s.view.Ages(now)}
	for key, e := range s.items {
		if e.revision <= revision {
			continue
		}
		b.Changes = append(b.Changes, Change{Key: key, Revision: e.revision, Removed: e.item == nil, Item: e.item, Raw: e.raw})
	}
	return b
}

// maxRemovedKeys is the number of removed keys that are kept. A removed key is
// needed only while an older change of it can still arrive.
const maxRemovedKeys = 4096

// Trim drops the oldest removed keys if there are more than maxRemovedKeys.
func (s *State) Trim() {
	var removed []string
	for key, e := range s.items {
		if e.item == nil {
			removed = append(removed, key)
		}
	}
	if len(removed) <= maxRemovedKeys {
		return
	}
	slices.SortFunc(removed, func(a, b string) int { return cmp.Compare(s.items[a].revision, s.items[b].revision) })
	forgotten := map[string]bool{}
	for _, key := range removed[:len(removed)-maxRemovedKeys] {
		forgotten[key] = true
		if s.hasSnapshot {
			s.completeUpTo = max(s.completeUpTo, s.items[key].revision)
		}
	}
	maps.DeleteFunc(s.items, func(key string, _ entry) bool { return forgotten[key] })
}
