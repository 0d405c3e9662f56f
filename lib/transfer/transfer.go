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
	// Peers is the number of peers whose have-sets are followed.
	Peers int
	// PerSource is the number of requests in flight to one source.
	PerSource int
	// InFlight is the number of requests in flight in all.
	InFlight int
	// TakeoverDelay is the time after which the next rank draws a chunk.
	TakeoverDelay time.Duration
	// StallAfter ends a request without progress.
	StallAfter time.Duration
	// HaveEvery is the time between two questions for a peer's have-set.
	HaveEvery time.Duration
}

// Source is where a chunk can be requested: a peer, or the store with its origin.
type Source struct {
	// Peer is empty for the store.
	Peer fleet.InstanceID
}

// Peer is another agent that needs or holds the same root.
type Peer struct {
	ID     fleet.InstanceID
	Region fleet.Region
}

// Event is an input of the core.
type Event interface{ event() }

// PeersChanged replaces the agents that need or hold the root.
type PeersChanged struct{ Peers []Peer }

// HaveReceived carries a peer's have-set, one bit for each chunk.
type HaveReceived struct {
	Peer fleet.InstanceID
	Have []uint64
}

// HaveFailed says that a peer did not answer with a have-set.
type HaveFailed struct{ Peer fleet.InstanceID }

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

// RequestHave asks a peer for its have-set.
type RequestHave struct{ Peer fleet.InstanceID }

// Complete says that every chunk is verified. It is returned once.
type Complete struct{}

func (RequestChunk) action() {}
func (RequestHave) action()  {}
func (Complete) action()     {}
