package peering

import (
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/quota"
)

const (
	// discoveryTime is how long after its start a process knows its peers: it sends to all
	// that it hears of in each round, and they tell it of others.
	discoveryTime = 10 * SendInterval
	// unknownProcesses is the number of processes with which one shares budgets before it
	// knows any. If all start at the same moment, their parts must not exceed the whole.
	unknownProcesses = 64
	// maxProcesses is the greatest number of processes that a message may state.
	maxProcesses = 1 << 16
)

// Place returns the place of this process among those that share budgets equally. Until it
// has had the time to find them, it takes their number from a peer that knows it, and a
// place by the hash of its address.
func (t *Table) Place(now time.Time) quota.Place {
	known := t.Processes()
	if t.discovered(now) {
		return quota.Place{Position: t.Position(), Processes: known}
	}
	n := t.stated
	if n == 0 {
		n = unknownProcesses
	}
	n = max(n, known)
	return quota.Place{Position: int(fleet.RendezvousWeight("place", t.self) % uint64(n)), Processes: n}
}

// StatedProcesses returns the number of processes to state in messages: 0 as long as this
// process may not know them.
func (t *Table) StatedProcesses(now time.Time) int {
	if !t.discovered(now) {
		return 0
	}
	return t.Processes()
}

// discovered reports whether this process has had the time to find its peers.
func (t *Table) discovered(now time.Time) bool {
	return !t.hasSeeds() || t.age(now) >= discoveryTime
}

// hasSeeds reports whether there are seeds other than this process.
func (t *Table) hasSeeds() bool {
	return slices.ContainsFunc(t.seeds, func(s string) bool { return s != t.self })
}

// age returns the time since this process was first asked for what it shares.
func (t *Table) age(now time.Time) time.Duration {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	return now.Sub(t.startedAt)
}
