package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

var (
	rootA = fleet.Digest{1}
	rootB = fleet.Digest{2}
)

// Guards against a swarm that draws more than about one copy from the origin
// and one copy into each other region.
func TestEachRegionDrawsOneCopy(t *testing.T) {
	s := newSim(60, 200, "north", "south", "west")
	s.beginAll(rootA)
	require.True(t, s.run(2*time.Minute))
	require.LessOrEqual(t, s.draws, 240)
	for region, chunks := range s.crossed {
		require.LessOrEqual(t, chunks, 240, region)
	}
	require.Zero(t, s.crossed["north"])
}

// Guards against a transfer that ends or costs without bound when agents
// misbehave or fail.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(s *sim)
		// wasted bounds the requests of one agent that brought no chunk.
		wasted int
	}{
		"corrupt peers": {func(s *sim) { s.agents[0].corrupt, s.agents[3].corrupt = true, true }, 60},
		"stalled peers": {func(s *sim) { s.agents[0].stalled, s.agents[4].stalled = true, true }, 60},
		"lying peers":   {func(s *sim) { s.agents[0].liar, s.agents[1].liar = true, true }, 60},
		"agents die in transfer": {func(s *sim) {
			s.at(400*time.Millisecond, func() {
				for i := 0; i < 8; i++ {
					s.agents[i].dead = true
				}
			})
		}, 120},
		"store is busy": {func(s *sim) { s.hasStore, s.storeBusy = true, true }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(24, 96, "north", "south")
			c.fault(s)
			s.beginAll(rootA)
			require.True(t, s.run(5*time.Minute), "not complete after 5 min of virtual time")
			for _, a := range s.agents {
				require.LessOrEqual(t, a.wasted, c.wasted, a.id)
			}
		})
	}
}

// Guards against a dead home region or dead drawers that leave chunks undrawn.
func TestAllDrawersOfTheHomeRegionDie(t *testing.T) {
	s := newSim(20, 64, "north", "south")
	s.beginAll(rootA)
	place := Place(Peer{ID: "none", Region: "north"}, s.members(rootA), "north", rootA, s.limits.Drawers+1)
	s.at(100*time.Millisecond, func() {
		for _, p := range place.Drawers() {
			if a := s.byID[p.ID]; a != nil {
				a.dead = true
			}
		}
	})
	require.True(t, s.run(10*time.Minute))
}

// Guards against late joiners that use the origin although peers retain all
// chunks, also those that the joiner does not follow.
func TestLateJoinerIsServedByPeers(t *testing.T) {
	s := newSim(40, 128, "north")
	s.beginAll(rootA)
	require.True(t, s.run(time.Minute))
	members := s.members(rootA)
	for _, a := range s.agents {
		kept := Retained(a.id, members, rootA, s.chunks, 3)
		a.core = New(Start{Self: Peer{ID: a.id, Region: a.region}, Chunks: s.chunks, Root: rootA, Have: kept}, s.limits, s.now)
		a.retaining = true
	}
	s.draws = 0
	joiner := s.add("joiner", "north")
	joiner.root = rootA
	s.begin(joiner, rootA, nil)
	require.True(t, s.run(time.Minute))
	require.Zero(t, s.draws)
}

// Guards against chunks of one root that count for another: a newer root in
// mid-transfer and back again.
func TestTwoRoots(t *testing.T) {
	s := newSim(16, 64, "north", "south")
	s.beginAll(rootA)
	s.at(500*time.Millisecond, func() { s.beginAll(rootB) })
	s.at(time.Second, func() {
		for _, a := range s.agents {
			require.True(t, a.done.IsZero() || a.root == rootB, "completed a root that was replaced")
		}
		s.beginAll(rootA)
	})
	require.False(t, s.run(900*time.Millisecond))
	require.True(t, s.run(time.Minute))
	for _, a := range s.agents {
		require.Equal(t, rootA, a.root)
		require.Equal(t, s.chunks, a.core.Have().Count())
	}
}

// Guards against an answer to an earlier request that counts as a chunk.
func TestEndWithoutRequestIsIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	c := New(Start{Self: Peer{ID: "a", Region: "north"}, StoreRegion: "north", Chunks: 2}, Limits{InFlight: 1, Draws: 1}, now)
	c.Step(now, ChunkEnded{Index: 1, Outcome: Verified})
	c.Step(now, ChunkEnded{Index: 0, Source: Source{Peer: "b"}, Outcome: Verified})
	require.Equal(t, 2, c.Missing())
}

// Guards against penalties that do not grow and against peers that are asked
// again after repeated corruption.
func TestPenaltyGrowsAndBans(t *testing.T) {
	now := time.Unix(0, 0)
	s := &sourceState{peer: true}
	s.ended(now, ChunkEnded{Outcome: Failed})
	first := s.avoid
	s.ended(now, ChunkEnded{Outcome: Failed})
	require.Equal(t, 2*first.Sub(now), s.avoid.Sub(now))
	s.ended(now, ChunkEnded{Outcome: Verified})
	for range maxCorrupt {
		require.False(t, s.banned())
		s.ended(now, ChunkEnded{Outcome: Corrupt})
		s.ended(now, ChunkEnded{Outcome: Verified})
	}
	require.True(t, s.banned())
}
