// Package gossip decides what processes tell each other: which configuration
// they hold and who is a member. The core is pure.
package gossip

import (
	"sort"

	"rattanspur.example/lib/fleet"
)

// Table merges what the instance list and other processes say of the members.
type Table struct {
	self    fleet.Instance
	members map[fleet.InstanceID]fleet.Instance
}

// NewTable returns a table that holds only the process itself.
func NewTable(self fleet.Instance) *Table {
	return &Table{self: self, members: map[fleet.InstanceID]fleet.Instance{self.ID: self}}
}

// SetList replaces the members by a newer instance list. A member that said
// itself that it is leaving stays so, because the list lags.
func (t *Table) SetList(list []fleet.Instance) {
	next := map[fleet.InstanceID]fleet.Instance{t.self.ID: t.self}
	for _, m := range list {
		if m.ID == t.self.ID {
			continue
		}
		if t.members[m.ID].State == fleet.StateLeaving {
			m.State = fleet.StateLeaving
		}
		next[m.ID] = m
	}
	t.members = next
}

// Members returns all members in the order of their identifiers.
func (t *Table) Members() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
