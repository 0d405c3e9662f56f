package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an origin that spoils a few of many chunks and is left alone
// for longer with each of them: nothing replaces it.
func TestSpoiltChunksOfTheOriginCostLittleTime(t *testing.T) {
	now := time.Unix(1000, 0)
	origin := &sourceState{}
	for range 20 {
		origin.ended(now, ChunkEnded{Outcome: Corrupt})
		require.LessOrEqual(t, origin.avoid.Sub(now), busyFor)
		origin.ended(now, ChunkEnded{Outcome: Verified})
	}
	peer := &sourceState{peer: true}
	for range maxCorrupt {
		peer.ended(now, ChunkEnded{Outcome: Corrupt})
	}
	require.True(t, peer.banned())
	require.GreaterOrEqual(t, peer.avoid.Sub(now), failedFor)
}

// Guards against an origin that was away for some seconds and is left alone for
// many more: nothing replaces it, and a region without another drawer gets
// nothing meanwhile.
func TestOriginThatWasAwayIsAskedAgainSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	origin, peer := &sourceState{}, &sourceState{peer: true}
	for range 8 {
		origin.ended(now, ChunkEnded{Outcome: Failed})
		peer.ended(now, ChunkEnded{Outcome: Failed})
		require.LessOrEqual(t, origin.avoid.Sub(now), time.Second)
	}
	require.Greater(t, peer.avoid.Sub(now), 10*time.Second)
}

// Guards against an agent of a seeded region that sends over its narrow link,
// and against one that is left without a source when the seeder is silent.
func TestSeedersAloneSend(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := []Peer{{ID: "seeder", Region: "north", Seeder: true}, {ID: "a", Region: "north"}, {ID: "b", Region: "north"}}
	limits := newSim(0, 0, "north").limits
	c := New(Start{Self: peers[1], StoreRegion: "north", Chunks: 4}, limits, now)
	require.Empty(t, c.place.Drawers()[1:])
	require.Equal(t, "seeder", string(c.setAndPlace(peers).Drawers()[0].ID))
	have := NewSet(4)
	for i := range 4 {
		have.Add(i)
	}
	c.Step(now, HaveReceived{Peer: "b", Update: HaveUpdate{Full: true, Have: have}})
	actions := c.Step(now, HaveReceived{Peer: "seeder", Update: HaveUpdate{Full: true, Have: have}})
	for _, a := range actions {
		if r, ok := a.(RequestChunk); ok {
			require.Equal(t, "seeder", string(r.Source.Peer))
		}
	}
	// The seeder does not answer: the other peer is used.
	for i := range 4 {
		c.Step(now, ChunkEnded{Index: i, Source: Source{Peer: "seeder"}, Outcome: Failed})
	}
	c.Step(now, HaveFailed{Peer: "seeder"})
	c.Step(now, Tick{})
	fromOther := 0
	for _, f := range c.flights {
		if f.source.Peer == "b" {
			fromOther++
		}
	}
	require.Positive(t, fromOther)
}

// Guards against two seeders of one region that wait for each other while
// other peers of the region hold every chunk.
func TestSeedersTakeChunksFromAnyone(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := []Peer{{ID: "s1", Region: "south", Seeder: true}, {ID: "s2", Region: "south", Seeder: true}, {ID: "a", Region: "south"}}
	c := New(Start{Self: peers[0], StoreRegion: "north", Chunks: 4}, newSim(0, 0, "north").limits, now)
	c.Step(now, PeersChanged{Peers: peers})
	c.Step(now, HaveReceived{Peer: "s2", Update: HaveUpdate{Full: true, Have: NewSet(4)}})
	have := NewSet(4)
	for i := range 4 {
		have.Add(i)
	}
	c.Step(now, HaveReceived{Peer: "a", Update: HaveUpdate{Full: true, Have: have}})
	require.NotEmpty(t, c.flights)
}

// Guards against a leaf that waits for ever for a seeder which never gets the
// chunks that another peer holds.
func TestLeafDoesNotWaitForAStuckSeeder(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := []Peer{{ID: "s", Region: "south", Seeder: true}, {ID: "a", Region: "south"}, {ID: "b", Region: "south"}}
	limits := newSim(0, 0, "north").limits
	c := New(Start{Self: peers[1], StoreRegion: "north", Chunks: 4}, limits, now)
	c.Step(now, PeersChanged{Peers: peers})
	c.Step(now, HaveReceived{Peer: "s", Update: HaveUpdate{Full: true, Have: NewSet(4)}})
	have := NewSet(4)
	have.Add(1)
	c.Step(now, HaveReceived{Peer: "b", Update: HaveUpdate{Full: true, Have: have}})
	require.Empty(t, c.flights)
	c.Step(now.Add(limits.TakeoverDelay), Tick{})
	require.NotEmpty(t, c.flights)
}

func (c *Core) setAndPlace(peers []Peer) *Placement {
	c.setPeers(peers)
	return &c.place
}
