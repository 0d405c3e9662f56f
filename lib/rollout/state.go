package rollout

import (
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// State is a snapshot of a core for status pages.
type State struct {
	Target    fleet.Digest    `json:"target,omitzero"`
	Serving   fleet.Digest    `json:"serving,omitzero"`
	Switching bool            `json:"switching"`
	Loaded    []engine.Loaded `json:"loaded"`
	// RequestedRoot is the root whose weights were requested; Ready is set once
	// they are complete.
	RequestedRoot   fleet.Digest `json:"transfer,omitzero"`
	Ready           bool         `json:"ready"`
	OrderInProgress bool         `json:"ordering"`
	Fence           int64        `json:"fence"`
	Failures        int          `json:"failures"`
	EngineAnswers   bool         `json:"engine_answers"`
}

// State returns a snapshot of the core.
func (c *Core) State() State {
	s := State{
		Target: rootOf(c.target), Serving: c.servingRoot, Switching: c.switching,
		RequestedRoot: c.requestedRoot, Ready: !c.readyRoot.IsZero() && c.readyRoot == c.requestedRoot,
		OrderInProgress: c.orderInProgress, Fence: c.fence, Failures: c.failures, EngineAnswers: c.report != nil,
	}
	if c.report != nil {
		s.Loaded = append(s.Loaded, c.report.Loaded...)
	}
	return s
}
