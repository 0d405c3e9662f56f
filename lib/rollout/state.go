package rollout

import (
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// State is a readable copy of a core.
type State struct {
	Target    fleet.Digest    `json:"target,omitzero"`
	Serving   fleet.Digest    `json:"serving,omitzero"`
	Switching bool            `json:"switching"`
	Loaded    []engine.Loaded `json:"loaded"`
	// Transfer is the root whose weights were asked for; Ready says that they
	// are complete.
	Transfer  fleet.Digest `json:"transfer,omitzero"`
	Ready     bool         `json:"ready"`
	Ordering  bool         `json:"ordering"`
	Fence     int64        `json:"fence"`
	Failures  int          `json:"failures"`
	Answering bool         `json:"engine_answers"`
}

// State returns the core's state.
func (c *Core) State() State {
	s := State{
		Target: rootOf(c.target), Serving: c.serving, Switching: c.switching,
		Transfer: c.fetched, Ready: !c.ready.IsZero() && c.ready == c.fetched,
		Ordering: c.busy, Fence: c.fence, Failures: c.failures, Answering: c.report != nil,
	}
	if c.report != nil {
		s.Loaded = append(s.Loaded, c.report.Loaded...)
	}
	return s
}
