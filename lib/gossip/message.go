// Package gossip decides what processes exchange: which configuration they
// hold, which instances are members, which members watch the configuration
// service and which evidence there is about requests that crash upstreams. It does
// no I/O:
// its inputs are events and the time, its outputs are actions.
package gossip

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
)

// Version orders an instance's own records across all its starts.
type Version struct {
	// Incarnation is zero for an instance known only from the list.
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

// ListState is the state of an instance in the instance list.
type ListState uint8

// The states in the instance list. NeverListed means that no list has named the
// instance yet, which is normal while the list lags. Delisted means that the
// instance was removed from the list.
const (
	NeverListed ListState = iota
	ListedLive
	ListedLeaving
	Delisted
)

// Listing is the latest known state of an instance in the instance list.
type Listing struct {
	State    ListState
	Revision uint64
	// Incarnation is the start of the instance that the listing applies to. It
	// does not apply to later starts.
	Incarnation fleet.Incarnation
}

// less orders listings by revision. Within a revision the order is arbitrary,
// but it must be the same in all processes.
func (l Listing) less(o Listing) bool {
	if l.Revision != o.Revision {
		return l.Revision < o.Revision
	}
	if l.State != o.State {
		return l.State < o.State
	}
	return l.Incarnation < o.Incarnation
}

// Member is the record of an instance that processes exchange. It combines the
// instance's own state, ordered by Version, with its listing, ordered by
// revision. The two are merged separately, because the list lags behind the
// instance's own state.
type Member struct {
	fleet.Instance
	Version Version
	Listed  Listing
}

// knownFromListOnly reports whether the instance itself has sent no record yet.
func (m Member) knownFromListOnly() bool { return m.Version == Version{} }

// Removed reports whether the instance was delisted and has not started again
// since.
func (m Member) Removed() bool {
	return m.Listed.State == Delisted && m.Version.Incarnation <= m.Listed.Incarnation
}

// Effective returns the instance with its incarnation and the state that follows
// from its own state and its listing.
func (m Member) Effective() fleet.Instance {
	i := m.Instance
	i.Incarnation = m.Version.Incarnation
	if m.Listed.State == ListedLeaving && m.Version.Incarnation <= m.Listed.Incarnation {
		i.State = fleet.StateLeaving
	}
	return i
}

// Heartbeat is the message of every exchange, as a request and as an answer.
type Heartbeat struct {
	// From is the sender's own record.
	From Member
	// Stamp identifies the greatest configuration that the sender has accepted.
	Stamp config.Stamp
	// Starting is true until the start of the sender is complete. Until then its
	// answers do not complete the start of another process, since both may have
	// read a stale configuration service.
	Starting bool
	// ServiceReadAge is the age of the last successful read of the
	// configuration service that the sender knows of; negative if there is
	// none.
	ServiceReadAge time.Duration
	// Members are recent changes and records of buckets that differed.
	Members []Member
	// Crashes is evidence about crashes of upstreams.
	Crashes []poison.Report
	// Buckets are the hashes of the sender's member table, for the receiver to
	// compare; nil if no comparison is requested. Changes are sent a limited
	// number of times, and without the comparison a process that missed all of
	// them would never receive them.
	Buckets []uint32
}

// Action is an operation that the core requests from its process.
type Action interface{ action() }

// Send requests a heartbeat exchange with a member.
type Send struct {
	To      fleet.Instance
	Message Heartbeat
}

// Fetch requests a configuration document from the process at an address.
type Fetch struct {
	Address string
	Stamp   config.Stamp
}

// Read requests one read of the configuration service.
type Read struct{}

// Watch starts or stops watching the configuration service and the instance
// list.
type Watch struct{ On bool }

// Conflict reports two different documents published with the same generation.
type Conflict struct{ Accepted, Observed config.Stamp }

func (Send) action()     {}
func (Fetch) action()    {}
func (Read) action()     {}
func (Watch) action()    {}
func (Conflict) action() {}
