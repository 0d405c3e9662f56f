package transfer

import (
	"fmt"
	"testing"
	"time"

	"rattanspur.example/lib/fleet"
)

// The expected size: a root of 10,000 chunks, 2,100 agents in 6 regions.
const (
	benchChunks = 10_000
	benchAgents = 2_100
)

func benchCore(now time.Time) (*Core, []Peer) {
	var peers []Peer
	for i := range benchAgents {
		peers = append(peers, Peer{ID: fleet.InstanceID(fmt.Sprintf("agent-%d", i)), Region: fleet.Region(fmt.Sprintf("region-%d", i%6))})
	}
	limits := newSim(0, 0, "north").limits
	limits.FollowedPeers, limits.Fetchers, limits.MaxInFlight, limits.MaxInFlightPerPeer = 16, 8, 4, 1
	c := New(Options{Self: peers[0], StoreRegion: "region-0", Root: rootA, Chunks: benchChunks}, limits, now)
	return c, peers
}

// BenchmarkChunkEnded measures the handling of one verified chunk and the
// requests that follow it, with 16 peers that hold half of the chunks each.
func BenchmarkChunkEnded(b *testing.B) {
	now := time.Unix(0, 0)
	c, peers := benchCore(now)
	actions := c.Step(now, PeersChanged{Peers: peers})
	var pending []RequestChunk
	collect := func(actions []Action) {
		for _, a := range actions {
			if r, ok := a.(RequestChunk); ok {
				pending = append(pending, r)
			}
		}
	}
	collect(actions)
	for k, p := range c.followed {
		half := NewSet(benchChunks)
		for i := k % 2; i < benchChunks; i += 2 {
			half.Add(i)
		}
		collect(c.Step(now, HaveReceived{Peer: p.ID, Update: HaveUpdate{Full: true, Have: half}}))
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if len(pending) == 0 || c.missing < benchChunks/10 {
			b.StopTimer()
			clear(c.have)
			c.missing = benchChunks
			b.StartTimer()
			collect(c.Step(now, Tick{}))
			continue
		}
		r := pending[0]
		pending = pending[1:]
		collect(c.Step(now, ChunkEnded{Index: r.Index, Source: r.Source}))
	}
}

// BenchmarkPeersChanged measures one change of the member list.
func BenchmarkPeersChanged(b *testing.B) {
	now := time.Unix(0, 0)
	c, peers := benchCore(now)
	for b.Loop() {
		c.Step(now, PeersChanged{Peers: peers})
	}
}

// BenchmarkRetained measures the choice of the chunks to retain after loading.
func BenchmarkRetained(b *testing.B) {
	_, peers := benchCore(time.Unix(0, 0))
	placement := NewPlacement(peers[0], peers, "region-0", rootA, 8)
	for b.Loop() {
		Retained(peers[0].ID, placement.Local, rootA, benchChunks, 3)
	}
}
