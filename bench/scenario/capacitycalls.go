package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/bench/figure"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/transfer"
)

// capacityRouting measures the time of one routing decision and of one update
// of the routing table, and the heap of the table.
func capacityRouting(env Env) error {
	accepted, err := routedDocument()
	if err != nil {
		return err
	}
	var picks, updates, heap []float64
	for _, n := range replicaSizes {
		list := fleetOf(n * fleetSize / expectedReplicas)
		update := func() *routing.Table {
			t := routing.New(fleet.Instance{ID: "entry-0", Region: "region-0"})
			t.Update(accepted, list)
			return t
		}
		table := update()
		pick, err := pickMicros(table)
		if err != nil {
			return err
		}
		picks = append(picks, pick)
		updates = append(updates, microsPerCall(func() { table.Update(accepted, list) }))
		heap = append(heap, retainedHeap(func() any { return update() }))
		last := len(picks) - 1
		env.Report.Add(fmt.Sprintf("capacity.route_pick_us.n%d", n), picks[last], "us", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.route_update_us.n%d", n), updates[last], "us", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.route_heap_kb.n%d", n), heap[last]/1e3, "KB", figure.NoBound)
	}
	env.Report.Add("capacity.route_update_us.slope", slope(replicaSizes, updates), "us/replica", figure.NoBound)
	return nil
}

// routedRoot is the root of the weights that the measured calls request.
var routedRoot = fleet.Digest{1}

func routedDocument() (*config.Accepted, error) {
	text := `{"generation":1,"customers":[],"profiles":[{"name":"p","model":"m","version":"v",
		"weights":{"root":"` + routedRoot.String() + `","origin":"http://127.0.0.1:1","region":"region-0"}}],
		"services":[{"name":"advisory","kind":"model","profile":"p","limits":{"cold":8,"warm":64,"ramp_step":4}}],
		"failure_domains":[`
	for i := range expectedDomains {
		text += fmt.Sprintf(`%s{"name":"domain-%d","region":"region-%d","state":"in"}`, comma(i), i, i%expectedRegions)
	}
	return config.Accept([]byte(text + `]}`))
}

func pickMicros(table *routing.Table) (float64, error) {
	random := rand.New(rand.NewPCG(1, 1))
	request := routing.Request{Service: "advisory", Roots: []fleet.Digest{routedRoot}}
	now := time.UnixMilli(1)
	found := true
	cost := microsPerCall(func() {
		choice, ok := table.Pick(now, request, random.IntN)
		found = found && ok
		table.Done(choice.Instance.ID)
	})
	if !found {
		return cost, eris.New("routing found no replica")
	}
	return cost, nil
}

// transferSizes are the numbers of chunks at which a transfer is measured; the
// last is 140 GB in chunks of 16 MiB.
var transferSizes = []int{256, 1024, 8750}

// transferAgents is the number of agents of one burst at the expected size.
const transferAgents = 2100

// capacityTransfer measures transfer.Core over a whole transfer, in which all
// chunks are requested and verified and all followed peers have all chunks.
func capacityTransfer(env Env) error {
	var heap []float64
	for _, chunks := range transferSizes {
		start := time.Now()
		steps := completeTransfer(chunks)
		micros := float64(time.Since(start).Microseconds()) / float64(steps)
		heap = append(heap, retainedHeap(func() any { return newTransfer(chunks) }))
		env.Report.Add(fmt.Sprintf("capacity.transfer_step_us.chunks%d", chunks), micros, "us", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.transfer_heap_kb.chunks%d", chunks), heap[len(heap)-1]/1e3, "KB", figure.NoBound)
	}
	env.Report.Add("capacity.transfer_heap_bytes.slope", slope(transferSizes, heap), "B/chunk", figure.NoBound)
	return nil
}

// transferLimits are the limits that the agent uses.
var transferLimits = transfer.Limits{
	FollowedPeers: 16, Fetchers: 8, MaxFetches: 2, MaxInFlightPerPeer: 4, MaxInFlight: 12,
	TakeoverDelay: 2 * time.Second, StallTimeout: 5 * time.Second,
	HaveInterval: 100 * time.Millisecond, HaveBusyInterval: time.Second, MaxHaveWait: time.Second, Copies: 3,
}

func transferPeers() []transfer.Peer {
	var peers []transfer.Peer
	for _, m := range fleetOf(transferAgents) {
		peers = append(peers, transfer.Peer{ID: m.ID, Region: m.Region})
	}
	return peers
}

func newTransfer(chunks int) *transfer.Core {
	peers := transferPeers()
	core := transfer.New(transfer.Options{Self: peers[0], StoreRegion: "region-0", Root: routedRoot, Chunks: chunks},
		transferLimits, time.UnixMilli(1))
	core.Step(time.UnixMilli(1), transfer.PeersChanged{Peers: peers})
	return core
}

// completeTransfer runs a transfer until no chunk is missing and returns the
// number of steps.
func completeTransfer(chunks int) int {
	full := transfer.NewSet(chunks)
	for i := range chunks {
		full.Add(i)
	}
	core := newTransfer(chunks)
	now := time.UnixMilli(1)
	steps := 0
	queue := core.Step(now, transfer.Tick{})
	for core.Missing() > 0 {
		if len(queue) == 0 {
			now = now.Add(transferLimits.HaveInterval)
			queue = core.Step(now, transfer.Tick{})
			steps++
			continue
		}
		action := queue[0]
		queue = append(queue[1:], handleAction(core, now, full, action)...)
		steps++
	}
	return steps
}

func handleAction(core *transfer.Core, now time.Time, full transfer.Set, action transfer.Action) []transfer.Action {
	switch a := action.(type) {
	case transfer.RequestHave:
		return core.Step(now, transfer.HaveReceived{Peer: a.Peer, Update: transfer.HaveUpdate{Epoch: 1, Full: true, Have: full}})
	case transfer.RequestChunk:
		return core.Step(now, transfer.ChunkEnded{Index: a.Index, Source: a.Source, Outcome: transfer.Verified})
	}
	return nil
}

// capacityChunk measures the verification of a chunk of 1 MiB.
func capacityChunk(env Env) error {
	const chunkBytes = 1 << 20
	data := make([]byte, chunkBytes)
	chunk := manifest.Chunk{Length: chunkBytes}
	micros := microsPerCall(func() { _ = chunk.Verify(data) })
	env.Report.Add("capacity.verify_us_per_mib", micros, "us", figure.NoBound)
	return nil
}
