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
	// MaxMembers bounds the table; the expected size is 5,060.
	MaxMembers = 16384
	// BucketCount keeps a bucket at about 20 records at the expected size, so
	// that a difference costs one message.
	BucketCount = 256
	// maxQueue bounds the changes waiting to be passed on; the comparison of
	// buckets delivers what did not fit.
	maxQueue = 512
	// goneKept is how long a record taken off the list is remembered, so that
	// a process that missed it doesn't bring it back.
	goneKept = 10 * time.Minute
	// absentAfter is how long an instance must be missing from the list if
	// this process did not see it listed before.
	absentAfter = 10 * time.Second
	// unlistedAfter is how long an instance that no list ever named stays a
	// member; it exceeds the lag of the list.
	unlistedAfter = 2 * time.Minute
)

// Table merges what the instance list and other processes say of the members.
// The process's own record is part of it.
type Table struct {
	self    fleet.InstanceID
	records map[fleet.InstanceID]Member
	buckets [BucketCount]uint32
	// queue holds how often a change is still to be passed on.
	queue  map[fleet.InstanceID]int
	goneAt map[fleet.InstanceID]time.Time

	listed   map[fleet.InstanceID]bool
	absent   map[fleet.InstanceID]time.Time
	revision uint64

	// changes counts the changes of records that others can see.
	changes uint64
	// touched are the members whose records changed since the index was built.
	touched map[fleet.InstanceID]struct{}
	index   index
}

// NewTable returns a table that holds only the process itself.
func NewTable(self fleet.Instance, incarnation fleet.Incarnation) *Table {
	t := &Table{
		self:    self.ID,
		records: map[fleet.InstanceID]Member{},
		queue:   map[fleet.InstanceID]int{},
		goneAt:  map[fleet.InstanceID]time.Time{},
		absent:  map[fleet.InstanceID]time.Time{},
		touched: map[fleet.InstanceID]struct{}{},
	}
	t.put(Member{Instance: self, Version: Version{Incarnation: incarnation, Sequence: 1}}, time.Time{})
	t.rebuild()
	return t
}

// Self returns the process's own record.
func (t *Table) Self() Member { return t.records[t.self] }

// Restate changes the process's own record and gives it the next version.
func (t *Table) Restate(now time.Time, change func(*fleet.Instance)) {
	m := t.Self()
	change(&m.Instance)
	m.Version.Sequence++
	t.put(m, now)
}

// Merge takes in a record. It reports whether anything changed and whether the
// member has newly become leaving, which others should learn at once.
func (t *Table) Merge(m Member, now time.Time) (changed, urgent bool) {
	if m.ID == "" {
		return false, false
	}
	if m.ID == t.self {
		return t.mergeSelf(m, now), false
	}
	old, known := t.records[m.ID]
	if !known && (m.Gone() || !t.room(now)) {
		return false, false
	}
	next := m
	if known {
		next = combine(old, m)
	}
	if known && digest(next) == digest(old) {
		t.records[m.ID] = next
		if next.Instance != old.Instance {
			t.touch(m.ID)
		}
		return false, false
	}
	t.put(next, now)
	leaving := next.Effective().State == fleet.StateLeaving
	return true, known && leaving && old.Effective().State != fleet.StateLeaving
}

// combine merges the two statements of a record separately. It is commutative,
// associative and idempotent.
func combine(a, b Member) Member {
	next := a
	switch {
	case a.Version.Less(b.Version):
		next.Instance, next.Version = b.Instance, b.Version
	case a.fromList() && b.fromList() && a.Listed.Revision < b.Listed.Revision:
		next.Instance = b.Instance
	}
	if a.Listed.less(b.Listed) {
		next.Listed = b.Listed
	}
	return next
}

// mergeSelf answers records of this instance that another start of it or the
// list left behind. Only the running process itself can tell that it is alive.
func (t *Table) mergeSelf(m Member, now time.Time) bool {
	self := t.Self()
	next := self
	if next.Listed.less(m.Listed) {
		next.Listed = m.Listed
	}
	switch {
	case self.Version.Less(m.Version):
		next.Version = Version{Incarnation: m.Version.Incarnation + 1, Sequence: 1}
	case next.Gone():
		next.Version = Version{Incarnation: next.Listed.Incarnation + 1, Sequence: 1}
	}
	if digest(next) == digest(self) {
		t.records[m.ID] = next
		return false
	}
	t.put(next, now)
	return true
}

// room reports whether another record fits.
func (t *Table) room(now time.Time) bool {
	if len(t.records) >= MaxMembers {
		t.purge(now, 0)
	}
	return len(t.records) < MaxMembers
}

// Purge forgets records that have been off the list for long enough.
func (t *Table) Purge(now time.Time) { t.purge(now, goneKept) }

func (t *Table) purge(now time.Time, kept time.Duration) {
	for id, at := range t.goneAt {
		if now.Sub(at) >= kept {
			delete(t.goneAt, id)
			delete(t.records, id)
			delete(t.queue, id)
			delete(t.absent, id)
		}
	}
}

func (t *Table) put(m Member, now time.Time) {
	if old, known := t.records[m.ID]; known && !old.Gone() {
		t.buckets[bucketOf(m.ID)] ^= digest(old)
	}
	t.records[m.ID] = m
	if m.Gone() {
		t.goneAt[m.ID] = now
	} else {
		t.buckets[bucketOf(m.ID)] ^= digest(m)
		delete(t.goneAt, m.ID)
	}
	t.touch(m.ID)
	if _, queued := t.queue[m.ID]; queued || len(t.queue) < maxQueue {
		t.queue[m.ID] = t.transmissions()
	}
}

func (t *Table) touch(id fleet.InstanceID) {
	t.touched[id] = struct{}{}
	t.changes++
}

// transmissions is how often a change is passed on by each process. Exchanges
// in both directions reach nearly all members with fewer than log2(n) messages
// each, and the comparison of buckets reaches the others.
func (t *Table) transmissions() int { return 2 + bits.Len(uint(len(t.records)))/2 }

// Updates returns at most limit changes and counts them as passed on: members
// that leave first, then those passed on least often.
func (t *Table) Updates(limit int) []Member {
	ids := make([]fleet.InstanceID, 0, len(t.queue))
	for id := range t.queue {
		if id != t.self {
			ids = append(ids, id)
		}
	}
	leaves := func(id fleet.InstanceID) bool {
		m := t.records[id]
		return m.Gone() || m.Effective().State == fleet.StateLeaving
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
// among them records taken off the list. The offset rotates the records, so
// that repeated calls return all of them.
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

// Forget drops the queue of changes. It is used after the whole table was read
// from a peer, which has passed the changes on already.
func (t *Table) Forget() { clear(t.queue) }

func bucketOf(id fleet.InstanceID) uint8 { return uint8(xxhash.Sum64String(string(id))) }

// digest identifies the parts of a record that all processes agree on in the
// end. The list's revision is left out: a later list that says the same changes nothing.
func digest(m Member) uint32 {
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
