// Package routing decides which upstream an attempt goes to. The core is pure.
package routing

import (
	"sort"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// Subset is the number of upstreams of a service that one entry works with.
const Subset = 64

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Table routes the calls of one entry.
type Table struct {
	self       fleet.Instance
	config     *config.Accepted
	candidates map[fleet.Service][]*Candidate
	byID       map[fleet.InstanceID]*Candidate
}

// Candidate is an upstream that calls may go to.
type Candidate struct {
	fleet.Instance
	inFlight int
}

// New returns an empty table of an entry.
func New(self fleet.Instance) *Table {
	return &Table{self: self, byID: map[fleet.InstanceID]*Candidate{}}
}

// Update takes in a configuration and the members. In-flight counts stay.
func (t *Table) Update(a *config.Accepted, members []fleet.Instance) {
	t.config = a
	old := t.byID
	t.byID = map[fleet.InstanceID]*Candidate{}
	t.candidates = map[fleet.Service][]*Candidate{}
	for _, m := range members {
		if m.Role != fleet.RoleAgent || m.State != fleet.StateLive || !a.DomainIn(m.FailureDomain) {
			continue
		}
		c := old[m.ID]
		if c == nil {
			c = &Candidate{}
		}
		c.Instance = m
		t.byID[m.ID] = c
		t.candidates[m.Service] = append(t.candidates[m.Service], c)
	}
	for s, list := range t.candidates {
		t.candidates[s] = t.subset(list)
	}
}

func (t *Table) subset(list []*Candidate) []*Candidate {
	self := string(t.self.ID)
	sort.Slice(list, func(i, j int) bool {
		return fleet.Rank(self, string(list[i].ID)) > fleet.Rank(self, string(list[j].ID))
	})
	return list[:min(len(list), Subset)]
}

// Pick chooses the less loaded of two random candidates that were not tried.
// It returns nil if there is none.
func (t *Table) Pick(s fleet.Service, tried map[fleet.InstanceID]bool, random Random) *Candidate {
	var open []*Candidate
	for _, c := range t.candidates[s] {
		if !tried[c.ID] {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	a, b := open[random(len(open))], open[random(len(open))]
	if b.inFlight < a.inFlight {
		a = b
	}
	a.inFlight++
	return a
}

// Done counts an attempt out.
func (t *Table) Done(id fleet.InstanceID) {
	if c := t.byID[id]; c != nil && c.inFlight > 0 {
		c.inFlight--
	}
}
