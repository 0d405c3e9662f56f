package transfer

import "time"

const (
	// minBusyDelay is the shortest delay before the next request to a source
	// that was busy.
	minBusyDelay = 30 * time.Millisecond
	// minFailureDelay is that delay for a source that failed or sent a corrupt
	// chunk.
	minFailureDelay = 500 * time.Millisecond
	// maxPeerDelay bounds the growth of the failure delay for peers, and
	// maxOriginDelay for the store and the origin, which nothing replaces.
	maxPeerDelay   = 30 * time.Second
	maxOriginDelay = time.Second
	// maxBusyDoublings bounds the growth of the busy delay, so that a busy peer
	// stays in use: it refuses only for the moment.
	maxBusyDoublings = 4
	// maxCorrupt is the number of corrupt chunks after which a peer gets no more
	// requests in this transfer. It bounds what a hostile peer costs.
	maxCorrupt = 3
	// distrustAfter is the number of consecutive failures after which a peer's
	// have-set is ignored, so that its chunks are fetched elsewhere.
	distrustAfter = 3
)

// sourceState is the behavior of a source in this transfer.
type sourceState struct {
	peer          bool
	inFlight      int
	busyCount     int
	failures      int
	corruptChunks int
	avoidUntil    time.Time
}

func (c *Core) source(s Source) *sourceState {
	state := c.sources[s]
	if state == nil {
		state = &sourceState{peer: s.Kind == FromPeer}
		c.sources[s] = state
	}
	return state
}

// requestEnded records the outcome of a request. The delay doubles with each
// failure. A corrupt chunk counts as a failure that later successes do not clear.
func (s *sourceState) requestEnded(now time.Time, e ChunkEnded) {
	switch e.Outcome {
	case Verified:
		s.busyCount = 0
		s.failures = min(s.corruptChunks, s.failures)
	case Busy:
		s.backOffBusy(now)
	case Corrupt:
		s.corruptChunks++
		if s.peer {
			s.backOffFailure(now)
			break
		}
		// Store and origin may send a few corrupt chunks among many and have
		// no replacement, so that the next request follows soon.
		s.backOffBusy(now)
	case Failed, Absent, Changed:
		s.backOffFailure(now)
	}
}

// backOffBusy avoids a source for a short time, which doubles with each call
// until the source sends a valid chunk.
func (s *sourceState) backOffBusy(now time.Time) {
	s.avoidUntil = now.Add(minBusyDelay << s.busyCount)
	s.busyCount = min(s.busyCount+1, maxBusyDoublings)
}

func (s *sourceState) backOffFailure(now time.Time) {
	maxDelay := maxOriginDelay
	if s.peer {
		maxDelay = maxPeerDelay
	}
	delay := min(minFailureDelay<<min(s.failures, maxFailureDoublings), maxDelay)
	s.failures++
	s.avoidUntil = now.Add(delay)
}

// maxFailureDoublings bounds the shift that computes a failure delay.
const maxFailureDoublings = 10

// banned reports whether a peer sent too many corrupt chunks. Store and origin
// are never banned, because they may be repaired and nothing replaces them.
func (s *sourceState) banned() bool { return s.peer && s.corruptChunks >= maxCorrupt }

func (s *sourceState) distrusted() bool { return s.peer && (s.failures >= distrustAfter || s.banned()) }

// usable reports whether a source may get one more request.
func (c *Core) usable(now time.Time, s Source, limit int) bool {
	state := c.source(s)
	return state.inFlight < limit && !now.Before(state.avoidUntil) && !state.banned()
}
