package gossip

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanspur.example/lib/fleet"
)

const (
	// MaxMembers limits the table; the expected size is 5,060.
	MaxMembers = 16384
	// BucketCount gives about 20 records per bucket at the expected size, so
	// that a few messages of maxBucketRecords each resolve a difference.
	BucketCount = 256
	// maxQueue limits the changes queued for transmission; the comparison of
	// buckets delivers the others.
	maxQueue = 512
	// removedRetention is how long a removed record is kept, so that a process
	// that missed the removal does not add it again.
	removedRetention = 10 * time.Minute
	// delistAfter is how long an instance must be missing from the list before
	// it is delisted, unless this process saw it in the previous list.
	delistAfter = 10 * time.Second
	// neverListedTTL is how long an instance stays a member that no list has
	// named, or none since it was delisted; it exceeds the lag of the list.
	neverListedTTL = 2 * time.Minute
)

// Table merges the instance list with the records received from other
// processes. It includes the process's own record.
type Table struct {
	self    fleet.InstanceID
	records map[fleet.InstanceID]Member
	buckets [BucketCount]uint32
	// queue holds the number of remaining transmissions of each change.
	queue     map[fleet.InstanceID]int
	removedAt map[fleet.InstanceID]time.Time

	// listed holds the instances in the last list, which has this revision.
	// missingSince is when a member was first missing from the list.
	listed       map[fleet.InstanceID]bool
	missingSince map[fleet.InstanceID]time.Time
	revision     uint64
	// revisionOffset is added to the revisions of the list, which go back if its service
	// is restored from a copy. behindSince is since when all lists that were read are
	// older than the last one that was applied; zero if that is not so.
	revisionOffset uint64
	behindSince    time.Time

	// changes counts the changes of records that are visible outside the table.
	changes uint64
	// dirty holds the members whose records changed since the index was built.
	dirty map[fleet.InstanceID]struct{}
	index index
}

// NewTable returns a table that holds only the process itself.
func NewTable(self fleet.Instance, incarnation fleet.Incarnation) *Table {
	t := &Table{
		self:         self.ID,
		records:      map[fleet.InstanceID]Member{},
		queue:        map[fleet.InstanceID]int{},
		removedAt:    map[fleet.InstanceID]time.Time{},
		missingSince: map[fleet.InstanceID]time.Time{},
		dirty:        map[fleet.InstanceID]struct{}{},
	}
	t.put(Member{Instance: self, Version: Version{Incarnation: incarnation, Sequence: 1}}, time.Time{})
	t.rebuild()
	return t
}

// Self returns the process's own record.
func (t *Table) Self() Member { return t.records[t.self] }

// UpdateSelf changes the process's own record and increments its version.
func (t *Table) UpdateSelf(now time.Time, change func(*fleet.Instance)) {
	m := t.Self()
	change(&m.Instance)
	m.Version.Sequence++
	t.put(m, now)
}

// Merge applies a record. It reports whether anything changed, and whether the
// member has just started leaving, which is urgent for other processes.
func (t *Table) Merge(m Member, now time.Time) (changed, urgent bool) {
	if m.ID == "" {
		return false, false
	}
	if m.ID == t.self {
		return t.mergeSelf(m, now), false
	}
	old, known := t.records[m.ID]
	if !known && (m.Removed() || !t.hasCapacity(now)) {
		return false, false
	}
	next := m
	if known {
		next = combineMembers(old, m)
	}
	if known && recordHash(next) == recordHash(old) {
		t.records[m.ID] = next
		if next.Instance != old.Instance {
			t.markDirty(m.ID)
		}
		return false, false
	}
	t.put(next, now)
	leaving := next.Effective().State == fleet.StateLeaving
	return true, known && leaving && old.Effective().State != fleet.StateLeaving
}

// combineMembers merges the own state and the listing of a record separately.
// It is commutative, associative and idempotent.
func combineMembers(a, b Member) Member {
	next := a
	switch {
	case a.Version.Less(b.Version):
		next.Instance, next.Version = b.Instance, b.Version
	case a.knownFromListOnly() && b.knownFromListOnly() && a.Listed.Revision < b.Listed.Revision:
		next.Instance = b.Instance
	}
	if a.Listed.less(b.Listed) {
		next.Listed = b.Listed
	}
	return next
}

// mergeSelf overrides records of this instance that are left from another start
// or from the list. Only the running process itself knows that it is alive.
func (t *Table) mergeSelf(m Member, now time.Time) bool {
	self := t.Self()
	next := self
	if next.Listed.less(m.Listed) {
		next.Listed = m.Listed
	}
	switch {
	case self.Version.Less(m.Version):
		next.Version = Version{Incarnation: m.Version.Incarnation + 1, Sequence: 1}
	case next.Removed():
		next.Version = Version{Incarnation: next.Listed.Incarnation + 1, Sequence: 1}
	}
	if recordHash(next) == recordHash(self) {
		t.records[m.ID] = next
		return false
	}
	t.put(next, now)
	return true
}

