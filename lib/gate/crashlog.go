package gate

import (
	"time"

	"rattanspur.example/lib/poison"
)

// crashLog finds the calls that were lost when the upstream crashed, before it had survived
// them.
type crashLog struct {
	// inFlight holds the calls that the upstream has not survived, by the number of their
	// ticket.
	inFlight map[uint64]*callInFlight
	// lost holds the calls whose connection broke, until a health check shows whether the
	// upstream crashed. The first one broke at brokenAt.
	lost     []LostCall
	brokenAt time.Time
}

// callInFlight is a call that may yet crash the upstream. begunAt is when its answer began;
// zero before that.
type callInFlight struct {
	traits  []poison.Trait
	begunAt time.Time
}

// LostCall is a call that was lost in a crash of the upstream.
type LostCall struct {
	Traits []poison.Trait
	// Answered is how long its answer had gone on, at most; 0 if it had not begun.
	Answered time.Duration
}

func newCrashLog() crashLog { return crashLog{inFlight: map[uint64]*callInFlight{}} }

func (c *crashLog) recordStart(number uint64, traits []poison.Trait) {
	if len(traits) > 0 {
		c.inFlight[number] = &callInFlight{traits: traits}
	}
}

func (c *crashLog) recordBegan(now time.Time, number uint64) {
	if call := c.inFlight[number]; call != nil {
		call.begunAt = now
	}
}

func (c *crashLog) recordEnd(number uint64) { delete(c.inFlight, number) }

func (c *crashLog) recordLost(now time.Time, number uint64) {
	call := c.inFlight[number]
	if call == nil {
		return
	}
	if c.brokenAt.IsZero() {
		c.brokenAt = now
	}
	c.lost = append(c.lost, call.lostAt(now))
}

func (c *callInFlight) lostAt(now time.Time) LostCall {
	lost := LostCall{Traits: c.traits}
	if !c.begunAt.IsZero() {
		lost.Answered = now.Sub(c.begunAt)
	}
	return lost
}

// recordAlive records that the upstream answered and has not restarted. If
// connections broke before, it returns when the first one did.
func (c *crashLog) recordAlive() time.Time {
	brokenAt := c.brokenAt
	c.lost, c.brokenAt = nil, time.Time{}
	return brokenAt
}

// recordUnreachable records that the upstream does not answer and returns the calls
// that were lost. Calls that are still in flight may yet be answered, so only those
// whose connection broke are returned.
func (c *crashLog) recordUnreachable() []LostCall {
	lost := c.lost
	c.lost, c.brokenAt = nil, time.Time{}
	return lost
}

// recordRestart records a restart of the upstream and returns the calls that were
// lost. A restart ends every call in flight. They are forgotten, so that the end of
// their connection is not taken for a crash of the next start.
func (c *crashLog) recordRestart(now time.Time) []LostCall {
	lost := c.recordUnreachable()
	for _, call := range c.inFlight {
		lost = append(lost, call.lostAt(now))
	}
	clear(c.inFlight)
	return lost
}
