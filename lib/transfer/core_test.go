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

// Guards against a transfer that fetches much more than one copy from the origin
// or much more than one copy into each other region.
func TestEachRegionFetchesOneCopy(t *testing.T) {
	s := newSim(60, 200, "north", "south", "west")
	s.startAll(rootA)
	require.True(t, s.run(2*time.Minute))
	require.LessOrEqual(t, s.originFetches, 240)
	for region, chunks := range s.crossRegion {
		require.LessOrEqual(t, chunks, 240, region)
	}
	require.Zero(t, s.crossRegion["north"])
}

// Guards against a transfer that does not end, or that sends requests without
// bound, when agents misbehave or fail.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(s *sim)
		// wasted is the largest number of requests of one agent without a chunk.
		wasted int
	}{
		"corrupt peers": {func(s *sim) { s.agents[0].corrupt, s.agents[3].corrupt = true, true }, 60},
		"stalled peers": {func(s *sim) { s.agents[0].stalled, s.agents[4].stalled = true, true }, 60},
		"lying peers":   {func(s *sim) { s.agents[0].liesAboutHaves, s.agents[1].liesAboutHaves = true, true }, 60},
		"agents die in transfer": {func(s *sim) {
			s.schedule(400*time.Millisecond, func() {
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
			s.startAll(rootA)
			require.True(t, s.run(5*time.Minute), "not complete after 5 min of virtual time")
			for _, a := range s.agents {
				require.LessOrEqual(t, a.wasted, c.wasted, a.id)
			}
		})
	}
}

// Guards against chunks that nobody fetches when the fetchers of the origin
// region die.
func TestAllFetchersOfTheOriginRegionDie(t *testing.T) {
	s := newSim(20, 64, "north", "south")
	s.startAll(rootA)
	placement := NewPlacement(Peer{ID: "none", Region: "north"}, s.members(rootA), "north", rootA, s.limits.Fetchers+1)
	s.schedule(100*time.Millisecond, func() {
		for _, p := range placement.Fetchers() {
			if a := s.byID[p.ID]; a != nil {
				a.dead = true
			}
		}
	})
	require.True(t, s.run(10*time.Minute))
}

// Guards against late joiners that use the origin although peers retain all
// chunks, also those peers that the joiner does not follow.
func TestLateJoinerIsServedByPeers(t *testing.T) {
	s := newSim(40, 128, "north")
	s.startAll(rootA)
	require.True(t, s.run(time.Minute))
	members := s.members(rootA)
	for _, a := range s.agents {
		kept := Retained(a.id, members, rootA, s.chunks, 3)
		a.core = New(Options{Self: Peer{ID: a.id, Region: a.region}, Chunks: s.chunks, Root: rootA, Have: kept}, s.limits, s.now)
		a.retaining = true
	}
	s.originFetches = 0
	joiner := s.add("joiner", "north")
	joiner.root = rootA
	s.startTransfer(joiner, rootA, nil)
	require.True(t, s.run(time.Minute))
	require.Zero(t, s.originFetches)
}

// Guards against chunks of one root that count for another when the root is
// replaced in mid-transfer and then restored.
func TestTwoRoots(t *testing.T) {
	s := newSim(16, 64, "north", "south")
	s.startAll(rootA)
	s.schedule(500*time.Millisecond, func() { s.startAll(rootB) })
	s.schedule(time.Second, func() {
		for _, a := range s.agents {
			require.True(t, a.completedAt.IsZero() || a.root == rootB, "completed a replaced root")
		}
		s.startAll(rootA)
	})
	require.False(t, s.run(900*time.Millisecond))
	require.True(t, s.run(time.Minute))
	for _, a := range s.agents {
		require.Equal(t, rootA, a.root)
		require.Equal(t, s.chunks, a.core.Have().Count())
	}
}

// Guards against counting the response to an earlier request as a chunk.
func TestEndWithoutRequestIsIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	core := New(Options{Self: Peer{ID: "a", Region: "north"}, StoreRegion: "north", Chunks: 2}, Limits{MaxInFlight: 1, MaxFetches: 1}, now)
	core.Step(now, ChunkEnded{Index: 1, Outcome: Verified})
	core.Step(now, ChunkEnded{Index: 0, Source: Source{Peer: "b"}, Outcome: Verified})
	require.Equal(t, 2, core.Missing())
}

// Guards against delays that do not grow with each failure, and against further
// requests to a peer that repeatedly sent corrupt chunks.
func TestPenaltyGrowsAndBans(t *testing.T) {
	now := time.Unix(0, 0)
	s := &sourceState{peer: true}
	s.requestEnded(now, ChunkEnded{Outcome: Failed})
	first := s.avoidUntil
	s.requestEnded(now, ChunkEnded{Outcome: Failed})
	require.Equal(t, 2*first.Sub(now), s.avoidUntil.Sub(now))
	s.requestEnded(now, ChunkEnded{Outcome: Verified})
	for range maxCorrupt {
		require.False(t, s.banned())
		s.requestEnded(now, ChunkEnded{Outcome: Corrupt})
		s.requestEnded(now, ChunkEnded{Outcome: Verified})
	}
	require.True(t, s.banned())
}
