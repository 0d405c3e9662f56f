package published

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

// LapseGrace is how long an upstream that is missing after the store was away
// is still taken to run: registrations that expired meanwhile are renewed
// within about two seconds of the store's return.
const LapseGrace = 2 * time.Second

// Change is one item as it was published, or its removal.
type Change struct {
	// Key identifies the item; a later change of a key replaces an earlier one.
	Key      string
	Revision uint64
	// Removed says that the item exists no longer, or that its content names
	// nothing that can be used.
	Removed bool
	// Item is a *Config, *Upstream, Wanted or OutOfService; nil if Removed.
	Item any
	// Raw is the content as published, for passing it on.
	Raw []byte
	// Age is how long a peer has known a Wanted; 0 if that is not known.
	Age time.Duration
}

// Batch is a set of changes up to a revision. Findings say which items could
// not be read.
type Batch struct {
	Changes  []Change
	Revision uint64
	Findings []error
}

// ErrCompacted says that a source no longer has the history that was asked
// for; a snapshot must be read.
var ErrCompacted = errors.New("history that was asked for was discarded")

// OutOfService says that operators took a failure domain out of service.
type OutOfService struct{ Domain fleet.FailureDomain }

type held struct {
	revision uint64
	item     any
	raw      []byte
	// lapses is when an item that a snapshot lacked is dropped; zero if it was
	// present.
	lapses time.Time
}

// State accumulates changes to a view. It is owned by one duty. Each key keeps
// its change with the greatest revision, so that the order in which changes
// arrive, and the process they come from, do not matter.
type State struct {
	revision uint64
	items    map[string]held
	learned  map[string]Wanted
	view     *View
	// informed says that a snapshot was taken in.
	informed bool
	// complete is the revision up to which every key that exists is held: a
	// change up to it of any other key was undone since.
	complete uint64
}

// NewState returns a state without items.
func NewState() *State {
	return &State{items: map[string]held{}, learned: map[string]Wanted{}, view: &View{}}
}

// View returns the present view.
func (s *State) View() *View { return s.view }

// Apply takes in changes up to a revision. It reports whether the view changed.
func (s *State) Apply(now time.Time, changes []Change, revision uint64) bool {
	changed := false
	for i := range changes {
		changed = s.hear(&changes[i]) || changed
		changed = s.recall(now, &changes[i]) || changed
	}
	s.revision = max(s.revision, revision)
	if changed {
		s.rebuild(now)
	}
	return changed
}

// Replace takes in a snapshot. Items that it lacks are removed: upstreams after
// LapseGrace, because registrations lapse while the store is away, everything
// else at once. It reports whether the view changed.
func (s *State) Replace(now time.Time, snapshot []Change, revision uint64) bool {
	present := make(map[string]bool, len(snapshot))
	changed := false
	for i := range snapshot {
		present[snapshot[i].Key] = true
		changed = s.put(&snapshot[i]) || changed
	}
	for key, h := range s.items {
		if present[key] || h.item == nil || h.revision > revision {
			continue
		}
		if _, ok := h.item.(*Upstream); !ok {
			s.items[key] = held{revision: h.revision}
			changed = true
		} else if h.lapses.IsZero() {
			h.lapses = now.Add(LapseGrace)
			s.items[key] = h
		}
	}
	s.revision = max(s.revision, revision)
	s.complete = max(s.complete, revision)
	if changed {
		s.rebuild(now)
	}
	s.informed = true
	return changed
}

// Expire removes upstreams whose grace is over. It reports whether the view
// changed.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for key, h := range s.items {
		if h.lapses.IsZero() || now.Before(h.lapses) {
			continue
		}
		s.items[key] = held{revision: h.revision}
		changed = true
	}
	if changed {
		s.rebuild(now)
	}
	return changed
}

// hear puts a change that any process may have passed on. Peers may be behind:
// what a snapshot lacked does not come back on their word.
func (s *State) hear(c *Change) bool {
	old, known := s.items[c.Key]
	if known && c.Revision <= old.revision || !known && c.Revision <= s.complete {
		return false
	}
	return s.put(c)
}

// put keeps a change that is newer than what is held of its key.
func (s *State) put(c *Change) bool {
	old, known := s.items[c.Key]
	if known && old.lapses.IsZero() && c.Revision <= old.revision {
		return false
	}
	next := held{revision: max(c.Revision, old.revision)}
	if !c.Removed {
		next.item, next.raw = c.Item, c.Raw
	}
	s.items[c.Key] = next
	return c.Revision != old.revision || !known
}

func (s *State) rebuild(now time.Time) {
	v := &View{
		Out:    map[fleet.FailureDomain]bool{},
		Wanted: map[string]Wanted{},
	}
	for key, h := range s.items {
		v.Revision = max(v.Revision, h.revision)
		switch item := h.item.(type) {
		case *Config:
			v.Config = item
		case *Upstream:
			v.Upstreams = append(v.Upstreams, item)
		case OutOfService:
			v.Out[item.Domain] = true
		case Wanted:
			v.Wanted[item.Model] = s.learn(now, key, item)
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	s.view = v
}

// learn returns a wanted version with the time at which it was first seen and
// those that were wanted before.
func (s *State) learn(now time.Time, key string, w Wanted) Wanted {
	known, ok := s.learned[key]
	if ok && known.Version == w.Version {
		return known
	}
	// What the first snapshot names may have been named long before.
	if s.informed {
		w.Learned = now
	}
	if ok {
		earlier := append([]Named{{Version: known.Version, Learned: known.Learned}}, known.Earlier...)
		w.Earlier = earlier[:min(len(earlier), maxEarlier)]
	}
	s.learned[key] = w
	return w
}

// maxEarlier bounds the versions that are remembered for a model.
const maxEarlier = 8

// recall takes in since when a peer has known a wanted version. A process that
// started later does not know, and must assume the worst until it hears.
func (s *State) recall(now time.Time, c *Change) bool {
	w, ok := c.Item.(Wanted)
	known, learned := s.learned[c.Key]
	if !ok || c.Age <= 0 || (learned && (known.Version != w.Version || !known.Learned.IsZero())) {
		return false
	}
	w.Learned = now.Add(-c.Age)
	s.learned[c.Key] = w
	return true
}

// Since returns the changes after a revision, removals included.
func (s *State) Since(now time.Time, revision uint64) Batch {
	b := Batch{Revision: s.revision}
	for key, h := range s.items {
		if h.revision <= revision {
			continue
		}
		c := Change{Key: key, Revision: h.revision, Removed: h.item == nil, Item: h.item, Raw: h.raw}
		if w := s.learned[key]; h.item != nil && !w.Learned.IsZero() {
			c.Age = now.Sub(w.Learned)
		}
		b.Changes = append(b.Changes, c)
	}
	return b
}

// maxRemoved bounds the removed keys that are remembered. A removed key must
// be remembered only while an older change of it can still arrive.
const maxRemoved = 4096

// Trim forgets removed keys if too many are remembered, the oldest first.
func (s *State) Trim() {
	var removed []string
	for key, h := range s.items {
		if h.item == nil {
			removed = append(removed, key)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, func(a, b string) int { return cmp.Compare(s.items[a].revision, s.items[b].revision) })
	gone := map[string]bool{}
	for _, key := range removed[:len(removed)-maxRemoved] {
		gone[key] = true
		if s.informed {
			s.complete = max(s.complete, s.items[key].revision)
		}
	}
	maps.DeleteFunc(s.items, func(key string, _ held) bool { return gone[key] })
}
