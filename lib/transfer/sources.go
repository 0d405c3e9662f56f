package transfer

import "time"

const (
	// busyFor is the shortest time for which a source that refused is left alone.
	busyFor = 30 * time.Millisecond
	// failedFor is that time for a source that failed or sent a wrong chunk.
	failedFor = 500 * time.Millisecond
	// maxAvoid bounds the growth of both for peers, and maxAvoidOrigin for store
	// and origin, which nothing replaces.
	maxAvoid       = 30 * time.Second
	maxAvoidOrigin = time.Second
	// maxBusyDoublings keeps a busy peer in use: it refuses for the moment only.
	maxBusyDoublings = 4
	// maxCorrupt is the number of wrong chunks after which a peer is not asked
	// again in this transfer, which bounds what a hostile peer costs.
	maxCorrupt = 3
	// distrustAfter is the number of failures in a row after which a peer's
	// have-set counts no longer, so that its chunks are drawn elsewhere.
	distrustAfter = 3
)

// sourceState is how a source behaved in this transfer.
type sourceState struct {
	peer     bool
	inFlight int
	busies   int
	strikes  int
	corrupt  int
	avoid    time.Time
}

func (c *Core) source(s Source) *sourceState {
	state := c.sources[s]
	if state == nil {
		state = &sourceState{peer: s.Kind == FromPeer}
		c.sources[s] = state
	}
	return state
}

// ended takes in how a request ended. The penalty doubles with each failure;
// a wrong chunk counts as a failure and is never forgiven.
func (s *sourceState) ended(now time.Time, e ChunkEnded) {
	switch e.Outcome {
	case Verified:
		s.busies = 0
		s.strikes = min(s.corrupt, s.strikes)
	case Busy:
		s.rest(now)
	case Corrupt:
		s.corrupt++
		if s.peer {
			s.strike(now)
			break
		}
		// Nothing replaces store and origin, which may spoil a few of many
		// chunks: they are asked again soon.
		s.rest(now)
	case Failed, Absent, Changed:
		s.strike(now)
	}
}

// rest leaves a source alone for a short time that doubles until it sends a
// right chunk.
func (s *sourceState) rest(now time.Time) {
	s.avoid = now.Add(busyFor << s.busies)
	s.busies = min(s.busies+1, maxBusyDoublings)
}

func (s *sourceState) strike(now time.Time) {
	most := maxAvoidOrigin
	if s.peer {
		most = maxAvoid
	}
	wait := min(failedFor<<min(s.strikes, maxDoublings), most)
	s.strikes++
	s.avoid = now.Add(wait)
}

// maxDoublings keeps the shift of a penalty in range.
const maxDoublings = 10

// banned reports whether a peer sent too many wrong chunks. Store and origin
// are never banned, because they may be repaired and nothing replaces them.
func (s *sourceState) banned() bool { return s.peer && s.corrupt >= maxCorrupt }

func (s *sourceState) distrusted() bool { return s.peer && (s.strikes >= distrustAfter || s.banned()) }

// usable reports whether a source may get one more request.
func (c *Core) usable(now time.Time, s Source, limit int) bool {
	state := c.source(s)
	return state.inFlight < limit && !now.Before(state.avoid) && !state.banned()
}
