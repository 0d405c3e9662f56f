// Package staging decides how a loader updates the weights of its engine: which
// version to fetch, when to place its pieces at the engine, and when to order
// the engine to load them. The core reads no clock and does no I/O.
package staging

import (
	"errors"
	"time"

	"rattanspur.example/lib/published"
)

// Report is the state that an engine reports.
type Report struct {
	// StartTime identifies the engine process; a restart changes it.
	StartTime int64
	// Busy is set while the engine executes an order.
	Busy bool
	// Sequence is the number of orders that the engine accepted since its start.
	Sequence int64
	Copies   []published.Copy
	// Running and Waiting are the numbers of running and queued requests.
	Running int
	Waiting int
}

// Action is the next step of a loader.
type Action uint8

// The actions of a loader.
const (
	// Idle means that there is nothing to do now: the engine serves the target,
	// or the loader waits for a target, a report, a retry, an order or the update
	// slot.
	Idle Action = iota
	// Fetch downloads the pieces of the version to the loader.
	Fetch
	// Place writes the pieces to the engine.
	Place
	// Order verifies the pieces at the engine and orders it to load them.
	Order
	// Verify verifies the pieces at the engine, which an unanswered order may load.
	Verify
)

const (
	// orderTimeout is the time after which an accepted order without visible
	// effect is sent again.
	orderTimeout = 4 * time.Second
	// retryDelay is the delay after a failed attempt.
	retryDelay = 200 * time.Millisecond
)

// MaxPieceBytes bounds the size of a piece, which is read into memory.
const MaxPieceBytes = 16 << 20

// ErrUnanswered means that an order, or the storing of a piece, got no answer, so that the engine
// may have carried it out, or may do so later.
var ErrUnanswered = errors.New("the engine has not answered")

// Core is the state of one loader. It is owned by one duty and not safe for
// concurrent use.
type Core struct {
	model string
	// updateWindow is the time after the publication of a version within which
	// all engines must serve it.
	updateWindow time.Duration
	layers       int
	target       published.DesiredVersion
	// address is the engine's address, engines those of all engines of its service.
	// ranks holds their positions while ranksFor is the loaded version.
	address   string
	engines   []string
	ranks     map[string]int
	ranksFor  int64
	report    Report
	hasReport bool
	// complete holds the versions of which the loader has all pieces.
	complete map[int64]bool
	// placed is the version whose pieces are stored at the engine process with
	// placedStartTime; 0 if there is none.
	placed          int64
	placedStartTime int64
	// ordered is the version of the last order that the engine accepted: at
	// orderedAt, by the process with orderedStartTime.
	ordered          int64
	orderedAt        time.Time
	orderedStartTime int64
	// open is the last order that got no answer, openPiece the last storing of a piece that
	// got none, and inherited what an earlier process may have left open.
	open      openOrder
	openPiece openPiece
	inherited inheritance
	// found holds the results of searches of the engine, by version.
	found      map[int64]Found
	verifiedAt time.Time
	retryAt    time.Time
}

// New returns a core for one model of the engine. updateWindow is the time after
// the publication of a version within which all engines must serve it.
func New(model string, layers int, updateWindow time.Duration) *Core {
	return &Core{model: model, layers: layers, updateWindow: updateWindow, complete: map[int64]bool{}, found: map[int64]Found{}}
}

// SetTarget sets the version that the engine is to serve.
func (c *Core) SetTarget(w published.DesiredVersion) { c.target = w }

// Target returns the version that the engine is to serve, or 0 if none is known.
func (c *Core) Target() int64 { return c.target.Version }

// SetEngines sets the address of the engine and those of all engines of its
// service, among which the update slots are divided.
func (c *Core) SetEngines(address string, all []string) {
	c.address, c.engines, c.ranks = address, all, nil
}

// rank returns the position of the engine among the engines of its service. An
// engine that is not among them comes first.
func (c *Core) rank() int {
	if c.ranks == nil || c.ranksFor != c.Loaded() {
		c.ranksFor = c.Loaded()
		c.ranks = Ranks(c.engines, c.ranksFor)
	}
	return c.ranks[c.address]
}

// SetReport records the latest report of the engine.
func (c *Core) SetReport(r Report) { c.report, c.hasReport = r, true }

// ReportFailed records that the engine does not answer. The core stays idle
// until the next report.
func (c *Core) ReportFailed() { c.hasReport = false }

