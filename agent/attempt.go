package agent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/weightstore"
)

const (
	// retryDelay is the first time between the end of a transfer and its next
	// attempt; it doubles up to maxRetryDelay.
	retryDelay    = time.Second
	maxRetryDelay = 30 * time.Second
	// manifestDelay is the time between two tries to read the manifest.
	manifestDelay = 50 * time.Millisecond
)

// attempt is one try to transfer a root. Answers that belong to an earlier
// attempt are ignored.
type attempt struct {
	number uint64
	ctx    context.Context
	cancel context.CancelFunc
	begun  time.Time
	place  transfer.Placement
	// core is nil until the manifest is known.
	core *transfer.Core
	// tags holds the first ETag of each file at store and origin.
	tags map[tagKey]weightstore.ETag

	asking     bool
	asked      int
	manifestAt time.Time
}

type tagKey struct {
	kind transfer.SourceKind
	file int
}

func (p *puller) current(number uint64) bool { return p.try != nil && p.try.number == number }

// start takes in which profile's weights are needed. What is held of another
// root is reduced to its share first, so that at most one whole copy is held.
func (p *puller) start(ctx context.Context, profile *config.Profile) {
	same := p.wanted != nil && p.wanted.Weights.Root == profile.Weights.Root
	if same && p.try != nil {
		return
	}
	if same && p.held != nil && p.held.complete {
		_ = p.agent.engineer.Put(ctx, rollout.WeightsReady{Root: p.held.root})
		return
	}
	now := time.Now()
	if !same {
		p.replace(ctx, profile.Weights.Root, now)
	}
	p.wanted = profile
	p.named = profile.Weights.Root
	p.retries = 0
	p.begin(ctx, now)
}

// replace makes room for another root. A share of a complete root is kept
// while it is well below a whole copy; chunks of an unfinished one are freed.
func (p *puller) replace(ctx context.Context, root fleet.Digest, now time.Time) {
	p.end("another root is wanted", now)
	next := (*holding)(nil)
	if p.previous != nil && p.previous.root == root {
		next = p.previous
	}
	p.previous = nil
	if p.held != nil && (p.held.complete || p.held.retaining) {
		if share := p.share(p.held); 2*share.bytes <= p.held.manifest.Size() {
			p.previous = share
		}
	}
	if p.held != nil && p.held.complete {
		_ = p.agent.engineer.Put(ctx, rollout.WeightsDropped{Root: p.held.root})
	}
	p.held = next
	p.reduceAt = time.Time{}
}

// share returns a holding with the chunks that this agent retains.
func (p *puller) share(h *holding) *holding {
	place := transfer.NewPlacement(p.self(), p.peers, "", h.root, transferLimits.Fetchers)
	kept := transfer.Retained(p.self().ID, place.Local, h.root, len(h.chunks), retainedCopies)
	return h.reduced(kept)
}

// begin starts an attempt. Chunks that are held already are not fetched again.
func (p *puller) begin(ctx context.Context, now time.Time) {
	p.attempts++
	t := &attempt{number: p.attempts, begun: now, place: p.place(), tags: map[tagKey]weightstore.ETag{}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	p.try = t
	p.retryAt = time.Time{}
	p.begun()
	p.shareRegionLink()
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferStarted, Profile: p.wanted.Name})
	if p.held != nil {
		p.transferChunks(ctx)
		return
	}
	p.askManifest(ctx, now)
}

// end stops the attempt in progress, cancels its requests and reports why.
func (p *puller) end(why string, now time.Time) {
	if p.try == nil {
		return
	}
	p.try.cancel()
	p.try = nil
	p.counters.Aborted++
	wait := min(retryDelay<<min(p.retries, 8), maxRetryDelay)
	p.retries++
	p.retryAt = now.Add(wait)
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferEnded, Profile: p.wanted.Name, Detail: why})
	_ = level.Warn(p.agent.node.Logger()).Log("msg", "transfer ended before it was complete", "root", p.wanted.Weights.Root, "reason", why)
}

// tick lets time pass.
func (p *puller) tick(ctx context.Context, now time.Time) {
	if !p.reduceAt.IsZero() && !now.Before(p.reduceAt) {
		p.reduceAt = time.Time{}
		p.reduce(ctx)
	}
	if p.try == nil {
		unfinished := p.wanted != nil && !p.retryAt.IsZero() && !now.Before(p.retryAt)
		if unfinished && p.named == p.wanted.Weights.Root {
			p.begin(ctx, now)
		}
		return
	}
	if p.try.core == nil {
		p.askManifest(ctx, now)
		return
	}
	p.step(ctx, transfer.Tick{})
}

// loaded begins the linger period of a root that the engine holds.
func (p *puller) loaded(root fleet.Digest, now time.Time) {
	if p.held != nil && p.held.root == root && p.held.complete && p.reduceAt.IsZero() {
		p.reduceAt = now.Add(p.agent.settings.ChunkRetention)
	}
}

