package watcher

import "time"

const (
	// maxRunInterval is the longest time between two runs of a duty with a ticker of
	// expireInterval in a process that was not paused.
	maxRunInterval = 4 * expireInterval
	// pauseEffect is how long after a pause of the process updates are taken for ones that
	// arrived during it.
	pauseEffect = 500 * time.Millisecond
	// maxPeerDelay is how long a peer may miss changes because its own connections fell
	// silent.
	maxPeerDelay = 5 * time.Second
)

// observation tells since when a change may have been published that is new to this process.
// That is the time at which it arrives only if the source sends it to a watch that waits for
// it. A change that a peer passes on, or that the source has when it is read again, may be as
// old as the last read without it; what arrived while the process was paused as the pause.
type observation struct {
	// lastRun is when the duty last ran, by a clock that also counts while the machine is
	// suspended. pausedAt and resumedAt are the begin and the end of the last pause.
	lastRun, pausedAt, resumedAt time.Duration
	// sourceReadAt and peerReadAt are when the source and a peer were last read.
	sourceReadAt, peerReadAt time.Time
}

// run records that the duty runs.
func (o *observation) run(uptime time.Duration) {
	if uptime-o.lastRun > maxRunInterval {
		o.pausedAt, o.resumedAt = o.lastRun, uptime
	}
	o.lastRun = uptime
}

// absentUntil returns when the changes of an update were last known to be absent; zero if
// nothing was read before it.
func (o *observation) absentUntil(now time.Time, uptime time.Duration, u *Update) time.Time {
	o.run(uptime)
	absent := now
	if !u.Live {
		absent = o.lastRead()
	}
	o.noteRead(now, u)
	paused := o.resumedAt > 0 && uptime-o.resumedAt <= pauseEffect
	if pausedAt := now.Add(o.pausedAt - uptime); paused && pausedAt.Before(absent) {
		return pausedAt
	}
	return absent
}

// lastRead returns the time up to which the reads so far would have shown a change.
func (o *observation) lastRead() time.Time {
	if known := o.peerReadAt.Add(-maxPeerDelay); known.After(o.sourceReadAt) {
		return known
	}
	return o.sourceReadAt
}

// noteRead records the read that an update is the result of.
func (o *observation) noteRead(now time.Time, u *Update) {
	switch {
	case !u.FromPeer:
		o.sourceReadAt = u.ReadAt
	case u.Revision != 0:
		o.peerReadAt = now
	}
}
