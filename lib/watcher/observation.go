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
// That is usually the time at which it arrives. It is earlier if reads of the source failed,
// or if the process was paused.
type observation struct {
	// lastRun is when the duty last ran, by a clock that also counts while the machine is
	// suspended. pausedAt and resumedAt are the begin and the end of the last pause.
	lastRun, pausedAt, resumedAt time.Duration
	// peerReadAt is when a peer was last read.
	peerReadAt time.Time
}

// run records that the duty runs.
func (o *observation) run(uptime time.Duration) {
	if uptime-o.lastRun > maxRunInterval {
		o.pausedAt, o.resumedAt = o.lastRun, uptime
	}
	o.lastRun = uptime
}

// absentUntil returns when the changes of an update were last known to be absent; zero if
// that is now.
func (o *observation) absentUntil(now time.Time, uptime time.Duration, u *Update) time.Time {
	o.run(uptime)
	since := u.Since
	if known := o.peerReadAt.Add(-maxPeerDelay); !since.IsZero() && known.After(since) {
		since = known
	}
	if u.FromPeer && u.Revision != 0 {
		o.peerReadAt = now
	}
	paused := o.resumedAt > 0 && uptime-o.resumedAt <= pauseEffect
	if pausedAt := now.Add(o.pausedAt - uptime); paused && (since.IsZero() || pausedAt.Before(since)) {
		return pausedAt
	}
	return since
}
