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
	// retryDelay is the delay after the first failed attempt of a transfer. It
	// doubles with each further one up to maxRetryDelay.
	retryDelay    = time.Second
	maxRetryDelay = 30 * time.Second
	// manifestRetryInterval is the delay after a failed query for the manifest.
	manifestRetryInterval = 50 * time.Millisecond
)

// attempt is an attempt to transfer the weights of a root. Results that belong to
// an earlier attempt are ignored.
type attempt struct {
	number    uint64
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	placement transfer.Placement
	// core is nil until the manifest is known.
	core *transfer.Core
	// tags holds the first ETag received for each file from store and origin.
	tags map[tagKey]weightstore.ETag

	// manifestRequested is set while a query for the manifest is pending.
	manifestRequested bool
	manifestQueries   int
	manifestRetryAt   time.Time
}

type tagKey struct {
	kind transfer.SourceKind
	file int
}

func (p *puller) isCurrent(number uint64) bool { return p.attempt != nil && p.attempt.number == number }

// start begins the transfer of a profile's weights, unless it is in progress. If
// the weights are already complete, it only reports again that they are ready. The
// chunks of another root are reduced to the retained share first, so that at most
// one whole copy is in memory.
func (p *puller) start(ctx context.Context, profile *config.Profile) {
	same := p.target != nil && p.target.Weights.Root == profile.Weights.Root
	if same && p.attempt != nil {
		return
	}
	if same && p.held != nil && p.held.complete {
		_ = p.agent.engineEvents.Put(ctx, rollout.WeightsReady{Root: p.held.root})
		return
	}
	now := time.Now()
	if !same {
		p.replaceRoot(ctx, profile.Weights.Root, now)
	}
	p.target = profile
	p.configuredRoot = profile.Weights.Root
	p.retries = 0
	p.startAttempt(ctx, now)
}

// replaceRoot ends the current attempt and frees memory for another root. It
// keeps the retained share of a complete root if that is at most half of a whole
// copy, and frees the chunks of an incomplete one.
func (p *puller) replaceRoot(ctx context.Context, root fleet.Digest, now time.Time) {
	p.endAttempt("another root is wanted", now)
	next := (*heldChunks)(nil)
	if p.previous != nil && p.previous.root == root {
		next = p.previous
	}
	p.previous = nil
	if p.held != nil && (p.held.complete || p.held.retaining) {
		if share := p.retainedShare(p.held); 2*share.bytes <= p.held.manifest.Size() {
			p.previous = share
		}
	}
	if p.held != nil && p.held.complete {
		_ = p.agent.engineEvents.Put(ctx, rollout.WeightsDropped{Root: p.held.root})
	}
	p.held = next
	p.reduceAt = time.Time{}
}

// retainedShare returns the chunks that this agent retains after loading.
func (p *puller) retainedShare(h *heldChunks) *heldChunks {
	placement := transfer.NewPlacement(p.self(), p.peers, "", h.root, transferLimits.Fetchers)
	kept := transfer.Retained(p.self().ID, placement.Local, h.root, len(h.chunks), retainedCopies)
	return h.reduced(kept)
}

// startAttempt starts an attempt. Verified chunks of an earlier attempt are not
// fetched again.
func (p *puller) startAttempt(ctx context.Context, now time.Time) {
	p.attemptCount++
	t := &attempt{number: p.attemptCount, startedAt: now, placement: p.newPlacement(), tags: map[tagKey]weightstore.ETag{}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	p.attempt = t
	p.retryAt = time.Time{}
	p.markStarted()
	p.updateRegionRate()
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferStarted, Profile: p.target.Name})
	if p.held != nil {
		p.startChunkTransfer(ctx)
		return
	}
	p.requestManifest(ctx, now)
}

// endAttempt cancels the current attempt and its requests, schedules the retry
// and records the reason.
func (p *puller) endAttempt(reason string, now time.Time) {
	if p.attempt == nil {
		return
	}
	p.attempt.cancel()
	p.attempt = nil
	p.counters.Aborted++
	wait := min(retryDelay<<min(p.retries, 8), maxRetryDelay)
	p.retries++
	p.retryAt = now.Add(wait)
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferEnded, Profile: p.target.Name, Detail: reason})
	_ = level.Warn(p.agent.node.Logger()).Log("msg", "transfer ended before it was complete", "root", p.target.Weights.Root, "reason", reason)
}

// tick carries out what is due: the reduction of a loaded root, a retry, or the
// next step of the current attempt.
func (p *puller) tick(ctx context.Context, now time.Time) {
	if !p.reduceAt.IsZero() && !now.Before(p.reduceAt) {
		p.reduceAt = time.Time{}
		p.reduceToShare(ctx)
	}
	if p.attempt == nil {
		unfinished := p.target != nil && !p.retryAt.IsZero() && !now.Before(p.retryAt)
		if unfinished && p.configuredRoot == p.target.Weights.Root {
			p.startAttempt(ctx, now)
		}
		return
	}
	if p.attempt.core == nil {
		p.requestManifest(ctx, now)
		return
	}
	p.step(ctx, transfer.Tick{})
}

// scheduleReduction starts the retention period of a complete root that the
// engine has loaded. Its chunks outside the retained share are freed afterwards.
func (p *puller) scheduleReduction(root fleet.Digest, now time.Time) {
	if p.held != nil && p.held.root == root && p.held.complete && p.reduceAt.IsZero() {
		p.reduceAt = now.Add(p.agent.settings.ChunkRetention)
	}
}

