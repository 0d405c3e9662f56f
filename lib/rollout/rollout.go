// Package rollout decides which weights an agent fetches and which orders it
// sends to its engine. The core is pure: it gets events with the current time
// and returns actions.
package rollout

import (
	"errors"
	"time"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

const (
	// minRetryDelay and maxRetryDelay bound the growing delay after a failed
	// order.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// slotTimeout is how long an agent waits for an agent that ranks before it
	// and does not start to switch. That agent may be dead and still listed.
	slotTimeout = 30 * time.Second
)

// Options describe the agent and its engine to the core.
type Options struct {
	Self fleet.InstanceID
	// StartedAt is when the agent started.
	StartedAt time.Time
	// OrderSettleTime is the longest time for which an engine that ignores fencing
	// tokens may still work on an order of an earlier agent process, or on one
	// whose end is unknown.
	OrderSettleTime time.Duration
}

// Core is the state of the rollout at one agent with its engine.
type Core struct {
	options     Options
	targetKnown bool
	target      Target
	report      *engine.Report
	// lastOrderEndedAt is when the last order ended. Reports requested earlier
	// may not show its effect.
	lastOrderEndedAt time.Time
	readyRoot        fleet.Digest
	requestedRoot    fleet.Digest
	orderInProgress  bool
	// loadingRoot is the root of the load in progress; zero for an unload.
	loadingRoot fleet.Digest
	fence       int64

	failures int
	retryAt  time.Time

	servingRoot     fleet.Digest
	switching       bool
	firstReportSeen bool

	drainSeq uint64
	draining map[fleet.Digest]uint64
	drained  map[fleet.Digest]bool

	slot updateSlot
}

// New returns a core. Fencing tokens start at the agent's start time in
// milliseconds, so that they grow across restarts although nothing is stored.
func New(o Options) *Core {
	return &Core{
		options:  o,
		fence:    o.StartedAt.UnixMilli() - 1,
		draining: map[fleet.Digest]uint64{},
		drained:  map[fleet.Digest]bool{},
	}
}

// Step handles one event and returns the actions to carry out, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Target:
		c.setTarget(e)
	case WeightsReady:
		if e.Root == c.requestedRoot {
			c.readyRoot = e.Root
		}
	case WeightsDropped:
		c.dropWeights(e.Root)
	case Reported:
		c.setReport(e)
	case OrderEnded:
		c.orderEnded(now, e.Err)
	case Drained:
		if c.draining[e.Root] == e.Seq {
			c.drained[e.Root] = true
		}
	}
	if !c.targetKnown {
		return nil
	}
	needsSlot := c.mustStopServing()
	granted := needsSlot && c.mayTakeSlot(now)
	actions := c.updateServing(granted)
	return append(actions, c.nextOrder(now)...)
}

func (c *Core) setTarget(t Target) {
	if rootOf(c.target) != rootOf(t) {
		// The transfer of a root ends when the target changes to another root.
		// The weights of a target are therefore requested again, even if they
		// were requested before.
		c.failures = 0
		c.requestedRoot = fleet.Digest{}
		c.readyRoot = fleet.Digest{}
	}
	c.targetKnown = true
	c.target = t
}

func rootOf(t Target) fleet.Digest {
	if t.Profile == nil {
		return fleet.Digest{}
	}
	return t.Profile.Weights.Root
}

func (c *Core) dropWeights(root fleet.Digest) {
	if c.readyRoot == root {
		c.readyRoot = fleet.Digest{}
	}
	if c.requestedRoot == root {
		c.requestedRoot = fleet.Digest{}
	}
}

// setReport records a report. It ignores a report that was requested before the
// last order ended, since that report may not show the effect of the order.
func (c *Core) setReport(e Reported) {
	if e.Report != nil && e.RequestedAt.Before(c.lastOrderEndedAt) {
		return
	}
	c.report = e.Report
}

// orderEnded discards the report, so that the next order waits for a new one, and
// after a failure adds a growing delay. An engine that ignores fencing tokens may
// still be working on an order whose end is unknown. Its next order waits at
// least OrderSettleTime.
func (c *Core) orderEnded(now time.Time, err error) {
	c.orderInProgress = false
	c.report = nil
	c.lastOrderEndedAt = now
	if err == nil {
		c.failures = 0
		return
	}
	delay := min(minRetryDelay<<min(c.failures, 10), maxRetryDelay)
	c.failures++
	if errors.Is(err, engine.ErrRefused) {
		// The chunks may have been freed since they were ready, so the weights
		// are requested again.
		c.dropWeights(c.loadingRoot)
	}
	if !c.target.ChecksFence && !errors.Is(err, engine.ErrFenced) && !errors.Is(err, engine.ErrRefused) {
		delay = max(delay, c.options.OrderSettleTime)
	}
	c.retryAt = now.Add(delay)
}

