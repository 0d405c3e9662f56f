// Package timeline records typed events with a hybrid logical clock, so that
// the events of many processes sort cause before effect.
package timeline

import (
	"sort"
	"time"

	"rattanspur.example/lib/fleet"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Wall is the greatest wall clock time observed so far, in milliseconds since
	// the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders events within one millisecond.
	Logical uint32 `json:"logical"`
}

// Before reports whether s sorts before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// MaxAhead is how far a stamp from another process may be ahead of the local
// clock, so that one wrong clock cannot advance all others without limit.
const MaxAhead = time.Minute

// Clock is a hybrid logical clock. It is owned by one duty.
type Clock struct{ last Stamp }

// Now returns a stamp that sorts after all stamps returned or observed before.
func (c *Clock) Now(wall time.Time) Stamp {
	ms := wall.UnixMilli()
	if ms > c.last.Wall {
		c.last = Stamp{Wall: ms}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock to a stamp received from another process. It
// ignores stamps that are more than MaxAhead ahead of the local clock.
func (c *Clock) Observe(s Stamp, wall time.Time) {
	if s.Wall > wall.Add(MaxAhead).UnixMilli() {
		return
	}
	if c.last.Before(s) {
		c.last = s
	}
}

// Kind is the kind of an event.
type Kind string

// The kinds of event.
const (
	ProcessStarted  Kind = "process_started"
	ProcessLeaving  Kind = "process_leaving"
	ConfigAdopted   Kind = "config_adopted"
	ConfigRejected  Kind = "config_rejected"
	ConfigConflict  Kind = "config_conflict"
	TransferStarted Kind = "transfer_started"
	TransferDone    Kind = "transfer_done"
	TransferEnded   Kind = "transfer_ended"
	ChunkCorrupt    Kind = "chunk_corrupt"
	EngineOrdered   Kind = "engine_ordered"
	EngineServing   Kind = "engine_serving"
	EngineCold      Kind = "engine_cold"
	RequestRouted   Kind = "request_routed"
	RequestRan      Kind = "request_ran"
	RequestRefused  Kind = "request_refused"
	RequestUnknown  Kind = "request_unknown"
	RequestBlocked  Kind = "request_blocked"
)

// Event records one thing that happened at one process.
type Event struct {
	Stamp         Stamp               `json:"stamp"`
	Instance      fleet.InstanceID    `json:"instance"`
	FailureDomain fleet.FailureDomain `json:"failure_domain,omitempty"`
	Kind          Kind                `json:"kind"`
	Request       string              `json:"request,omitempty"`
	Profile       fleet.ProfileName   `json:"profile,omitempty"`
	Generation    fleet.Generation    `json:"generation,omitempty"`
	// Peer is the other instance involved, if any.
	Peer   fleet.InstanceID `json:"peer,omitempty"`
	Detail string           `json:"detail,omitempty"`
}

// Log keeps the newest events of one process. It is owned by one duty.
type Log struct {
	events  []Event
	next    int
	full    bool
	dropped uint64
}

// NewLog returns a log that keeps the newest capacity events.
func NewLog(capacity int) *Log { return &Log{events: make([]Event, capacity)} }

// Append adds an event and discards the oldest one if the log is full.
func (l *Log) Append(e Event) {
	if l.full {
		l.dropped++
	}
	l.events[l.next] = e
	l.next++
	if l.next == len(l.events) {
		l.next = 0
		l.full = true
	}
}

// Events returns the kept events, oldest first.
func (l *Log) Events() []Event {
	if !l.full {
		return append([]Event(nil), l.events[:l.next]...)
	}
	out := append([]Event(nil), l.events[l.next:]...)
	return append(out, l.events[:l.next]...)
}

// Dropped returns how many events were discarded.
func (l *Log) Dropped() uint64 { return l.dropped }

// Merge returns the events of several processes in the order of their stamps.
func Merge(logs ...[]Event) []Event {
	var all []Event
	for _, events := range logs {
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp != all[j].Stamp {
			return all[i].Stamp.Before(all[j].Stamp)
		}
		return all[i].Instance < all[j].Instance
	})
	return all
}
