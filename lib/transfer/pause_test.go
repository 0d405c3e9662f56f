package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// Guards against loaders that load the narrow links of others for longer than a seeder
// pauses: queries that failed meanwhile count until the next one, which is delayed the more
// of them failed.
func TestSeederIsUsedAgainAfterAPause(t *testing.T) {
	now := time.Unix(1000, 0)
	self, seeder, other := Peer{ID: "self", Region: "north"}, Peer{ID: "s", Region: "north", Seeder: true}, Peer{ID: "b", Region: "north"}
	const chunks = 8
	c := New(Options{Self: self, StoreRegion: "south", Root: rootA, Chunks: chunks}, Limits{
		FollowedPeers: 4, Fetchers: 1, MaxFetches: 1, MaxInFlightPerPeer: 1, MaxInFlight: 2, TakeoverDelay: time.Minute,
		HaveInterval: 50 * time.Millisecond, HaveBusyInterval: 500 * time.Millisecond, Copies: 1,
	}, now)
	all := NewSet(chunks)
	for i := range chunks {
		all.Add(i)
	}
	c.Step(now, PeersChanged{Peers: []Peer{self, seeder, other}})
	step := func(after time.Duration, e Event) []RequestChunk { return chunkRequests(c.Step(now.Add(after), e)) }
	toSeeder := step(0, HaveReceived{Peer: "s", Update: HaveUpdate{Full: true, Have: all}})
	require.Len(t, toSeeder, 1)
	require.Empty(t, step(0, HaveReceived{Peer: "b", Update: HaveUpdate{Full: true, Have: all}}), "a seeder is available")

	toOther := step(600*time.Millisecond, HaveFailed{Peer: "s"})
	require.Len(t, toOther, 1)
	require.Equal(t, fleet.InstanceID("b"), toOther[0].Source.Peer)
	step(1500*time.Millisecond, HaveFailed{Peer: "s"})

	again := step(1700*time.Millisecond, ChunkEnded{Index: toSeeder[0].Index, Source: toSeeder[0].Source})
	require.Len(t, again, 1)
	require.Equal(t, fleet.InstanceID("s"), again[0].Source.Peer)
	require.Empty(t, step(1750*time.Millisecond, ChunkEnded{Index: toOther[0].Index, Source: toOther[0].Source}), "the seeder is back")
}