// Loaded returns the version of which the engine has loaded all layers, or 0.
func (c *Core) Loaded() int64 { return published.CompleteVersion(c.report.Copies, c.model, c.layers) }

// MarkComplete records that the loader has all pieces of a version.
func (c *Core) MarkComplete(version int64) { c.complete[version] = true }

// MarkDropped records that the loader no longer has the pieces of a version.
func (c *Core) MarkDropped(version int64) { delete(c.complete, version) }

// NeedsUpdate reports whether the engine is known to serve another version than
// the target.
func (c *Core) NeedsUpdate() bool {
	return c.target.Version != 0 && c.hasReport && c.Loaded() != c.target.Version
}

// MarkPlaced records that all pieces of a version are stored at the engine
// process of the latest report.
func (c *Core) MarkPlaced(version int64) { c.placed, c.placedStartTime = version, c.report.StartTime }

// MarkCorrupt records that the pieces at the engine failed verification, so
// that they are placed again.
func (c *Core) MarkCorrupt() { c.placed = 0 }

// MarkOrdered records that the engine accepted the order to load a version.
func (c *Core) MarkOrdered(now time.Time, version int64) {
	c.ordered, c.orderedAt, c.orderedStartTime = version, now, c.report.StartTime
	c.open = openOrder{}
}

// MarkFailed records a failed attempt and delays the next one.
func (c *Core) MarkFailed(now time.Time) { c.retryAt = now.Add(retryDelay) }

// Next returns the action to take now and its version. The version is 0 if
// nothing needs an update or a retry is delayed. While an order is open, the version is
// that of the order; an order that an earlier process may have sent becomes the open one here.
func (c *Core) Next(now time.Time) (Action, int64) {
	if !c.NeedsUpdate() || now.Before(c.retryAt) {
		return Idle, 0
	}
	version := c.chooseVersion(now)
	if version != 0 && !c.stored(version) && c.OpenOrder(now) == 0 {
		c.adoptOrder(now, version)
	}
	if open := c.OpenOrder(now); open != 0 && open != version {
		return c.settleOrder(now, open), open
	}
	switch {
	case version == 0:
		return Fetch, c.target.Version
	case !c.stored(version):
		return c.nextPlace(now, version), version
	case c.report.Busy || c.orderInProgress(now, version) || now.Before(c.SlotStart()) || c.mayTurnForeign(now, version):
		return Idle, version
	default:
		return Order, version
	}
}

// stored reports whether all pieces of a version are stored at the engine process.
func (c *Core) stored(version int64) bool {
	return c.placed == version && c.placedStartTime == c.report.StartTime
}

// nextPlace returns the action for a complete version that is not stored at the engine.
func (c *Core) nextPlace(now time.Time, version int64) Action {
	if !c.mayOverwrite(now, version) {
		return Idle
	}
	c.noteOverwriting(version)
	return Place
}

// minRemainingUse is the shortest remaining time of use for which an earlier
// version is loaded, because each load interrupts the engine.
const minRemainingUse = 1500 * time.Millisecond

// chooseVersion returns the complete version to load next, or 0 if there is
// none. It prefers the target. From the start of the engine's update slot it
// falls back to the newest earlier target that is newer than the loaded version
// and usable for longer than minRemainingUse.
func (c *Core) chooseVersion(now time.Time) int64 {
	if c.complete[c.target.Version] {
		return c.target.Version
	}
	if now.Before(c.SlotStart()) {
		return 0
	}
	for _, e := range c.target.Previous {
		if e.Version > c.Loaded() && c.complete[e.Version] && UsableUntil(c.target, e.Version, c.updateWindow).Sub(now) > minRemainingUse {
			return e.Version
		}
	}
	return 0
}

// orderInProgress reports whether an accepted order for a version may still take
// effect.
func (c *Core) orderInProgress(now time.Time, version int64) bool {
	return c.ordered == version && c.orderedStartTime == c.report.StartTime && now.Sub(c.orderedAt) < orderTimeout
}

// SlotStart returns the time from which the engine may load the target. It is
// the zero time for an engine without weights, which need not wait.
func (c *Core) SlotStart() time.Time {
	if c.Loaded() == 0 {
		return time.Time{}
	}
	return SlotStart(c.target, c.Loaded(), c.updateWindow, c.rank(), len(c.engines))
}
