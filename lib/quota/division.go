package quota

import (
	"cmp"
	"math"
	"slices"

	"rattanspur.example/lib/fleet"
)

// Place is the place of a process in the order of those that share a budget.
type Place struct {
	// Position counts from 0.
	Position  int
	Processes int
}

// EqualPart returns this process's part when a whole number is divided equally. The
// processes that get the remainder differ between offsets.
func (p Place) EqualPart(total, offset int) int {
	part := total / p.Processes
	if (p.Position+offset)%p.Processes < total%p.Processes {
		part++
	}
	return part
}

// Sharer is a process that shares a budget by demand.
type Sharer struct {
	// Process is the hash of the process's name; see NewSharer.
	Process uint64
	// Weight is the process's demand relative to that of the others.
	Weight float64
}

// NewSharer returns a sharer for the process of that name.
func NewSharer(name string, weight float64) Sharer {
	return Sharer{Process: fleet.RendezvousWeight(name, ""), Weight: weight}
}

// Owner returns the process that owns a unit of a budget, by weighted rendezvous
// hashing: each process owns units in proportion to its weight, and a change of one
// process's weight moves no units between the others. It returns 0 if no sharer has a
// weight above 0.
func Owner(unit uint64, sharers []Sharer) uint64 {
	owner, best := uint64(0), 0.0
	for _, s := range sharers {
		if s.Weight <= 0 {
			continue
		}
		if score := s.score(unit); owner == 0 || score > best || score == best && s.Process > owner {
			owner, best = s.Process, score
		}
	}
	return owner
}

// Candidates returns the positions of the sharers among which the units of one budget are
// divided: at most n of them, by rendezvous hashing without weights, so that a budget has
// few owners in a large fleet and a change of the fleet moves few budgets.
func Candidates(key uint64, sharers []Sharer, n int) []int {
	positions := make([]int, len(sharers))
	for i := range positions {
		positions[i] = i
	}
	if len(sharers) <= n {
		return positions
	}
	slices.SortFunc(positions, func(a, b int) int {
		return cmp.Compare(fleet.Mix(key^sharers[b].Process), fleet.Mix(key^sharers[a].Process))
	})
	return slices.Clone(positions[:n])
}

// score returns the process's weighted score for a unit. The greatest one wins.
func (s Sharer) score(unit uint64) float64 {
	// A number from 0 to 1, both excluded.
	uniform := (float64(fleet.Mix(unit^s.Process)>>hashShift) + 0.5) / (1 << fractionBits)
	return -s.Weight / math.Log(uniform)
}

// A float64 holds integers of up to fractionBits bits exactly.
const (
	fractionBits = 53
	hashShift    = 64 - fractionBits
)

// UnitKey returns the key of one unit of the budget of an upstream.
func UnitKey(id fleet.InstanceID, unit int) uint64 {
	return fleet.Mix(fleet.RendezvousWeight("unit", string(id)) + uint64(unit))
}
