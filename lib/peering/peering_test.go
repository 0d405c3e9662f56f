package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

var start = time.Unix(1000, 0)

// Guards against a peer that is never found because no seed names it.
func TestPeersAreFoundThroughOthers(t *testing.T) {
	a := NewTable("a", []string{"b", "a"})
	found := map[string]bool{}
	for range 10 {
		for _, target := range a.Targets(start) {
			found[target] = true
		}
	}
	require.Equal(t, map[string]bool{"b": true}, found)
	a.Heard(start, &Message{From: "b", Peers: []string{"a", "c"}})
	for range 10 {
		for _, target := range a.Targets(start) {
			found[target] = true
		}
	}
	require.Equal(t, map[string]bool{"b": true, "c": true}, found)
	require.Equal(t, 2, a.Processes(), "a peer counts once it was heard from")
}

// Guards against counts of a peer that fell silent.
func TestOldCountsAreNotUsed(t *testing.T) {
	table := NewTable("a", nil)
	table.Heard(start, &Message{From: "b", Loads: map[fleet.InstanceID]Load{"x": {Requests: 2, Prompt: 5}}})
	table.Heard(start.Add(loadLife), &Message{From: "c", Loads: map[fleet.InstanceID]Load{"x": {Requests: 1}}})
	require.Equal(t, Load{Requests: 3, Prompt: 5}, table.Others(start.Add(loadLife))["x"])
	require.Equal(t, Load{Requests: 1}, table.Others(start.Add(loadLife + time.Millisecond))["x"])
	require.Len(t, table.Live(start.Add(loadLife)), 2)
	table.Expire(start.Add(time.Hour))
	require.Equal(t, 1, table.Processes())
}

// Guards against a process that asks a peer which knows no more.
func TestNewerView(t *testing.T) {
	table := NewTable("a", nil)
	table.Heard(start, &Message{From: "b", Control: "cb", Revision: 5})
	table.Heard(start, &Message{From: "c", Control: "cc", Revision: 7})
	peer, ok := table.Newer(start, 5)
	require.True(t, ok)
	require.Equal(t, "cc", peer)
	_, ok = table.Newer(start, 7)
	require.False(t, ok)
}

// Guards against messages whose number grows with the fleet, and against peers
// that are left out for ever.
func TestMessagesAreBounded(t *testing.T) {
	table := NewTable("self", nil)
	for i := range 100 {
		table.Heard(start, &Message{From: fmt.Sprintf("peer-%d", i)})
	}
	reached := map[string]bool{}
	for range 100 {
		targets := table.Targets(start)
		require.LessOrEqual(t, len(targets), Fanout+1)
		for _, a := range targets {
			reached[a] = true
		}
	}
	require.Len(t, reached, 100)
	require.LessOrEqual(t, len(table.Named()), maxNamed)
}

// Guards against seeds of changed settings that are never asked.
func TestChangedSeeds(t *testing.T) {
	table := NewTable("a", []string{"old"})
	table.SetSeeds([]string{"new"})
	found := map[string]bool{}
	for range 10 {
		for _, target := range table.Targets(start) {
			found[target] = true
		}
	}
	require.Equal(t, map[string]bool{"new": true}, found)
}
