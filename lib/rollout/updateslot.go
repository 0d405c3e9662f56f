package rollout

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// slotRankKey is the key for ranking the members. It does not depend on the
// target, so that agents with different generations agree on the order too.
const slotRankKey = "switch"

// updateSlot is the position of an agent among those that wait to switch. It
// limits how many agents of a service stop serving at the same time.
type updateSlot struct {
	root           fleet.Digest
	position       int
	unchangedSince time.Time
}

// mustStopServing reports whether the engine must stop serving its version before
// it can load the target.
func (c *Core) mustStopServing() bool {
	target := rootOf(c.target)
	return !target.IsZero() && !c.target.LoadsAlongside && !c.orderInProgress &&
		c.report != nil && !c.report.Has(target) &&
		c.readyRoot == target && !c.servingRoot.IsZero() && c.servingRoot != target
}

// mayTakeSlot reports whether this agent may switch now. The position of the
// agent counts the agents that are switching and those that rank before it and
// still serve another version; it must be less than MaxUnavailable. Ranks are
// computed from the members' own reports, so that agents with slightly older
// views agree on the order. The position improves by one after each slotTimeout
// without a change, because an agent that ranks before may be dead.
func (c *Core) mayTakeSlot(now time.Time) bool {
	target := rootOf(c.target)
	switching, ahead := 0, 0
	ownWeight := fleet.RendezvousWeight(slotRankKey, string(c.options.Self))
	for _, m := range c.target.Members {
		switch {
		case m.ID == c.options.Self:
		case m.Switching:
			switching++
		case !m.Serving.IsZero() && m.Serving != target && fleet.RendezvousWeight(slotRankKey, string(m.ID)) > ownWeight:
			ahead++
		}
	}
	position := switching + ahead
	if c.slot.root != target || c.slot.position != position || c.slot.unchangedSince.IsZero() {
		c.slot = updateSlot{root: target, position: position, unchangedSince: now}
	}
	skipped := min(int(now.Sub(c.slot.unchangedSince)/slotTimeout), ahead)
	return position-skipped < max(c.target.MaxUnavailable, 1)
}
