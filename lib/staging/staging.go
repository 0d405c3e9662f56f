// Package staging decides what a loader does with the weights of the engine
// beside it: which version to bring here, when to put it in place, and when to
// order the engine to take it. The core is pure.
package staging

import (
	"time"

	"rattanspur.example/lib/published"
)

// Report is what an engine says of itself.
type Report struct {
	// Born tells one start of the engine from another.
	Born int64
	// Busy says that an order is in progress.
	Busy bool
	// Sequence counts the orders that the engine accepted since its start.
	Sequence int64
	Copies   []published.Copy
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
}

// Action is what to do next.
type Action uint8

// The actions of a loader.
const (
	// Idle: the engine serves what it should, or something is in progress.
	Idle Action = iota
	// Fetch: bring the version here.
	Fetch
	// Place: put the pieces in place for the engine.
	Place
	// Order: check what lies in place and order the engine to take it.
	Order
)

const (
	// orderPatience is how long an order that began may show no effect before
	// it is given again.
	orderPatience = 4 * time.Second
	// retryPause is the pause after an attempt that failed.
	retryPause = 200 * time.Millisecond
)

// Core is the state of one loader. It is owned by one duty.
type Core struct {
	model string
	// within is how long after its publication a version is due everywhere.
	within time.Duration
	layers int
	target published.DesiredVersion
	// rank and count place the engine among those of its service.
	rank, count int
	report      Report
	known       bool
	// complete holds the versions of which all pieces are here.
	complete map[int64]bool
	// placed is the version that lies in place at the engine with born.
	placed     int64
	placedBorn int64
	ordered    int64
	orderedAt  time.Time
	orderBorn  int64
	pauseUntil time.Time
}

// New returns a core for one model of the engine.
func New(model string, layers int, within time.Duration) *Core {
	return &Core{model: model, layers: layers, within: within, count: 1, complete: map[int64]bool{}}
}

// SetTarget names the version that the engine is to serve.
func (c *Core) SetTarget(w published.DesiredVersion) { c.target = w }

// Target returns the version that the engine is to serve; 0 if none is known.
func (c *Core) Target() int64 { return c.target.Version }

// SetRank places the engine among those of its service.
func (c *Core) SetRank(rank, count int) { c.rank, c.count = rank, max(count, 1) }

// SetReport takes in what the engine says.
func (c *Core) SetReport(r Report) { c.report, c.known = r, true }

// Lost says that the engine does not answer.
func (c *Core) Lost() { c.known = false }

// Loaded returns the version that the engine holds whole, or 0.
func (c *Core) Loaded() int64 { return published.CompleteVersion(c.report.Copies, c.model, c.layers) }

// Completed says that all pieces of a version are here.
func (c *Core) Completed(version int64) { c.complete[version] = true }

// Dropped says that the pieces of a version are here no longer.
func (c *Core) Dropped(version int64) { delete(c.complete, version) }

// Behind reports whether the engine is known to serve another version than the
// target.
func (c *Core) Behind() bool {
	return c.target.Version != 0 && c.known && c.Loaded() != c.target.Version
}

// Placed says that all pieces of a version lie in place at the engine, as of
// the start that is known.
func (c *Core) Placed(version int64) { c.placed, c.placedBorn = version, c.report.Born }

// Spoilt says that what lies in place is not what it should be.
func (c *Core) Spoilt() { c.placed = 0 }

// Ordered says that the engine accepted the order for a version.
func (c *Core) Ordered(now time.Time, version int64) {
	c.ordered, c.orderedAt, c.orderBorn = version, now, c.report.Born
}

// Failed says that an attempt failed; the next one waits a little.
func (c *Core) Failed(now time.Time) { c.pauseUntil = now.Add(retryPause) }

// Next returns what to do now, and for which version.
func (c *Core) Next(now time.Time) (Action, int64) {
	if !c.Behind() || now.Before(c.pauseUntil) {
		return Idle, 0
	}
	version := c.choose(now)
	switch {
	case version == 0:
		return Fetch, c.target.Version
	case c.placed != version || c.placedBorn != c.report.Born:
		return Place, version
	case c.report.Busy || c.inProgress(now, version) || now.Before(c.Turn()):
		return Idle, version
	default:
		return Order, version
	}
}

// leastUse is how long an earlier version must still be allowed to be worth its
// order, which costs the engine a break.
const leastUse = 1500 * time.Millisecond

// choose returns the version to take next, or 0 if none is here: the target,
// or once it is the engine's turn the newest earlier version that is wanted,
// newer than what it serves, and allowed for some time.
func (c *Core) choose(now time.Time) int64 {
	if c.complete[c.target.Version] {
		return c.target.Version
	}
	if now.Before(c.Turn()) {
		return 0
	}
	for _, e := range c.target.Previous {
		if e.Version > c.Loaded() && c.complete[e.Version] && due(c.target, e.Version, c.within).Sub(now) > leastUse {
			return e.Version
		}
	}
	return 0
}

// inProgress reports whether the order for a version may still take effect.
func (c *Core) inProgress(now time.Time, version int64) bool {
	return c.ordered == version && c.orderBorn == c.report.Born && now.Sub(c.orderedAt) < orderPatience
}

// Turn returns when the engine may begin to take the target. An engine that
// serves nothing begins at once.
func (c *Core) Turn() time.Time {
	if c.Loaded() == 0 {
		return time.Time{}
	}
	return Turn(c.target, c.Loaded(), c.within, c.rank, c.count)
}
