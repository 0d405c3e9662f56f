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
	// suspensionTolerance is how much more the uptime may count between two runs than the
	// steady clock in a machine that was not suspended: the clocks are read one after the
	// other.
	suspensionTolerance = 50 * time.Millisecond
)

// observation tells since when a change may have been published that is new to this process.
// That is the time at which it arrives only if the source sends it to a watch that waits for
// it. A change that a peer passes on, or that the source has when it is read again, may be as
// old as the last read without it; what arrived while the process was paused as the pause.
type observation struct {
	// lastRun is when the duty last ran. pausedAt and resumedAt are the begin and the end of
	// the last pause.
	lastRun, pausedAt, resumedAt moment
	// sourceReadAt and peerReadAt are when the source and a peer were last read.
	sourceReadAt, peerReadAt moment
}

// run records that the duty runs. It returns for how long the machine was suspended since it
// last ran.
func (o *observation) run(now moment) (suspended time.Duration) {
	if now.since(o.lastRun) > maxRunInterval {
		o.pausedAt, o.resumedAt = o.lastRun, now
	}
	suspended = now.uptime - o.lastRun.uptime - now.steady.Sub(o.lastRun.steady)
	o.lastRun = now
	if suspended <= suspensionTolerance {
		return 0
	}
	return suspended
}

// absentUntil returns when the changes of an update were last known to be absent, on the
// steady clock. It is zero if nothing was read before; the update then brings no version whose
// publication is known.
func (o *observation) absentUntil(now moment, u *Update) time.Time {
	age, known := time.Duration(0), true
	if !u.Live {
		age, known = o.readAge(now)
	}
	o.noteRead(now, u)
	if !known {
		return time.Time{}
	}
	if o.resumedAt != (moment{}) && now.since(o.resumedAt) <= pauseEffect {
		age = max(age, now.since(o.pausedAt))
	}
	return now.steady.Add(-age)
}

// readAge returns for how long the reads so far would not have shown a change; known is false
// if there were none.
func (o *observation) readAge(now moment) (age time.Duration, known bool) {
	if o.sourceReadAt != (moment{}) {
		age, known = now.since(o.sourceReadAt), true
	}
	if o.peerReadAt == (moment{}) {
		return age, known
	}
	if peerAge := now.since(o.peerReadAt) + maxPeerDelay; !known || peerAge < age {
		age = peerAge
	}
	return age, true
}

// unheard returns for how long nothing has been heard of the source, before an update that is not
// noted yet.
func (o *observation) unheard(now moment) time.Duration {
	if o.sourceReadAt == (moment{}) {
		return 0
	}
	return now.since(o.sourceReadAt)
}

// noteRead records the read that an update is the result of.
func (o *observation) noteRead(now moment, u *Update) {
	switch {
	case !u.FromPeer:
		o.sourceReadAt = u.ReadAt
	case u.Revision != 0:
		o.peerReadAt = now
	}
}
