package dispatch

import (
	"maps"
	"time"
)

// receivedNotice is a loader notice and the time of its receipt.
type receivedNotice struct {
	Notice
	receivedAt time.Time
}

// noticeTTL is how long a notice overrides the published upstreams of earlier
// engine starts at its address, and how long it is retained if no published
// upstream has the address.
const noticeTTL = 10 * time.Second

// ApplyNotice applies a loader's notice, unless a notice about a later start of
// the engine at that address is known.
func (c *Core) ApplyNotice(now time.Time, n Notice) []Action {
	if n.StartTime < c.notices[n.Address].StartTime {
		return nil
	}
	c.notices[n.Address] = receivedNotice{Notice: n, receivedAt: now}
	for _, u := range c.upstreams {
		if u.Address == n.Address {
			u.notice = c.notices[n.Address]
			u.endPause(now)
		}
	}
	c.divideSlots(now)
	return c.drain(now)
}

// expireNotices removes old notices about addresses that no upstream has.
func (c *Core) expireNotices(now time.Time) {
	named := make(map[string]bool, len(c.upstreams))
	for _, u := range c.upstreams {
		named[u.Address] = true
	}
	maps.DeleteFunc(c.notices, func(address string, n receivedNotice) bool {
		return !named[address] && now.Sub(n.receivedAt) > noticeTTL
	})
}
