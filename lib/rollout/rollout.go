// Package rollout decides which weights an agent fetches and which orders its
// engine gets. The core is pure: events and a time in, actions out.
package rollout

import (
	"errors"
	"time"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

const (
	// retryFirst and retryMost bound the growing delay after a failed order.
	retryFirst = 250 * time.Millisecond
	retryMost  = 30 * time.Second
	// turnPatience is how long an agent waits for one that ranks before it and
	// does not begin to switch, which may be dead and still listed.
	turnPatience = 30 * time.Second
)

// Options set what the core knows of its own process.
type Options struct {
	Self fleet.InstanceID
	// Start is when the agent started.
	Start time.Time
	// Settle is the longest time that an order of an earlier agent, or one
	// without a known end, may still take at an engine that ignores tokens.
	Settle time.Duration
}

// Core is the state of one agent's engine.
type Core struct {
	options Options
	known   bool
	target  Target
	report  *engine.Report
	// endedAt is when the last order ended; older reports do not show it.
	endedAt time.Time
	ready   fleet.Digest
	fetched fleet.Digest
	busy    bool
	// loading is the root of the load in progress; zero for an unload.
	loading fleet.Digest
	fence   int64

	failures  int
	notBefore time.Time

	serving   fleet.Digest
	switching bool
	adopted   bool

	drainSeq uint64
	draining map[fleet.Digest]uint64
	drained  map[fleet.Digest]bool

	turn turn
}

// New returns a core. Fencing tokens begin at the start's milliseconds, so
// that they grow over restarts although nothing is stored.
func New(o Options) *Core {
	return &Core{
		options:  o,
		fence:    o.Start.UnixMilli() - 1,
		draining: map[fleet.Digest]uint64{},
		drained:  map[fleet.Digest]bool{},
	}
}

// Step feeds one event and returns what to do, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Target:
		c.setTarget(e)
	case WeightsReady:
		if e.Root == c.fetched {
			c.ready = e.Root
		}
	case WeightsGone:
		c.forget(e.Root)
	case Reported:
		c.setReport(e)
	case OrderEnded:
		c.orderEnded(now, e.Err)
	case Drained:
		if c.draining[e.Root] == e.Seq {
			c.drained[e.Root] = true
		}
	}
	if !c.known {
		return nil
	}
	wantsTurn := c.mustGiveUp()
	granted := wantsTurn && c.mayTakeTurn(now)
	actions := c.serve(granted)
	return append(actions, c.order(now)...)
}

func (c *Core) setTarget(t Target) {
	if rootOf(c.target) != rootOf(t) {
		// A transfer of a root that was not named for a while has ended, so
		// its weights are asked for again.
		c.failures = 0
		c.fetched = fleet.Digest{}
		c.ready = fleet.Digest{}
	}
	c.known = true
	c.target = t
}

func rootOf(t Target) fleet.Digest {
	if t.Profile == nil {
		return fleet.Digest{}
	}
	return t.Profile.Weights.Root
}

func (c *Core) forget(root fleet.Digest) {
	if c.ready == root {
		c.ready = fleet.Digest{}
	}
	if c.fetched == root {
		c.fetched = fleet.Digest{}
	}
}

// setReport takes in a report unless it was asked for before the last order
// ended, since such a report may not show what the order did.
func (c *Core) setReport(e Reported) {
	if e.Report != nil && e.Asked.Before(c.endedAt) {
		return
	}
	c.report = e.Report
}

// orderEnded awaits a new report, and after a failure a growing delay. An
// engine that ignores tokens may still be working on an order whose end is
// not known, so that it gets the next one only after the settling time.
func (c *Core) orderEnded(now time.Time, err error) {
	c.busy = false
	c.report = nil
	c.endedAt = now
	if err == nil {
		c.failures = 0
		return
	}
	delay := min(retryFirst<<min(c.failures, 10), retryMost)
	c.failures++
	if errors.Is(err, engine.ErrRefused) {
		// The chunks may have been freed since they were ready, so the
		// transfer is asked to make sure of them.
		c.forget(c.loading)
	}
	if !c.target.ChecksFence && !errors.Is(err, engine.ErrFenced) && !errors.Is(err, engine.ErrRefused) {
		delay = max(delay, c.options.Settle)
	}
	c.notBefore = now.Add(delay)
}

