// Package gossip decides what processes tell each other: which configuration
// they hold, who is a member, who watches the configuration service and which
// requests are suspected of crashing engines. It is pure: events and the time
// go in, actions come out.
package gossip

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// Version orders what one instance says of itself over all its starts.
type Version struct {
	// Incarnation is zero for an instance known from the list only.
	Incarnation fleet.Incarnation
	Sequence    uint64
}

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation < o.Incarnation
	}
	return v.Sequence < o.Sequence
}

// ListState is what the instance list says of an instance.
type ListState uint8

// The states in the instance list. Unlisted means that no list named the
// instance yet, which is normal while the list lags; Absent means that it was
// taken off the list.
const (
	Unlisted ListState = iota
	ListedLive
	ListedLeaving
	Absent
)

// Listing is the newest statement of the instance list on an instance.
type Listing struct {
	State    ListState
	Revision uint64
	// Incarnation is the start of the process that the statement was applied
	// to. A later start of the same instance is not bound by it.
	Incarnation fleet.Incarnation
}

// less orders statements: the later revision counts. Within a revision the
// order only has to be the same everywhere.
func (l Listing) less(o Listing) bool {
	if l.Revision != o.Revision {
		return l.Revision < o.Revision
	}
	if l.State != o.State {
		return l.State < o.State
	}
	return l.Incarnation < o.Incarnation
}

// Member is what processes tell each other of an instance: its own statement
// with a version, and the list's statement with a revision. The two are merged
// separately, because the list lags behind what an instance says itself.
type Member struct {
	fleet.Instance
	Version Version
	Listed  Listing
}

// fromList reports whether the instance has said nothing of itself yet.
func (m Member) fromList() bool { return m.Version == Version{} }

// Gone reports whether the list took the instance off and it has not started again.
func (m Member) Gone() bool {
	return m.Listed.State == Absent && m.Version.Incarnation <= m.Listed.Incarnation
}

// Effective returns the instance with the state that follows from both statements.
func (m Member) Effective() fleet.Instance {
	i := m.Instance
	if m.Listed.State == ListedLeaving && m.Version.Incarnation <= m.Listed.Incarnation {
		i.State = fleet.StateLeaving
	}
	return i
}

// Suspect is the content of a request that was in flight when engines crashed.
// Counts are kept by reporter and merged by maximum, so that a report that
// arrives on several ways counts once.
type Suspect struct {
	Fingerprint string
	// Epoch grows with each success of the request; reports of earlier epochs
	// no longer count.
	Epoch   uint32
	Reports []Report
	// Last is the time of the newest report or success.
	Last time.Time
}

// Report counts the crashes that one start of an agent has seen.
type Report struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Count       uint32
}

// Heartbeat is the message of every exchange; the answer has the same type.
type Heartbeat struct {
	// From is the sender's own record.
	From Member
	// Stamp is the greatest configuration that the sender holds.
	Stamp config.Stamp
	// Starting says that the sender has not heard from a running peer yet. Its
	// answer does not end the start of another process, since both may have
	// read a stale configuration service.
	Starting bool
	// Fresh is the age of the last successful read of the configuration
	// service that the sender knows of; negative if it knows of none.
	Fresh time.Duration
	// Members are recent changes and records of buckets that differed.
	Members  []Member
	Suspects []Suspect
	// Buckets are the hashes of the sender's member table, for the receiver to
	// compare; nil if it need not. Without the comparison, a change that was
	// passed on often enough never reaches a process that missed it.
	Buckets []uint32
	// SuspectsHash is the hash of the sender's suspects; it counts if there are buckets.
	SuspectsHash uint32
}

// Action is something that the core asks its process to do.
type Action interface{ action() }

// Send asks for a heartbeat exchange with a member.
type Send struct {
	To      fleet.Instance
	Message Heartbeat
}

// Fetch asks for a configuration document from the process at an address.
type Fetch struct {
	Address string
	Stamp   config.Stamp
}

// Read asks for one read of the configuration service.
type Read struct{}

// Watch starts or ends watching the configuration service and the instance list.
type Watch struct{ On bool }

// Conflict reports two contents published with the same generation.
type Conflict struct{ Held, Heard config.Stamp }

func (Send) action()     {}
func (Fetch) action()    {}
func (Read) action()     {}
func (Watch) action()    {}
func (Conflict) action() {}