// reduce frees the chunks outside this agent's share.
func (p *puller) reduce(ctx context.Context) {
	if p.held == nil || !p.held.complete {
		return
	}
	p.held = p.share(p.held)
	p.previous = nil
	if !p.held.complete {
		_ = p.agent.engineer.Put(ctx, rollout.WeightsDropped{Root: p.held.root})
	}
}

func (p *puller) askManifest(ctx context.Context, now time.Time) {
	t := p.try
	if t.asking || now.Before(t.manifestAt) {
		return
	}
	hasStore := p.wanted.Weights.Store != ""
	sources := t.place.ManifestSources(p.self(), hasStore, now.Sub(t.begun), transferLimits.TakeoverDelay)
	if len(sources) == 0 {
		return
	}
	s := sources[t.asked%len(sources)]
	t.asked++
	t.asking = true
	_ = p.agent.inquiries.Put(ctx, inquiry{
		ctx: t.ctx, attempt: t.number, weights: p.wanted.Weights, source: s, peer: p.members[s.Peer],
	})
}

func (p *puller) manifestRead(ctx context.Context, ev manifestRead) {
	if !p.current(ev.attempt) || p.try.core != nil {
		return
	}
	p.try.asking = false
	if ev.err != nil {
		_ = level.Debug(p.agent.node.Logger()).Log("msg", "manifest could not be read", "err", ev.err)
		p.try.manifestAt = time.Now().Add(manifestDelay)
		return
	}
	p.held = newHolding(p.wanted.Weights.Root, ev.encoded, ev.manifest)
	p.transferChunks(ctx)
}

// transferChunks begins to fetch what is missing of the held root.
func (p *puller) transferChunks(ctx context.Context) {
	limits := transferLimits
	limits.FollowedPeers = p.agent.settings.ChunkPeers
	w := p.wanted.Weights
	p.try.core = transfer.New(transfer.Options{
		Self: p.self(), StoreRegion: w.Region, Root: w.Root, Chunks: len(p.held.chunks),
		HasStore: w.Store != "", Have: p.held.set(),
	}, limits, time.Now())
	p.step(ctx, transfer.PeersChanged{Peers: p.peers})
}

func (p *puller) chunkRead(ctx context.Context, ev chunkRead) {
	if !p.current(ev.attempt) || p.try.core == nil {
		return
	}
	p.checkTag(&ev)
	p.count(ev)
	switch ev.ended.Outcome {
	case transfer.Verified:
		p.held.add(ev.ended.Index, ev.data)
	case transfer.Corrupt:
		p.agent.node.Record(timeline.Event{Kind: timeline.ChunkCorrupt, Peer: ev.ended.Source.Peer})
	case transfer.Changed:
		p.end(ev.err.Error(), time.Now())
		return
	}
	p.step(ctx, ev.ended)
}

// checkTag remembers the first tag of a file and ends the request as changed
// if a later answer has another one.
func (p *puller) checkTag(ev *chunkRead) {
	if ev.tag == "" || ev.ended.Source.Kind == transfer.FromPeer {
		return
	}
	key := tagKey{kind: ev.ended.Source.Kind, file: p.held.chunks[ev.ended.Index].File}
	first, known := p.try.tags[key]
	if !known {
		p.try.tags[key] = ev.tag
		return
	}
	if first != ev.tag {
		ev.ended.Outcome = transfer.Changed
		ev.err = weightstore.ErrChanged
	}
}

func (p *puller) step(ctx context.Context, ev transfer.Event) {
	if p.try == nil || p.try.core == nil {
		return
	}
	for _, action := range p.try.core.Step(time.Now(), ev) {
		p.carryOut(ctx, action)
	}
}

func (p *puller) carryOut(ctx context.Context, action transfer.Action) {
	switch action := action.(type) {
	case transfer.RequestChunk:
		_ = p.agent.fetches.Put(ctx, p.fetch(action))
	case transfer.RequestHave:
		_ = p.agent.inquiries.Put(ctx, inquiry{
			ctx: p.try.ctx, attempt: p.try.number, weights: p.wanted.Weights,
			peer: p.members[action.Peer], have: &action,
		})
	case transfer.Complete:
		p.complete(ctx)
	}
}

func (p *puller) fetch(action transfer.RequestChunk) fetch {
	chunk := p.held.chunks[action.Index]
	f := fetch{
		ctx: p.try.ctx, attempt: p.try.number, weights: p.wanted.Weights,
		chunk: chunk, path: p.held.manifest.Files[chunk.File].Path,
		source: action.Source, peer: p.members[action.Source.Peer],
	}
	from := f.peer.Region
	if action.Source.Kind != transfer.FromPeer {
		from = p.wanted.Weights.Region
		f.tag = p.try.tags[tagKey{kind: action.Source.Kind, file: chunk.File}]
	}
	f.remote = from != p.agent.self().Region
	return f
}

// complete offers a copy with every chunk verified to the engine.
func (p *puller) complete(ctx context.Context) {
	p.try.cancel()
	p.try = nil
	p.retries = 0
	p.held.complete = true
	p.held.retaining = false
	p.completed()
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferDone, Profile: p.wanted.Name})
	_ = p.agent.engineer.Put(ctx, rollout.WeightsReady{Root: p.held.root})
}
