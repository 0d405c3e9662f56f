// Package transfer decides which chunk an agent requests from which source.
//
// The core is pure: the caller feeds events with a time and carries out the
// actions that come back. It reads no clock and does no I/O.
package transfer

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// Limits bound the work of one transfer.
type Limits struct {
	// Peers is the number of peers of the region whose have-sets are followed.
	// With 0 every chunk is drawn from store and origin.
	Peers int
	// Drawers is the number of agents of a region that draw chunks for it.
	Drawers int
	// Draws is the number of requests in flight of one drawer for chunks that
	// its region lacks.
	Draws int
	// PerSource is the number of requests in flight to one peer.
	PerSource int
	// InFlight is the number of requests in flight in all.
	InFlight int
	// TakeoverDelay is the time without news of a drawer after which the next
	// in rank draws its chunks. Slow links stretch it.
	TakeoverDelay time.Duration
	// StallAfter ends a request without progress.
	StallAfter time.Duration
	// HaveEvery is the time between two questions for a peer's have-set while
	// requests could be sent but no chunk is known for them.
	HaveEvery time.Duration
	// HaveIdle is that time while all requests are in use.
	HaveIdle time.Duration
	// SettleWait bounds how long drawers wait for the first have-sets.
	SettleWait time.Duration
	// Copies is the number of agents of a region that retain each chunk.
	Copies int
}

// SourceKind tells peers from store and origin.
type SourceKind uint8

// The kinds of source.
const (
	FromPeer SourceKind = iota
	FromStore
	FromOrigin
)

// Source is where a chunk can be requested.
type Source struct {
	Kind SourceKind
	// Peer is set for FromPeer.
	Peer fleet.InstanceID
}

// Peer is another agent that needs or holds the same root.
type Peer struct {
	ID     fleet.InstanceID
	Region fleet.Region
	// Seeder says that the peer's link carries much more than those of the
	// others. Where a region has seeders, they alone draw and send.
	Seeder bool
}

// Event is an input of the core.
type Event interface{ event() }

// PeersChanged replaces the agents that need or hold the root.
type PeersChanged struct{ Peers []Peer }

// HaveUpdate is a peer's answer to a question for its have-set.
type HaveUpdate struct {
	// Epoch changes when chunks were dropped; Seq counts additions in an epoch.
	Epoch uint64
	Seq   int
	// Full says that Have replaces what was known; otherwise Added extends it.
	Full  bool
	Have  Set
	Added []int
	// Retaining says that the peer completed the root and kept only its share.
	Retaining bool
}

// HaveReceived carries a peer's have-set.
type HaveReceived struct {
	Peer   fleet.InstanceID
	Update HaveUpdate
}

// HaveFailed says that a peer did not answer with a have-set.
type HaveFailed struct {
	Peer fleet.InstanceID
	// Absent says that the peer answered that it does not know the root yet.
	Absent bool
}

// Outcome is how a request for a chunk ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Verified means that the bytes match the chunk's digest.
	Verified Outcome = iota
	// Corrupt means that they do not.
	Corrupt
	// Busy means that the source refused for now.
	Busy
	// Failed means an error or a stall.
	Failed
	// Absent means that the source does not hold the chunk.
	Absent
	// Changed means that the source has other content than at first.
	Changed
)

// ChunkEnded says how a request ended.
type ChunkEnded struct {
	Index   int
	Source  Source
	Outcome Outcome
}

// Tick lets time pass.
type Tick struct{}

func (PeersChanged) event() {}
func (HaveReceived) event() {}
func (HaveFailed) event()   {}
func (ChunkEnded) event()   {}
func (Tick) event()         {}

// Action is an output of the core.
type Action interface{ action() }

// RequestChunk asks for a chunk; the answer is a ChunkEnded.
type RequestChunk struct {
	Index  int
	Source Source
}

// RequestHave asks a peer for its have-set after the given position.
type RequestHave struct {
	Peer  fleet.InstanceID
	Epoch uint64
	Seq   int
}

// Complete says that every chunk is verified. It is returned once.
type Complete struct{}

func (RequestChunk) action() {}
func (RequestHave) action()  {}
func (Complete) action()     {}
