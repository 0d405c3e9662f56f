package transfer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "4711") }

// Guards against combinations of faults that leave a live agent without its
// weights, and against counting a chunk that no request verified.
func TestTransferCompletesDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []fleet.Region{"north", "south", "west"}[:rapid.IntRange(1, 3).Draw(t, "regions")]
		agents := rapid.IntRange(2, 20).Draw(t, "agents")
		s := newSim(agents, rapid.IntRange(1, 90).Draw(t, "chunks"), regions...)
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s.hasStore = rapid.Bool().Draw(t, "store")
		s.storeBusy = rapid.Bool().Draw(t, "store busy")
		if rapid.Bool().Draw(t, "repeats overdue requests") {
			s.limits.OverdueDelay = 500 * time.Millisecond
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, agents-1), 0, agents/2).Draw(t, "faulty") {
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				s.agents[i].corrupt = true
			case 1:
				s.agents[i].stalled = true
			case 2:
				s.agents[i].liesAboutHaves = true
			default:
				after := time.Duration(rapid.IntRange(0, 4000).Draw(t, "dies")) * time.Millisecond
				s.schedule(after, func() { s.agents[i].dead = true })
			}
		}
		s.startAll(rootA)
		if !s.run(30 * time.Minute) {
			t.Fatalf("not complete after 30 min of virtual time")
		}
		for _, a := range s.agents {
			if !a.completedAt.IsZero() && a.core.Have().Count() != s.chunks {
				t.Fatalf("%s completed with %d of %d chunks", a.id, a.core.Have().Count(), s.chunks)
			}
		}
	})
}

// Guards against a ranking that differs from sorting all peers by weight and
// taking the first.
func TestTopAgreesWithSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for i := range rapid.IntRange(0, 40).Draw(t, "peers") {
			peers = append(peers, Peer{ID: fleet.InstanceID(fmt.Sprintf("agent-%d", i))})
		}
		r := newRanking(peers)
		chunk := rapid.Uint64().Draw(t, "chunk")
		count := rapid.IntRange(0, maxTop).Draw(t, "count")
		top := r.top(chunk, count)
		require.Len(t, top, min(count, len(peers)))
		for i, h := range r.hashes {
			greater := 0
			for _, other := range r.hashes {
				if weight(other, chunk) > weight(h, chunk) {
					greater++
				}
			}
			if greater < len(top) {
				require.Equal(t, peers[i].ID, top[greater].ID)
			}
		}
	})
}

// Guards against retained shares that leave a chunk with fewer copies than
// requested, or an agent with far more than its part of the chunks.
func TestRetainedKeepsEveryChunk(t *testing.T) {
	s := newSim(30, 600, "north")
	s.startAll(rootA)
	copies := make([]int, s.chunks)
	for _, a := range s.agents {
		kept := Retained(a.id, s.members(rootA), rootA, s.chunks, 3)
		require.InDelta(t, 60, kept.Count(), 30, "3/30 of 600 chunks")
		for i := range copies {
			if kept.Has(i) {
				copies[i]++
			}
		}
	}
	for i, n := range copies {
		require.Equal(t, 3, n, "chunk %d", i)
	}
}
