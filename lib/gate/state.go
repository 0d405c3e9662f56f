package gate

import "rattanspur.example/lib/fleet"

// State is a snapshot of a gate for status pages and metrics.
type State struct {
	// Ready is whether, at the last input, a call for the served version could
	// have been admitted, apart from the limit.
	Ready bool `json:"ready"`
	// ClosedReason is why a call would be refused; empty if Ready is set.
	ClosedReason Reason       `json:"closed,omitempty"`
	Serving      fleet.Digest `json:"serving,omitzero"`
	BootID       string       `json:"boot_id,omitempty"`
	Limit        int          `json:"limit"`
	InFlight     int          `json:"in_flight"`
	Warm         bool         `json:"warm"`
}

// State returns the state of the gate as of its last input.
func (g *Gate) State() State {
	c := Call{Root: g.lastCheck.Root, Deadline: g.lastInput.Add(1)}
	s := State{
		ClosedReason: g.Check(g.lastInput, c),
		Serving:      g.lastCheck.Root,
		BootID:       g.lastCheck.BootID,
		Limit:        g.limit,
		InFlight:     g.inFlight,
		Warm:         g.Warm(),
	}
	s.Ready = s.ClosedReason == Admitted
	return s
}