// serve decides which root calls may reach. Only a root that the engine itself
// reported is ever served.
func (c *Core) serve(giveUp bool) []Action {
	root, switching := c.serving, c.switching
	target := rootOf(c.target)
	switch {
	case target.IsZero():
		root, switching = fleet.Digest{}, false
	case c.report != nil && c.report.Has(target):
		root, switching = target, false
	case c.report == nil:
		// Without a report the gate is closed by the failed health check; the
		// root is kept unless it was retired.
	case !c.serving.IsZero() && !c.report.Has(c.serving):
		root = fleet.Digest{}
	case giveUp:
		root, switching = fleet.Digest{}, true
	case c.serving.IsZero() && !c.adopted:
		root = c.adopt()
	}
	if c.report != nil {
		c.adopted = true
	}
	if !c.target.Named[root] {
		root = fleet.Digest{}
	}
	if root == c.serving && switching == c.switching {
		return nil
	}
	c.serving, c.switching = root, switching
	c.stopDraining(root)
	return []Action{Serve{Root: root, Switching: switching}}
}

// adopt returns a version that the engine held when this agent started: it
// serves on while the target is transferred.
func (c *Core) adopt() fleet.Digest {
	for _, l := range c.report.Loaded {
		if c.target.Named[l.Root] && l.Model == c.target.Profile.Model {
			return l.Root
		}
	}
	return fleet.Digest{}
}

// Serving returns the root that calls may reach.
func (c *Core) Serving() fleet.Digest { return c.serving }

// order returns the next order or request, at most one at a time.
func (c *Core) order(now time.Time) []Action {
	if c.report == nil || c.busy {
		return nil
	}
	target := rootOf(c.target)
	if target.IsZero() || c.report.Has(target) {
		return c.unload(now, c.victim())
	}
	if fetch := c.fetch(target); fetch != nil {
		return fetch
	}
	if c.ready != target {
		return nil
	}
	if victim := c.victim(); !victim.IsZero() {
		return c.unload(now, victim)
	}
	if !c.target.LoadsAlongside && !c.serving.IsZero() {
		return nil
	}
	if !c.mayOrder(now) {
		return nil
	}
	c.loading = target
	return []Action{Load{Profile: c.target.Profile, Fence: c.nextFence()}}
}

func (c *Core) fetch(target fleet.Digest) []Action {
	if c.fetched == target {
		return nil
	}
	c.fetched = target
	c.ready = fleet.Digest{}
	return []Action{Fetch{Profile: c.target.Profile}}
}

// victim returns a loaded root that is neither served nor wanted, or zero.
func (c *Core) victim() fleet.Digest {
	for _, l := range c.report.Loaded {
		if l.Root != c.serving && l.Root != rootOf(c.target) {
			return l.Root
		}
	}
	return fleet.Digest{}
}

// unload frees a root after the calls that use it ended.
func (c *Core) unload(now time.Time, root fleet.Digest) []Action {
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
	c.loading = fleet.Digest{}
	return []Action{Unload{Root: root, Fence: c.nextFence()}}
}

// stopDraining forgets what was asked about a root that is served again.
func (c *Core) stopDraining(root fleet.Digest) {
	delete(c.draining, root)
	delete(c.drained, root)
}

// mayOrder reports whether the waiting times before an order have passed.
func (c *Core) mayOrder(now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	return c.target.ChecksFence || !now.Before(c.options.Start.Add(c.options.Settle))
}

// nextFence returns the token of an order that is about to be sent.
func (c *Core) nextFence() int64 {
	c.busy = true
	c.fence = max(c.fence, c.report.Fence) + 1
	return c.fence
}
