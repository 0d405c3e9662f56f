package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// overdueCore returns a transfer of some chunks that the peers a and b hold, and its
// requests so far.
func overdueCore(now time.Time, chunks int) (*Core, []RequestChunk) {
	limits := Limits{
		FollowedPeers: 4, Fetchers: 1, MaxFetches: 1, MaxInFlightPerPeer: 1, MaxInFlight: 4, TakeoverDelay: time.Minute,
		OverdueDelay: time.Second, HaveInterval: time.Minute, HaveBusyInterval: time.Minute, Copies: 1,
	}
	self := Peer{ID: "self", Region: "north"}
	c := New(Options{Self: self, StoreRegion: "south", Root: rootA, Chunks: chunks}, limits, now)
	c.Step(now, PeersChanged{Peers: []Peer{self, {ID: "a", Region: "north"}, {ID: "b", Region: "north"}}})
	all := NewSet(chunks)
	for i := range chunks {
		all.Add(i)
	}
	var sent []RequestChunk
	for _, id := range []fleet.InstanceID{"a", "b"} {
		sent = append(sent, chunkRequests(c.Step(now, HaveReceived{Peer: id, Update: HaveUpdate{Full: true, Have: all}}))...)
	}
	return c, sent
}

func chunkRequests(actions []Action) []RequestChunk {
	var out []RequestChunk
	for _, a := range actions {
		if r, ok := a.(RequestChunk); ok {
			out = append(out, r)
		}
	}
	return out
}

// Guards against a transfer that waits for a silent peer until its request ends, although
// another peer has the chunk, and against one that throws away what the silent peer sends
// when it goes on.
func TestChunkOfASilentPeerIsRequestedElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, first := range []string{"the other peer", "the silent peer"} {
		t.Run(first, func(t *testing.T) {
			c, sent := overdueCore(now, 1)
			require.Len(t, sent, 1)
			silent := sent[0].Source
			require.Empty(t, chunkRequests(c.Step(now.Add(900*time.Millisecond), Tick{})))
			again := chunkRequests(c.Step(now.Add(time.Second), Tick{}))
			require.Len(t, again, 1)
			require.Equal(t, sent[0].Index, again[0].Index)
			require.NotEqual(t, silent, again[0].Source)
			require.Empty(t, chunkRequests(c.Step(now.Add(3*time.Second), Tick{})), "no third request")

			order := []Source{again[0].Source, silent}
			if first == "the silent peer" {
				order = []Source{silent, again[0].Source}
			}
			actions := c.Step(now.Add(3*time.Second), ChunkEnded{Index: 0, Source: order[0]})
			require.Equal(t, []Action{Complete{}}, actions)
			require.Empty(t, c.Step(now.Add(3*time.Second), ChunkEnded{Index: 0, Source: order[1]}))
			require.Zero(t, c.Missing())
			require.Zero(t, c.source(silent).inFlight)
			require.Zero(t, c.source(again[0].Source).inFlight)
		})
	}
}

// Guards against a chunk that is requested twice while others have not been requested yet,
// and against a chunk that is never requested again after both requests failed.
func TestOverdueChunksAreRequestedLast(t *testing.T) {
	now := time.Unix(1000, 0)
	c, sent := overdueCore(now, 4)
	require.Len(t, sent, 2, "one request to each peer")
	silent := sent[0]
	end := func(after time.Duration, r RequestChunk) []RequestChunk {
		return chunkRequests(c.Step(now.Add(after), ChunkEnded{Index: r.Index, Source: r.Source}))
	}
	third := end(100*time.Millisecond, sent[1])
	require.Len(t, third, 1)
	require.Empty(t, chunkRequests(c.Step(now.Add(1200*time.Millisecond), Tick{})), "a chunk that was not requested is left")
	fourth := end(1200*time.Millisecond, third[0])
	require.Len(t, fourth, 1)
	require.NotEqual(t, silent.Index, fourth[0].Index)
	now = now.Add(1300 * time.Millisecond)
	overdue := end(0, fourth[0])
	require.Equal(t, []RequestChunk{{Index: silent.Index, Source: fourth[0].Source}}, overdue)

	for _, s := range []Source{overdue[0].Source, silent.Source} {
		c.Step(now, ChunkEnded{Index: silent.Index, Source: s, Outcome: Failed})
	}
	require.Equal(t, 1, c.Missing())
	require.Len(t, chunkRequests(c.Step(now.Add(time.Minute), Tick{})), 1)
}