// hasCapacity reports whether another record fits.
func (t *Table) hasCapacity(now time.Time) bool {
	if len(t.records) >= MaxMembers {
		t.purge(now, 0)
	}
	return len(t.records) < MaxMembers
}

// Purge deletes records whose retention after removal has ended.
func (t *Table) Purge(now time.Time) { t.purge(now, removedRetention) }

func (t *Table) purge(now time.Time, retention time.Duration) {
	for id, at := range t.removedAt {
		if now.Sub(at) >= retention {
			delete(t.removedAt, id)
			delete(t.records, id)
			delete(t.queue, id)
			delete(t.missingSince, id)
		}
	}
}

func (t *Table) put(m Member, now time.Time) {
	if old, known := t.records[m.ID]; known && !old.Removed() {
		t.buckets[bucketOf(m.ID)] ^= recordHash(old)
	}
	t.records[m.ID] = m
	if m.Removed() {
		t.removedAt[m.ID] = now
	} else {
		t.buckets[bucketOf(m.ID)] ^= recordHash(m)
		delete(t.removedAt, m.ID)
	}
	t.markDirty(m.ID)
	if _, queued := t.queue[m.ID]; queued || len(t.queue) < maxQueue {
		t.queue[m.ID] = t.transmissions()
	}
}

func (t *Table) markDirty(id fleet.InstanceID) {
	t.dirty[id] = struct{}{}
	t.changes++
}

// transmissions returns the number of times that each process sends a change.
// With exchanges in both directions, fewer than log2(n) messages each reach
// nearly all members; the comparison of buckets reaches the others.
func (t *Table) transmissions() int { return 2 + bits.Len(uint(len(t.records)))/2 }

// Updates returns at most limit queued changes and counts one transmission of
// each. Leaving and removed members come first, then the changes sent least
// often.
func (t *Table) Updates(limit int) []Member {
	ids := make([]fleet.InstanceID, 0, len(t.queue))
	for id := range t.queue {
		if id != t.self {
			ids = append(ids, id)
		}
	}
	leaves := func(id fleet.InstanceID) bool {
		m := t.records[id]
		return m.Removed() || m.Effective().State == fleet.StateLeaving
	}
	sort.Slice(ids, func(i, j int) bool {
		if first := leaves(ids[i]); first != leaves(ids[j]) {
			return first
		}
		if t.queue[ids[i]] != t.queue[ids[j]] {
			return t.queue[ids[i]] > t.queue[ids[j]]
		}
		return ids[i] < ids[j]
	})
	ids = ids[:min(len(ids), limit)]
	updates := make([]Member, 0, len(ids))
	for _, id := range ids {
		updates = append(updates, t.records[id])
		if t.queue[id]--; t.queue[id] <= 0 {
			delete(t.queue, id)
		}
	}
	return updates
}

// Hashes returns the hash of each bucket. Equal tables have equal hashes.
func (t *Table) Hashes() []uint32 { return append([]uint32(nil), t.buckets[:]...) }

// Differing returns at most limit records of the buckets whose hashes differ,
// including removed ones. The offset selects the first record, so that calls
// with different offsets cover all of them.
func (t *Table) Differing(hashes []uint32, limit, offset int) []Member {
	if len(hashes) != BucketCount || slices.Equal(hashes, t.buckets[:]) {
		return nil
	}
	var list []Member
	for id, m := range t.records {
		if b := bucketOf(id); t.buckets[b] != hashes[b] && id != t.self {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	first := offset % len(list)
	list = slices.Concat(list[first:], list[:first])
	return list[:min(len(list), limit)]
}

// All returns every record, for a process that is starting.
func (t *Table) All() []Member {
	list := make([]Member, 0, len(t.records))
	for _, m := range t.records {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// ClearQueue drops the queued changes. It is used after reading the whole table
// from a peer, which has propagated the changes already.
func (t *Table) ClearQueue() { clear(t.queue) }

func bucketOf(id fleet.InstanceID) uint8 { return uint8(xxhash.Sum64String(string(id))) }

// recordHash hashes the parts of a record on which all processes converge. It
// leaves out the list's revision, so that a later list with the same contents
// changes nothing.
func recordHash(m Member) uint32 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(m.ID))
	var b [25]byte
	binary.LittleEndian.PutUint64(b[:], uint64(m.Version.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], m.Version.Sequence)
	if m.Listed.State > ListedLive {
		binary.LittleEndian.PutUint64(b[16:], uint64(m.Listed.Incarnation))
		b[24] = byte(m.Listed.State)
	}
	_, _ = h.Write(b[:])
	return uint32(h.Sum64())
}
