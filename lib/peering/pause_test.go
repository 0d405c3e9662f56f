package peering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// Guards against loaders that leave out the seeder on a gateway's machine, and divide
// pieces anew, because the gateway pauses for a moment.
func TestPausedPeerStaysInTheRoster(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		table := NewTable("a", "north", nil)
		table.Record(start, &Message{From: "b", Control: "cb", Region: "north"})
		require.Len(t, table.Live(start.Add(pause)), 1, pause)
		require.Empty(t, table.Live(start.Add(memberTTL)))
	}
}

// Guards against a process that pauses and then takes all slots and finds all upstreams
// empty, because it takes its own pause for the silence of its peers.
func TestOwnPauseIsNotTheSilenceOfPeers(t *testing.T) {
	own := map[fleet.Service]Demand{"s": {PerSecond: 1}}
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		table := NewTable("a", "north", nil)
		now := start
		// round is what a process does at each SendInterval.
		round := func() (requests int, share float64) {
			table.Expire(now)
			s := table.Shares(now, own)["s"]
			return table.PeerLoads(now)["x"].Requests, s.High - s.Low
		}
		for range 10 {
			now = now.Add(SendInterval)
			table.Record(now, &Message{
				From: "b", Loads: map[fleet.InstanceID]Load{"x": {Requests: 3}}, Demands: map[fleet.Service]Demand{"s": {PerSecond: 3}},
			})
			round()
		}
		now = now.Add(pause)
		requests, share := round()
		require.Equal(t, 3, requests, pause)
		require.InDelta(t, 0.25, share, 1e-9, pause)
		// The peer is really silent.
		for range loadTTL / SendInterval {
			now = now.Add(SendInterval)
			requests, share = round()
		}
		require.Zero(t, requests)
		require.InDelta(t, 1, share, 1e-9)
	}
}

// Guards against a process that was suspended for long and then uses what its peers have
// divided among themselves meanwhile.
func TestLongPauseMakesPeersUnknown(t *testing.T) {
	table := NewTable("a", "north", []string{"b"})
	table.Record(start, &Message{From: "b"})
	table.Expire(start)
	now := start.Add(memberTTL + time.Second)
	table.Expire(now)
	require.Equal(t, 1, table.Processes())
}
