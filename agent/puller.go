package agent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/transfer"
)

const (
	// fetchers is the number of requests in flight for chunks and have-sets.
	fetchers = 16
	// pullerTick is the time between two looks at what has become possible.
	pullerTick = 20 * time.Millisecond
)

// transferLimits bound one transfer.
var transferLimits = transfer.Limits{
	Peers:         16,
	PerSource:     4,
	InFlight:      fetchers - 4,
	TakeoverDelay: 2 * time.Second,
	StallAfter:    5 * time.Second,
	HaveEvery:     100 * time.Millisecond,
}

// pullerEvent is an input of the puller duty.
type pullerEvent interface{ pullerEvent() }

// startTransfer begins the transfer of a profile's weights.
type startTransfer struct{ profile *config.Profile }

// manifestRead carries the manifest of the root in transfer.
type manifestRead struct {
	root     fleet.Digest
	encoded  []byte
	manifest *manifest.Manifest
	err      error
}

// chunkRead carries the end of a request for a chunk; data is verified.
type chunkRead struct {
	root  fleet.Digest
	data  []byte
	ended transfer.ChunkEnded
}

// haveRead carries a peer's have-set; nil means that it did not answer.
type haveRead struct {
	root fleet.Digest
	peer fleet.InstanceID
	have []uint64
}

// question asks for what is held of a root.
type question struct {
	root   fleet.Digest
	answer *ring.Ring[holding]
}

// holding is what the puller holds of a root; chunks are not changed later.
type holding struct {
	manifest *manifest.Manifest
	encoded  []byte
	chunks   []manifest.Chunk
	data     [][]byte
	have     []uint64
	complete bool
}

func (startTransfer) pullerEvent() {}
func (manifestRead) pullerEvent()  {}
func (chunkRead) pullerEvent()     {}
func (haveRead) pullerEvent()      {}
func (question) pullerEvent()      {}

// puller owns the chunks of one root.
type puller struct {
	agent   *Agent
	members map[fleet.InstanceID]fleet.Instance
	peers   []transfer.Peer
	profile *config.Profile
	held    holding
	core    *transfer.Core
}

func (a *Agent) runPuller(ctx context.Context) error {
	p := &puller{agent: a}
	ticker := time.NewTicker(pullerTick)
	defer ticker.Stop()
	for {
		select {
		case v := <-a.pullerViews.Out():
			p.setMembers(ctx, v)
		case ev := <-a.puller.Out():
			p.handle(ctx, ev)
		case <-ticker.C:
			p.step(ctx, transfer.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *puller) setMembers(ctx context.Context, v node.View) {
	p.members = map[fleet.InstanceID]fleet.Instance{}
	p.peers = nil
	for _, m := range v.Members {
		if m.Role != fleet.RoleAgent || m.Service != p.agent.self().Service || m.State != fleet.StateLive {
			continue
		}
		p.members[m.ID] = m
		p.peers = append(p.peers, transfer.Peer{ID: m.ID, Region: m.Region})
	}
	p.step(ctx, transfer.PeersChanged{Peers: p.peers})
}

func (p *puller) handle(ctx context.Context, ev pullerEvent) {
	switch ev := ev.(type) {
	case startTransfer:
		p.start(ctx, ev.profile)
	case manifestRead:
		p.manifestRead(ctx, ev)
	case chunkRead:
		p.chunkRead(ctx, ev)
	case haveRead:
		p.haveRead(ctx, ev)
	case question:
		answer := holding{}
		if p.profile != nil && ev.root == p.profile.Weights.Root {
			answer = p.held
			answer.data = append([][]byte(nil), p.held.data...)
			if p.core != nil {
				answer.have = append([]uint64(nil), p.core.Have()...)
			}
		}
		_ = ev.answer.Put(ctx, answer)
	}
}

// start begins a transfer; chunks of another root are freed first, so that at
// most one copy is held.
func (p *puller) start(ctx context.Context, profile *config.Profile) {
	p.profile = profile
	p.held = holding{}
	p.core = nil
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferStarted, Profile: profile.Name})
	p.fetchManifest(ctx)
}

func (p *puller) fetchManifest(ctx context.Context) {
	f := fetch{profile: p.profile, wantManifest: true}
	for _, m := range p.members {
		if m.ID != p.agent.self().ID {
			f.peer = m
			break
		}
	}
	_ = p.agent.fetches.Put(ctx, f)
}

func (p *puller) manifestRead(ctx context.Context, ev manifestRead) {
	if p.profile == nil || ev.root != p.profile.Weights.Root || p.core != nil {
		return
	}
	if ev.err != nil {
		_ = level.Warn(p.agent.node.Logger()).Log("msg", "manifest could not be read", "err", ev.err)
		p.fetchManifest(ctx)
		return
	}
	p.held = holding{manifest: ev.manifest, encoded: ev.encoded, chunks: ev.manifest.Chunks()}
	p.held.data = make([][]byte, len(p.held.chunks))
	self := p.agent.self()
	p.core = transfer.New(transfer.Peer{ID: self.ID, Region: self.Region}, p.profile.Weights.Region,
		ev.root, len(p.held.chunks), transferLimits, time.Now())
	p.step(ctx, transfer.PeersChanged{Peers: p.peers})
}

func (p *puller) chunkRead(ctx context.Context, ev chunkRead) {
	if p.core == nil || ev.root != p.profile.Weights.Root {
		return
	}
	switch ev.ended.Outcome {
	case transfer.Verified:
		p.held.data[ev.ended.Index] = ev.data
	case transfer.Corrupt:
		p.agent.node.Record(timeline.Event{Kind: timeline.ChunkCorrupt, Peer: ev.ended.Source.Peer})
	}
	p.step(ctx, ev.ended)
}

func (p *puller) haveRead(ctx context.Context, ev haveRead) {
	if p.core == nil || ev.root != p.profile.Weights.Root {
		return
	}
	if ev.have == nil {
		p.step(ctx, transfer.HaveFailed{Peer: ev.peer})
		return
	}
	p.step(ctx, transfer.HaveReceived{Peer: ev.peer, Have: ev.have})
}

func (p *puller) step(ctx context.Context, ev transfer.Event) {
	if p.core == nil {
		return
	}
	for _, action := range p.core.Step(time.Now(), ev) {
		p.carryOut(ctx, action)
	}
}

func (p *puller) carryOut(ctx context.Context, action transfer.Action) {
	f := fetch{profile: p.profile, manifest: p.held.manifest}
	switch action := action.(type) {
	case transfer.RequestChunk:
		f.chunk = p.held.chunks[action.Index]
		f.source = action.Source
		f.peer = p.members[action.Source.Peer]
	case transfer.RequestHave:
		f.wantHave = true
		f.peer = p.members[action.Peer]
	case transfer.Complete:
		p.held.complete = true
		p.agent.node.Record(timeline.Event{Kind: timeline.TransferDone, Profile: p.profile.Name})
		_ = p.agent.engineer.Put(ctx, rollout.WeightsReady{Root: p.profile.Weights.Root})
		return
	}
	_ = p.agent.fetches.Put(ctx, f)
}
