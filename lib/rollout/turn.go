package rollout

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// turnKey ranks the members. It does not depend on the target, so that agents
// which hold different generations agree on the order too.
const turnKey = "switch"

// turn bounds how many agents of a service give up their version at a time.
type turn struct {
	root     fleet.Digest
	position int
	since    time.Time
}

// mustGiveUp reports whether the served version must end before the target can
// be loaded.
func (c *Core) mustGiveUp() bool {
	target := rootOf(c.target)
	return !target.IsZero() && !c.target.LoadsAlongside && !c.busy &&
		c.report != nil && !c.report.Has(target) &&
		c.ready == target && !c.serving.IsZero() && c.serving != target
}

// mayTakeTurn grants the first agents by rank among those that still serve
// another version, less those that are switching now. Ranks are computed from
// the members' own reports, so agents with a slightly older view agree on who
// comes first. A position improves by one after each turnPatience in which
// nothing moved, because an agent that ranks before may be dead.
func (c *Core) mayTakeTurn(now time.Time) bool {
	target := rootOf(c.target)
	switching, before := 0, 0
	own := fleet.RendezvousWeight(turnKey, string(c.options.Self))
	for _, m := range c.target.Members {
		switch {
		case m.ID == c.options.Self:
		case m.Switching:
			switching++
		case !m.Serving.IsZero() && m.Serving != target && fleet.RendezvousWeight(turnKey, string(m.ID)) > own:
			before++
		}
	}
	position := switching + before
	if c.turn.root != target || c.turn.position != position || c.turn.since.IsZero() {
		c.turn = turn{root: target, position: position, since: now}
	}
	skipped := min(int(now.Sub(c.turn.since)/turnPatience), before)
	return position-skipped < max(c.target.MaxUnavailable, 1)
}
