package loader

import (
	"time"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// event is an input of the keeper.
type event interface{ event() }

// reported carries the engine's report, or why there is none.
type reported struct {
	report staging.Report
	err    error
}

// listed carries what is known of the service and the gateways.
type listed struct{ roster peering.Roster }

// manifestRead carries the manifest of a version.
type manifestRead struct {
	version  int64
	manifest *staging.Manifest
	err      error
}

// pieceRead carries the end of a request for a piece; data is verified.
type pieceRead struct {
	version int64
	data    []byte
	ended   transfer.ChunkEnded
	took    time.Duration
	err     error
}

// haveRead carries a peer's answer about what it holds of a version.
type haveRead struct {
	version int64
	news    transfer.Event
}

// worked carries the end of a piece of work at the engine.
type worked struct {
	work work
	// found are the verified pieces of a work that looked for them.
	found map[int][]byte
	took  time.Duration
	err   error
}

// question asks the keeper for what it holds of a version.
type question struct {
	version int64
	// piece is the number that is asked for; negative asks for the set.
	piece int
	reply *ring.Ring[answer]
}

// answer is what the keeper holds.
type answer struct {
	manifest *staging.Manifest
	have     transfer.Set
	data     []byte
	busy     bool
}

// uploaded says that an upload has ended.
type uploaded struct{}

func (reported) event()     {}
func (listed) event()       {}
func (manifestRead) event() {}
func (pieceRead) event()    {}
func (haveRead) event()     {}
func (worked) event()       {}
func (question) event()     {}
func (uploaded) event()     {}