// updateServing decides which root calls may use. A root is served only after the
// engine reported it.
func (c *Core) updateServing(stopServing bool) []Action {
	root, switching := c.servingRoot, c.switching
	target := rootOf(c.target)
	switch {
	case target.IsZero():
		root, switching = fleet.Digest{}, false
	case c.report != nil && c.report.Has(target):
		root, switching = target, false
	case c.report == nil:
		// Without a report the failed health check closes the gate. The root is
		// kept unless it was retired.
	case !c.servingRoot.IsZero() && !c.report.Has(c.servingRoot):
		root = fleet.Digest{}
	case stopServing:
		root, switching = fleet.Digest{}, true
	case c.servingRoot.IsZero() && !c.firstReportSeen:
		root = c.rootToAdopt()
	}
	if c.report != nil {
		c.firstReportSeen = true
	}
	if !c.target.ActiveRoots[root] {
		root = fleet.Digest{}
	}
	if root == c.servingRoot && switching == c.switching {
		return nil
	}
	c.servingRoot, c.switching = root, switching
	c.cancelDrain(root)
	return []Action{Serve{Root: root, Switching: switching}}
}

// rootToAdopt returns a root that the engine already held when this agent
// started, or zero. It is served until the target is loaded.
func (c *Core) rootToAdopt() fleet.Digest {
	for _, l := range c.report.Loaded {
		if c.target.ActiveRoots[l.Root] && l.Model == c.target.Profile.Model {
			return l.Root
		}
	}
	return fleet.Digest{}
}

// Serving returns the root that calls may use; zero means none.
func (c *Core) Serving() fleet.Digest { return c.servingRoot }

// nextOrder returns the next order or weights request, at most one at a time.
func (c *Core) nextOrder(now time.Time) []Action {
	if c.report == nil || c.orderInProgress {
		return nil
	}
	target := rootOf(c.target)
	if target.IsZero() || c.report.Has(target) {
		return c.unloadUnused(now, c.unusedRoot())
	}
	if fetch := c.requestWeights(target); fetch != nil {
		return fetch
	}
	if c.readyRoot != target {
		return nil
	}
	if unused := c.unusedRoot(); !unused.IsZero() {
		return c.unloadUnused(now, unused)
	}
	if !c.target.LoadsAlongside && !c.servingRoot.IsZero() {
		return nil
	}
	if !c.mayOrder(now) {
		return nil
	}
	c.loadingRoot = target
	return []Action{Load{Profile: c.target.Profile, Fence: c.nextFence()}}
}

func (c *Core) requestWeights(target fleet.Digest) []Action {
	if c.requestedRoot == target {
		return nil
	}
	c.requestedRoot = target
	c.readyRoot = fleet.Digest{}
	return []Action{Fetch{Profile: c.target.Profile}}
}

// unusedRoot returns a loaded root that is neither served nor the target, or
// zero.
func (c *Core) unusedRoot() fleet.Digest {
	for _, l := range c.report.Loaded {
		if l.Root != c.servingRoot && l.Root != rootOf(c.target) {
			return l.Root
		}
	}
	return fleet.Digest{}
}

// unloadUnused unloads a root once the calls that use it have ended. It drains
// the root first.
func (c *Core) unloadUnused(now time.Time, root fleet.Digest) []Action {
	if root.IsZero() {
		return nil
	}
	if !c.drained[root] {
		if c.draining[root] != 0 {
			return nil
		}
		c.drainSeq++
		c.draining[root] = c.drainSeq
		return []Action{Drain{Root: root, Seq: c.drainSeq}}
	}
	if !c.mayOrder(now) {
		return nil
	}
	c.loadingRoot = fleet.Digest{}
	return []Action{Unload{Root: root, Fence: c.nextFence()}}
}

// cancelDrain forgets the drain of a root that is served again.
func (c *Core) cancelDrain(root fleet.Digest) {
	delete(c.draining, root)
	delete(c.drained, root)
}

// mayOrder reports whether the delays before the next order have passed.
func (c *Core) mayOrder(now time.Time) bool {
	if now.Before(c.retryAt) {
		return false
	}
	return c.target.ChecksFence || !now.Before(c.options.StartedAt.Add(c.options.OrderSettleTime))
}

// nextFence marks an order as in progress and returns its fencing token.
func (c *Core) nextFence() int64 {
	c.orderInProgress = true
	c.fence = max(c.fence, c.report.Fence) + 1
	return c.fence
}
