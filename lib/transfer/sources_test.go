package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a delay that grows with each corrupt chunk of the origin, which
// may send a few of them among many and which nothing replaces.
func TestCorruptChunksBarelyDelayTheOrigin(t *testing.T) {
	now := time.Unix(1000, 0)
	origin := &sourceState{}
	for range 20 {
		origin.requestEnded(now, ChunkEnded{Outcome: Corrupt})
		require.LessOrEqual(t, origin.avoidUntil.Sub(now), minBusyDelay)
		origin.requestEnded(now, ChunkEnded{Outcome: Verified})
	}
	peer := &sourceState{peer: true}
	for range maxCorrupt {
		peer.requestEnded(now, ChunkEnded{Outcome: Corrupt})
	}
	require.True(t, peer.banned())
	require.GreaterOrEqual(t, peer.avoidUntil.Sub(now), minFailureDelay)
}

// Guards against an origin that is avoided for much longer than it was
// unavailable. Nothing replaces it, and a region without another fetcher gets
// no chunks in the meantime.
func TestFailedOriginIsRetriedSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	origin, peer := &sourceState{}, &sourceState{peer: true}
	for range 8 {
		origin.requestEnded(now, ChunkEnded{Outcome: Failed})
		peer.requestEnded(now, ChunkEnded{Outcome: Failed})
		require.LessOrEqual(t, origin.avoidUntil.Sub(now), time.Second)
	}
	require.Greater(t, peer.avoidUntil.Sub(now), 10*time.Second)
}

// Guards against an agent of a region with seeders that sends over its narrow
// link, and against a peer without any source when the seeder times out.
func TestOnlySeedersSend(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := []Peer{{ID: "seeder", Region: "north", Seeder: true}, {ID: "a", Region: "north"}, {ID: "b", Region: "north"}}
	limits := newSim(0, 0, "north").limits
	c := New(Options{Self: peers[1], StoreRegion: "north", Chunks: 4}, limits, now)
	require.Empty(t, c.placement.Fetchers()[1:])
	require.Equal(t, "seeder", string(c.placementOf(peers).Fetchers()[0].ID))
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
	// When the seeder does not answer, the other peer is used.
	for i := range 4 {
		c.Step(now, ChunkEnded{Index: i, Source: Source{Peer: "seeder"}, Outcome: Failed})
	}
	c.Step(now, HaveFailed{Peer: "seeder"})
	c.Step(now, Tick{})
	fromOther := 0
	for _, request := range c.requests {
		if request.source.Peer == "b" {
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
	c := New(Options{Self: peers[0], StoreRegion: "north", Chunks: 4}, newSim(0, 0, "north").limits, now)
	c.Step(now, PeersChanged{Peers: peers})
	c.Step(now, HaveReceived{Peer: "s2", Update: HaveUpdate{Full: true, Have: NewSet(4)}})
	have := NewSet(4)
	for i := range 4 {
		have.Add(i)
	}
	c.Step(now, HaveReceived{Peer: "a", Update: HaveUpdate{Full: true, Have: have}})
	require.NotEmpty(t, c.requests)
}

// Guards against a peer that waits forever for a seeder which never gets the
// chunks that another peer holds.
func TestPeerDoesNotWaitForAStuckSeeder(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := []Peer{{ID: "s", Region: "south", Seeder: true}, {ID: "a", Region: "south"}, {ID: "b", Region: "south"}}
	limits := newSim(0, 0, "north").limits
	c := New(Options{Self: peers[1], StoreRegion: "north", Chunks: 4}, limits, now)
	c.Step(now, PeersChanged{Peers: peers})
	c.Step(now, HaveReceived{Peer: "s", Update: HaveUpdate{Full: true, Have: NewSet(4)}})
	have := NewSet(4)
	have.Add(1)
	c.Step(now, HaveReceived{Peer: "b", Update: HaveUpdate{Full: true, Have: have}})
	require.Empty(t, c.requests)
	c.Step(now.Add(limits.TakeoverDelay), Tick{})
	require.NotEmpty(t, c.requests)
}

func (c *Core) placementOf(peers []Peer) *Placement {
	c.setPeers(peers)
	return &c.placement
}
