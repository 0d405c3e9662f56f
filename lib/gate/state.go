package gate

import "rattanspur.example/lib/fleet"

// State is a readable copy of a gate.
type State struct {
	// Ready says that a call for the served version could be admitted, apart
	// from the limit. It is as old as the last input.
	Ready bool `json:"ready"`
	// Closed is the reason why a call would be refused.
	Closed   Reason       `json:"closed,omitempty"`
	Serving  fleet.Digest `json:"serving,omitzero"`
	BootID   string       `json:"boot_id,omitempty"`
	Limit    int          `json:"limit"`
	InFlight int          `json:"in_flight"`
	Warm     bool         `json:"warm"`
	Suspects int          `json:"suspects"`
}

// State returns the gate's state at its last input.
func (g *Gate) State() State {
	c := Call{Root: g.upstream.Root, Deadline: g.seen.Add(1)}
	s := State{
		Closed:   g.Check(g.seen, c),
		Serving:  g.upstream.Root,
		BootID:   g.upstream.BootID,
		Limit:    g.limit,
		InFlight: g.inFlight,
		Warm:     g.Warm(),
		Suspects: len(g.suspects),
	}
	s.Ready = s.Closed == Admitted
	return s
}
