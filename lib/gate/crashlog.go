package gate

import (
	"time"

	"rattanspur.example/lib/poison"
)

// crashLog finds the calls that were lost when the upstream crashed, before their
// answer began.
type crashLog struct {
	// notBegun holds the traits of the calls in flight whose answer has not begun,
	// by the number of their ticket.
	notBegun map[uint64][]poison.Trait
	// lost holds the traits of calls whose connection broke, until a health check
	// shows whether the upstream crashed. The first one broke at brokenAt.
	lost     [][]poison.Trait
	brokenAt time.Time
}

func newCrashLog() crashLog { return crashLog{notBegun: map[uint64][]poison.Trait{}} }

func (c *crashLog) recordStart(number uint64, traits []poison.Trait) {
	if len(traits) > 0 {
		c.notBegun[number] = traits
	}
}

func (c *crashLog) recordEnd(number uint64) { delete(c.notBegun, number) }

func (c *crashLog) recordLost(now time.Time, number uint64) {
	traits, found := c.notBegun[number]
	if !found {
		return
	}
	if c.brokenAt.IsZero() {
		c.brokenAt = now
	}
	c.lost = append(c.lost, traits)
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
func (c *crashLog) recordUnreachable() [][]poison.Trait {
	lost := c.lost
	c.lost, c.brokenAt = nil, time.Time{}
	return lost
}

// recordRestart records a restart of the upstream and returns the calls that were
// lost. A restart ends every call in flight. They are forgotten, so that the end of
// their connection is not taken for a crash of the next start.
func (c *crashLog) recordRestart() [][]poison.Trait {
	lost := c.recordUnreachable()
	for _, traits := range c.notBegun {
		lost = append(lost, traits)
	}
	clear(c.notBegun)
	return lost
}
