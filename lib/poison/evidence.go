package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxRecords is the number of crashes of which evidence is kept.
	MaxRecords = 256
	// maxSuspects is the number of suspects of one crash, which bounds the memory of the
	// evidence and the size of messages. commonSuspects of them are the same in each crash with
	// the same suspects.
	maxSuspects    = 32
	commonSuspects = maxSuspects / 2
	// maxDepth is the greatest depth of a suspect; deeper traits count as this deep.
	maxDepth = 255
	// timeTolerance is how much earlier a crash must turn out to be for its record
	// to be sent again. Transit times differ from message to message, so smaller
	// corrections would never end.
	timeTolerance = 50 * time.Millisecond
)

// crash is what one source says about a crash.
type crash struct {
	id       CrashID
	at       time.Time
	refuted  bool
	suspects []Suspect
}

// record is the join of all that is known about a crash.
type record struct {
	crash
	// announcedAt is the time of the crash at the last change of the record, and
	// changedAt the time of that change.
	announcedAt, changedAt time.Time
	// pending is the number of messages that the record still takes part in, and
	// sentIn the number of the last message that contained it.
	pending int
	sentIn  int64
	// explained is set if the crash counts against a convicted trait.
	explained bool
}

// evidence is a set of records that only grow, up to its bounds. Every event is
// joined into it, and joins are idempotent, commutative and associative.
type evidence struct {
	records map[CrashID]*record
	// open lists the records that count against a trait: those that are not
	// refuted and in which the trait is a suspect that was not cleared. They are in
	// the order of their times.
	open map[Trait][]*record
	// repeated holds the traits that several records count against.
	repeated map[Trait]struct{}
	// convicted holds the traits that were convicted when the evidence was last
	// judged.
	convicted map[Trait]struct{}
	// changed is set if the records changed since it was last unset.
	changed bool
	// revision counts the changes.
	revision uint64
	// messagesPerChange is the number of messages that contain a record after it
	// changed.
	messagesPerChange int
	// nextExpiry is the earliest time at which a record may expire.
	nextExpiry time.Time
	// joined is space for the suspects of one join.
	joined []Suspect
	// leftOut counts the suspects that were left out of crashes with too many.
	leftOut int64
}

func newEvidence() evidence {
	return evidence{
		records:   map[CrashID]*record{},
		open:      map[Trait][]*record{},
		repeated:  map[Trait]struct{}{},
		convicted: map[Trait]struct{}{},

		messagesPerChange: messagesPerChange,
	}
}

// counts reports whether a crash counts against a suspect of it.
func (c *crash) counts(s Suspect) bool { return !c.refuted && !s.Cleared }

// countsAgainst reports whether the crash counts against a trait.
func (c *crash) countsAgainst(t Trait) bool {
	s, found := c.suspect(t)
	return found && c.counts(s)
}

// suspect returns the suspect of a record, whose suspects are sorted by trait.
func (c *crash) suspect(t Trait) (Suspect, bool) {
	i, found := findSuspect(c.suspects, t)
	if !found {
		return Suspect{}, false
	}
	return c.suspects[i], true
}

// explains reports whether the crash counts against any trait.
func (c *crash) explains() bool {
	return !c.refuted && slices.ContainsFunc(c.suspects, func(s Suspect) bool { return !s.Cleared })
}

func findSuspect(sorted []Suspect, t Trait) (int, bool) {
	return slices.BinarySearchFunc(sorted, t, func(s Suspect, t Trait) int { return cmp.Compare(s.Trait, t) })
}

// join adds what a source says about a crash. It returns the record, which is nil if
// there is no space for it.
func (e *evidence) join(now time.Time, c crash) *record {
	r := e.records[c.id]
	if r == nil {
		c.suspects = e.joinSuspects(c.id, e.joined[:0], c.suspects)
		return e.insert(now, c)
	}
	e.joined = e.joinSuspects(c.id, append(e.joined[:0], r.suspects...), c.suspects)
	c.suspects = e.joined
	c.refuted = c.refuted || r.refuted
	grown := c.refuted != r.refuted || !slices.Equal(c.suspects, r.suspects)
	if grown {
		e.replace(r, c)
	}
	if c.at.Before(r.at) {
		r.at = c.at
		e.reorder(r)
	}
	if grown || r.announcedAt.Sub(r.at) > timeTolerance {
		e.announce(now, r)
	}
	return r
}

// joinSuspects joins two lists of suspects of a crash into the space of the first one.
// The result is sorted by trait and within the bound. One half of those that are kept is a
// sample that differs from crash to crash, so that no trait is left out of all of them. The
// other half is the same for the same suspects: if prompts have many parts in common that only
// they have, some of these are suspects in each crash and stand for the others.
func (e *evidence) joinSuspects(id CrashID, space, added []Suspect) []Suspect {
	space = append(space, added...)
	slices.SortFunc(space, compareTraits)
	joined := space[:0]
	for _, s := range space {
		last := len(joined) - 1
		if last < 0 || joined[last].Trait != s.Trait {
			joined = append(joined, s)
			continue
		}
		joined[last].Depth = max(joined[last].Depth, s.Depth)
		joined[last].Known = joined[last].Known || s.Known
		joined[last].Cleared = joined[last].Cleared || s.Cleared
		joined[last].Early = joined[last].Early || s.Early
	}
	if len(joined) <= maxSuspects {
		return joined
	}
	e.leftOut += int64(len(joined) - maxSuspects)
	slices.SortFunc(joined, func(a, b Suspect) int { return cmp.Or(compareLikely(a, b), compareTraits(a, b)) })
	slices.SortFunc(joined[commonSuspects:], func(a, b Suspect) int {
		return cmp.Or(compareLikely(a, b), cmp.Compare(sampleRank(id, a.Trait), sampleRank(id, b.Trait)))
	})
	joined = joined[:maxSuspects]
	slices.SortFunc(joined, compareTraits)
	return joined
}