// reduceToShare frees the chunks outside the retained share.
func (p *puller) reduceToShare(ctx context.Context) {
	if p.held == nil || !p.held.complete {
		return
	}
	p.held = p.retainedShare(p.held)
	p.previous = nil
	if !p.held.complete {
		_ = p.agent.engineEvents.Put(ctx, rollout.WeightsDropped{Root: p.held.root})
	}
}

// requestManifest queues a query for the manifest, unless one is pending or its
// retry is not due yet. Each query goes to the next source.
func (p *puller) requestManifest(ctx context.Context, now time.Time) {
	t := p.attempt
	if t.manifestRequested || now.Before(t.manifestRetryAt) {
		return
	}
	hasStore := p.target.Weights.Store != ""
	sources := t.placement.ManifestSources(p.self(), hasStore, now.Sub(t.startedAt), transferLimits.TakeoverDelay)
	if len(sources) == 0 {
		return
	}
	s := sources[t.manifestQueries%len(sources)]
	t.manifestQueries++
	t.manifestRequested = true
	_ = p.agent.queries.Put(ctx, query{
		ctx: t.ctx, attempt: t.number, weights: p.target.Weights, source: s, peer: p.members[s.Peer],
	})
}

func (p *puller) handleManifest(ctx context.Context, ev manifestRead) {
	if !p.isCurrent(ev.attempt) || p.attempt.core != nil {
		return
	}
	p.attempt.manifestRequested = false
	if ev.err != nil {
		_ = level.Debug(p.agent.node.Logger()).Log("msg", "reading the manifest failed", "err", ev.err)
		p.attempt.manifestRetryAt = time.Now().Add(manifestRetryInterval)
		return
	}
	p.held = newHeldChunks(p.target.Weights.Root, ev.encoded, ev.manifest)
	p.startChunkTransfer(ctx)
}

// startChunkTransfer starts the transfer of the missing chunks.
func (p *puller) startChunkTransfer(ctx context.Context) {
	limits := transferLimits
	limits.FollowedPeers = p.agent.settings.ChunkPeers
	w := p.target.Weights
	p.attempt.core = transfer.New(transfer.Options{
		Self: p.self(), StoreRegion: w.Region, Root: w.Root, Chunks: len(p.held.chunks),
		HasStore: w.Store != "", Have: p.held.set(),
	}, limits, time.Now())
	p.step(ctx, transfer.PeersChanged{Peers: p.peers})
}

func (p *puller) handleChunk(ctx context.Context, ev chunkRead) {
	if !p.isCurrent(ev.attempt) || p.attempt.core == nil {
		return
	}
	p.checkTag(&ev)
	p.countFetch(ev)
	switch ev.ended.Outcome {
	case transfer.Verified:
		p.held.add(ev.ended.Index, ev.data)
	case transfer.Corrupt:
		p.agent.node.Record(timeline.Event{Kind: timeline.ChunkCorrupt, Peer: ev.ended.Source.Peer})
	case transfer.Changed:
		p.endAttempt(ev.err.Error(), time.Now())
		return
	}
	p.step(ctx, ev.ended)
}

// checkTag records the first ETag of a file from the store or origin. If a later
// response has another one, it sets the outcome of the request to Changed.
func (p *puller) checkTag(ev *chunkRead) {
	if ev.tag == "" || ev.ended.Source.Kind == transfer.FromPeer {
		return
	}
	key := tagKey{kind: ev.ended.Source.Kind, file: p.held.chunks[ev.ended.Index].File}
	first, known := p.attempt.tags[key]
	if !known {
		p.attempt.tags[key] = ev.tag
		return
	}
	if first != ev.tag {
		ev.ended.Outcome = transfer.Changed
		ev.err = weightstore.ErrChanged
	}
}

func (p *puller) step(ctx context.Context, ev transfer.Event) {
	if p.attempt == nil || p.attempt.core == nil {
		return
	}
	for _, action := range p.attempt.core.Step(time.Now(), ev) {
		p.execute(ctx, action)
	}
}

func (p *puller) execute(ctx context.Context, action transfer.Action) {
	switch action := action.(type) {
	case transfer.RequestChunk:
		_ = p.agent.fetches.Put(ctx, p.newFetch(action))
	case transfer.RequestHave:
		_ = p.agent.queries.Put(ctx, query{
			ctx: p.attempt.ctx, attempt: p.attempt.number, weights: p.target.Weights,
			peer: p.members[action.Peer], have: &action,
		})
	case transfer.Complete:
		p.complete(ctx)
	}
}

func (p *puller) newFetch(action transfer.RequestChunk) fetch {
	chunk := p.held.chunks[action.Index]
	f := fetch{
		ctx: p.attempt.ctx, attempt: p.attempt.number, weights: p.target.Weights,
		chunk: chunk, path: p.held.manifest.Files[chunk.File].Path,
		source: action.Source, peer: p.members[action.Source.Peer],
	}
	from := f.peer.Region
	if action.Source.Kind != transfer.FromPeer {
		from = p.target.Weights.Region
		f.tag = p.attempt.tags[tagKey{kind: action.Source.Kind, file: chunk.File}]
	}
	f.remote = from != p.agent.self().Region
	return f
}

// complete ends an attempt whose chunks are all verified. It reports to the
// engine controller that the weights are ready to load.
func (p *puller) complete(ctx context.Context) {
	p.attempt.cancel()
	p.attempt = nil
	p.retries = 0
	p.held.complete = true
	p.held.retaining = false
	p.markCompleted()
	p.agent.node.Record(timeline.Event{Kind: timeline.TransferDone, Profile: p.target.Name})
	_ = p.agent.engineEvents.Put(ctx, rollout.WeightsReady{Root: p.held.root})
}
