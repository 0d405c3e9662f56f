package loader

import (
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// event is an input of the coordinator.
type event interface{ event() }

// reportRead carries the engine's report, or the error of reading it.
type reportRead struct {
	report staging.Report
	err    error
}

// rosterRead carries the engines and gateways of the service.
type rosterRead struct{ roster peering.Roster }

// manifestRead carries the manifest of a version, or the error of the last
// source that was queried.
type manifestRead struct {
	version  int64
	manifest *staging.Manifest
	// doubted is the manifest that is to be corrected, nil if none was known.
	doubted *staging.Manifest
	err     error
}

// pieceRead carries the result of a request for a piece. Its data has passed
// verification if the outcome is Verified.
type pieceRead struct {
	version int64
	// manifest is the one that the request was made by.
	manifest *staging.Manifest
	data     []byte
	// rejected is the SHA-256 digest of what arrived if the outcome is Corrupt.
	rejected fleet.Digest
	ended    transfer.ChunkEnded
	took     time.Duration
	err      error
}

// haveRead carries a peer's set of pieces of a version, or the failure to read it.
type haveRead struct {
	version int64
	result  transfer.Event
}

// engineTaskDone carries the result of a task at the engine.
type engineTaskDone struct {
	task engineTask
	// found holds the verified pieces by number, and held is the number of pieces that the
	// engine stores; they are set by taskSearch only.
	found map[int][]byte
	held  int
	took  time.Duration
	err   error
}

// copyQuery asks the coordinator for its copy of a version, on behalf of a peer.
type copyQuery struct {
	version int64
	// piece is the number of the requested piece. A negative number requests the
	// manifest and the set of available pieces.
	piece int
	reply *ring.Ring[copyReply]
}

// copyReply answers a copyQuery. The manifest is nil if the version is unknown,
// and data is nil if the piece is not available or busy is set.
type copyReply struct {
	manifest *staging.Manifest
	have     transfer.Set
	data     []byte
	busy     bool
}

// uploadDone frees the upload slot of a finished upload.
type uploadDone struct{}

func (reportRead) event()     {}
func (rosterRead) event()     {}
func (manifestRead) event()   {}
func (pieceRead) event()      {}
func (haveRead) event()       {}
func (engineTaskDone) event() {}
func (copyQuery) event()      {}
func (uploadDone) event()     {}
