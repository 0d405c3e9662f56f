// Package rollout decides which weights an agent fetches and which orders its
// engine gets. The core is pure: events and a time in, actions out.
package rollout

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// Event is an input of the core.
type Event interface{ event() }

// Target names the profile to serve; nil means none.
type Target struct {
	Profile *config.Profile
	// LoadsAlongside says that the engine can hold two versions at once.
	LoadsAlongside bool
}

// WeightsReady says that every chunk of a root is verified and held here.
type WeightsReady struct{ Root fleet.Digest }

// Reported carries the engine's load report; nil means that it did not answer.
type Reported struct{ Report *engine.Report }

// OrderEnded says how the order in progress ended.
type OrderEnded struct{ Err error }

func (Target) event()       {}
func (WeightsReady) event() {}
func (Reported) event()     {}
func (OrderEnded) event()   {}

// Action is an output of the core.
type Action interface{ action() }

// Fetch asks for the weights of a profile to be transferred.
type Fetch struct{ Profile *config.Profile }

// Load orders the engine to load a profile.
type Load struct {
	Profile *config.Profile
	Fence   int64
}

// Unload orders the engine to free a root.
type Unload struct {
	Root  fleet.Digest
	Fence int64
}

// Serve names the root that calls may reach; zero means none.
type Serve struct{ Root fleet.Digest }

func (Fetch) action()  {}
func (Load) action()   {}
func (Unload) action() {}
func (Serve) action()  {}

// Core is the state of one agent's engine.
type Core struct {
	target  *config.Profile
	report  *engine.Report
	ready   fleet.Digest
	fetched fleet.Digest
	busy    bool
	serving fleet.Digest
	fence   int64
}

// New returns a core for an agent that started at the given time. Fencing
// numbers begin at the start's milliseconds, so that they grow over restarts
// although nothing is stored.
func New(start time.Time) *Core { return &Core{fence: start.UnixMilli()} }

// Step feeds one event and returns what to do.
func (c *Core) Step(e Event) []Action {
	switch e := e.(type) {
	case Target:
		c.target = e.Profile
	case WeightsReady:
		c.ready = e.Root
	case Reported:
		c.report = e.Report
		if e.Report != nil {
			c.fence = max(c.fence, e.Report.Fence)
		}
	case OrderEnded:
		c.busy = false
		c.report = nil
	}
	return append(c.orders(), c.serve()...)
}

func (c *Core) orders() []Action {
	if c.target == nil || c.report == nil || c.busy {
		return nil
	}
	root := c.target.Weights.Root
	if c.report.Has(root) {
		return c.unloadOthers(root)
	}
	if c.ready != root {
		if c.fetched == root {
			return nil
		}
		c.fetched = root
		return []Action{Fetch{Profile: c.target}}
	}
	c.busy = true
	c.fence++
	return []Action{Load{Profile: c.target, Fence: c.fence}}
}

func (c *Core) unloadOthers(root fleet.Digest) []Action {
	for _, l := range c.report.Loaded {
		if l.Root != root {
			c.busy = true
			c.fence++
			return []Action{Unload{Root: l.Root, Fence: c.fence}}
		}
	}
	return nil
}

// serve opens the gate only for a root that the engine itself reported.
func (c *Core) serve() []Action {
	var root fleet.Digest
	if c.target != nil && c.report != nil && c.report.Has(c.target.Weights.Root) {
		root = c.target.Weights.Root
	}
	if c.report == nil && c.busy {
		root = c.serving
	}
	if root == c.serving {
		return nil
	}
	c.serving = root
	return []Action{Serve{Root: root}}
}
