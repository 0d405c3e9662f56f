// Package transfer decides which chunk an agent requests from which source.
//
// The core is pure: the caller passes in events with the current time and
// carries out the returned actions. The core reads no clock and does no I/O.
//
// In each region a few agents, the fetchers, fetch chunks that the region lacks,
// and all agents of the region exchange chunks with each other. The fetchers of
// the origin region use the store and the origin; those of other regions use
// fetchers of other regions. An agent learns which chunks a peer holds, its
// have-set, by queries to the peers that it follows.
package transfer

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// Limits bound the work of one transfer.
type Limits struct {
	// FollowedPeers is the number of peers of the region whose have-sets are
	// queried. With 0 every chunk is fetched from the store and the origin.
	FollowedPeers int
	// Fetchers is the largest number of agents of a region that fetch for it.
	Fetchers int
	// MaxFetches is the largest number of requests in flight of one fetcher for
	// chunks that its region lacks.
	MaxFetches int
	// MaxInFlightPerPeer is the largest number of requests in flight to one peer.
	MaxInFlightPerPeer int
	// MaxInFlight is the largest number of requests in flight in total.
	MaxInFlight int
	// TakeoverDelay is the time without progress of a fetcher after which the
	// next one in rank fetches its chunks. It is extended on slow links.
	TakeoverDelay time.Duration
	// OverdueDelay is the time after which a chunk that was requested from a peer is
	// requested from another one as well, if no other chunk is left to request. It is
	// extended on slow links; with 0 a request is never repeated before it ends.
	OverdueDelay time.Duration
	// StallTimeout is the time without progress after which a request ends.
	StallTimeout time.Duration
	// HaveInterval is the time between two have-set queries to a peer while
	// there are free request slots but no chunk is known to request.
	HaveInterval time.Duration
	// HaveBusyInterval is that time while all request slots are in use.
	HaveBusyInterval time.Duration
	// MaxHaveWait bounds how long fetchers wait for the first have-sets.
	MaxHaveWait time.Duration
	// Copies is the number of agents of a region that retain each chunk.
	Copies int
}

// SourceKind distinguishes peers, the store and the origin.
type SourceKind uint8

// The kinds of source.
const (
	FromPeer SourceKind = iota
	FromStore
	FromOrigin
)

// Source is a place that a chunk can be requested from.
type Source struct {
	Kind SourceKind
	// Peer is set for FromPeer.
	Peer fleet.InstanceID
}

// Peer is another agent that needs or holds the same root.
type Peer struct {
	ID     fleet.InstanceID
	Region fleet.Region
	// Seeder is set if the peer's link has much more bandwidth than those of the
	// others. In a region with seeders, only they fetch and send.
	Seeder bool
}

// Event is an input of the core.
type Event interface{ event() }

// PeersChanged replaces the list of agents that need or hold the root.
type PeersChanged struct{ Peers []Peer }

// HaveUpdate is a peer's answer to a have-set query.
type HaveUpdate struct {
	// Epoch changes when chunks were dropped; Seq counts additions in an epoch.
	Epoch uint64
	Seq   int
	// Full is set if Have replaces the known set; otherwise Added extends it.
	Full  bool
	Have  Set
	Added []int
	// Retaining is set if the peer completed the root and kept only its share.
	Retaining bool
}

// HaveReceived carries a peer's have-set.
type HaveReceived struct {
	Peer   fleet.InstanceID
	Update HaveUpdate
}

// HaveFailed reports that a have-set query to a peer failed.
type HaveFailed struct {
	Peer fleet.InstanceID
	// Absent is set if the peer answered that it does not know the root yet.
	Absent bool
}

// Outcome is the result of a request for a chunk.
type Outcome uint8

// The outcomes of a request.
const (
	// Verified means that the bytes match the chunk's digest.
	Verified Outcome = iota
	// Corrupt means that the bytes do not match the chunk's digest.
	Corrupt
	// Busy means that the source refused the request for now.
	Busy
	// Failed means an error or a stall.
	Failed
	// Absent means that the source does not hold the chunk.
	Absent
	// Changed means that the content of the source changed during the transfer.
	Changed
)

// ChunkEnded reports the end of a request for a chunk.
type ChunkEnded struct {
	Index   int
	Source  Source
	Outcome Outcome
}

// Tick only advances the time.
type Tick struct{}

func (PeersChanged) event() {}
func (HaveReceived) event() {}
func (HaveFailed) event()   {}
func (ChunkEnded) event()   {}
func (Tick) event()         {}

// Action is an output of the core.
type Action interface{ action() }

// RequestChunk starts a request for a chunk; ChunkEnded reports its end.
type RequestChunk struct {
	Index  int
	Source Source
}

// RequestHave queries a peer's have-set for changes after the given position.
type RequestHave struct {
	Peer  fleet.InstanceID
	Epoch uint64
	Seq   int
}

// Complete reports that every chunk is verified. It is returned once.
type Complete struct{}

func (RequestChunk) action() {}
func (RequestHave) action()  {}
func (Complete) action()     {}