// compareLikely orders the suspects that are more likely to be the cause first: those of which
// nothing is known, then those that were lost early.
func compareLikely(a, b Suspect) int {
	return cmp.Or(compareFlags(a.Known, b.Known), compareFlags(b.Early, a.Early))
}

func compareTraits(a, b Suspect) int { return cmp.Compare(a.Trait, b.Trait) }

// sampleRank orders the suspects of a crash that are equally likely. The order differs from
// crash to crash.
func sampleRank(id CrashID, t Trait) uint64 {
	// The finalizer of SplitMix64.
	x := uint64(id) ^ uint64(t)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// replace sets the suspects of a record and whether it is refuted.
func (e *evidence) replace(r *record, c crash) {
	old := r.crash
	r.suspects = slices.Clone(c.suspects)
	r.refuted = c.refuted
	e.updateIndex(r, &old)
	e.touch()
}

func (e *evidence) touch() {
	e.changed = true
	e.revision++
}

// updateIndex updates the index after a change of a record.
func (e *evidence) updateIndex(r *record, old *crash) {
	for _, s := range old.suspects {
		if old.counts(s) && !r.countsAgainst(s.Trait) {
			e.unindex(r, s.Trait)
		}
	}
	for _, s := range r.suspects {
		if r.counts(s) && !old.countsAgainst(s.Trait) {
			e.index(r, s.Trait)
		}
	}
}

func (e *evidence) index(r *record, t Trait) {
	list := e.open[t]
	at, _ := slices.BinarySearchFunc(list, r, compareTimes)
	list = slices.Insert(list, at, r)
	e.open[t] = list
	if len(list) > 1 {
		e.repeated[t] = struct{}{}
	}
}

// reorder updates the index after a change of the time of a record.
func (e *evidence) reorder(r *record) {
	e.touch()
	for _, s := range r.suspects {
		if r.counts(s) {
			slices.SortFunc(e.open[s.Trait], compareTimes)
		}
	}
}

func compareTimes(a, b *record) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) }

func (e *evidence) unindex(r *record, t Trait) {
	rest := slices.DeleteFunc(e.open[t], func(other *record) bool { return other == r })
	e.open[t] = rest
	if len(rest) < 2 {
		delete(e.repeated, t)
	}
	if len(rest) == 0 {
		delete(e.open, t)
	}
}

// insert adds a record. If there are too many, it drops the one that is worth least,
// which may be the added one.
func (e *evidence) insert(now time.Time, c crash) *record {
	if len(e.records) >= MaxRecords {
		worst := e.worst()
		if compareWorth(&record{crash: c, explained: e.convicts(&c)}, worst) < 0 {
			return nil
		}
		e.remove(worst)
	}
	r := &record{crash: crash{id: c.id, at: c.at}}
	e.announce(now, r)
	if len(e.records) == 0 {
		e.nextExpiry = now.Add(evidenceTTL)
	}
	e.records[c.id] = r
	e.replace(r, c)
	return r
}

func (e *evidence) worst() *record {
	var worst *record
	for _, r := range e.records {
		if worst == nil || compareWorth(r, worst) < 0 {
			worst = r
		}
	}
	return worst
}

// compareWorth orders crashes that count against no trait first, then those that no
// convicted trait explains, then the others, and older ones before newer ones. The
// loss of a failure domain adds hundreds of crashes that nothing explains.
func compareWorth(a, b *record) int {
	return cmp.Or(cmp.Compare(a.worth(), b.worth()), a.at.Compare(b.at), cmp.Compare(a.id, b.id))
}

func (r *record) worth() int {
	switch {
	case !r.explains():
		return 0
	case !r.explained:
		return 1
	default:
		return 2
	}
}

// convicts reports whether the crash counts against a convicted trait.
func (e *evidence) convicts(c *crash) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool {
		_, convicted := e.convicted[s.Trait]
		return convicted && c.counts(s)
	})
}

func (e *evidence) remove(r *record) {
	delete(e.records, r.id)
	old := r.crash
	r.suspects = nil
	e.updateIndex(r, &old)
	e.touch()
}

// clear records that an upstream survived a request with the trait, in all crashes
// known now.
func (e *evidence) clear(now time.Time, t Trait) {
	for _, r := range slices.Clone(e.open[t]) {
		e.join(now, crash{id: r.id, at: r.at, suspects: []Suspect{{Trait: t, Cleared: true}}})
	}
}

// expire drops the records that did not change for long.
func (e *evidence) expire(now time.Time) {
	if len(e.records) == 0 || !now.After(e.nextExpiry) {
		return
	}
	e.nextExpiry = now.Add(evidenceTTL)
	for _, r := range e.records {
		expiry := r.changedAt.Add(evidenceTTL)
		if now.After(expiry) {
			e.remove(r)
			continue
		}
		if expiry.Before(e.nextExpiry) {
			e.nextExpiry = expiry
		}
	}
}

// announce makes the record take part in the next messages.
func (e *evidence) announce(now time.Time, r *record) {
	r.changedAt = now
	r.announcedAt = r.at
	r.pending = e.messagesPerChange
}
