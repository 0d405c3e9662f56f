package agent

import (
	"context"
	"slices"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/weightstore"
	"rattanspur.example/lib/wire"
)

const (
	// fetchers is the maximum number of in-flight requests for chunks.
	fetchers = 4
	// queriers is the maximum number of in-flight queries for have-sets and
	// manifests.
	queriers = 8
	// maxUploads is the maximum number of concurrent uploads. Further requests
	// are answered as busy.
	maxUploads = 4
	// pullerTickInterval is the interval between two ticks during a transfer.
	pullerTickInterval = 20 * time.Millisecond
	// manifestTimeout bounds one request for a manifest.
	manifestTimeout = 10 * time.Second
	// retainedCopies is the number of agents of a region that keep a chunk after
	// loading. Two of them may fail before an agent that joins late must use the
	// store.
	retainedCopies = 3
)

// transferLimits are the transfer limits of an agent. The setting ChunkPeers
// replaces FollowedPeers.
var transferLimits = transfer.Limits{
	FollowedPeers:      16,
	Fetchers:           8,
	MaxFetches:         2,
	MaxInFlightPerPeer: 1,
	MaxInFlight:        fetchers,
	TakeoverDelay:      2 * time.Second,
	StallTimeout:       5 * time.Second,
	HaveInterval:       100 * time.Millisecond,
	HaveBusyInterval:   time.Second,
	MaxHaveWait:        time.Second,
	Copies:             retainedCopies,
}

// pullerEvent is an input of the puller.
type pullerEvent interface{ pullerEvent() }

// startTransfer requests the weights of a profile.
type startTransfer struct{ profile *config.Profile }

// weightsLoaded reports that the engine has loaded a root.
type weightsLoaded struct{ root fleet.Digest }

// manifestRead carries the manifest of the root in transfer, or the error of
// reading it.
type manifestRead struct {
	attempt  uint64
	encoded  []byte
	manifest *manifest.Manifest
	err      error
}

// chunkRead carries the result of a request for a chunk. Its data has passed
// verification if the outcome is Verified.
type chunkRead struct {
	attempt uint64
	data    []byte
	tag     weightstore.ETag
	remote  bool
	ended   transfer.ChunkEnded
	err     error
}

// haveRead carries a peer's have-set, or the failure to read it.
type haveRead struct {
	attempt uint64
	event   transfer.Event
}

func (startTransfer) pullerEvent() {}
func (weightsLoaded) pullerEvent() {}
func (manifestRead) pullerEvent()  {}
func (chunkRead) pullerEvent()     {}
func (haveRead) pullerEvent()      {}

// puller owns the chunks in the agent's memory, the transfer in progress and the
// upload slots.
type puller struct {
	agent   *Agent
	members map[fleet.InstanceID]fleet.Instance
	peers   []transfer.Peer
	// configuredRoot is the root that the adopted configuration assigns to the
	// service of this agent.
	configuredRoot fleet.Digest

	// target is the profile whose weights were requested last.
	target *config.Profile
	// held holds the chunks of target; it is nil until the manifest is known.
	held *heldChunks
	// previous is the retained share of the root before target.
	previous *heldChunks
	// attempt is nil while no transfer is in progress.
	attempt      *attempt
	attemptCount uint64
	// retryAt is when a transfer that ended early is retried.
	retryAt time.Time
	retries int
	// reduceAt is when a loaded root is reduced to the retained share.
	reduceAt time.Time
	// tickAt is when the next tick is due; zero if none is.
	tickAt time.Time

	uploads  int
	counters wire.TransferStatus
}

// runPuller downloads the weights that the engine controller requests and
// answers the queries of handlers.
func (a *Agent) runPuller(ctx context.Context) error {
	p := &puller{agent: a}
	timer := time.NewTimer(pullerTickInterval)
	defer timer.Stop()
	for {
		select {
		case v := <-a.pullerViews.Out():
			p.setView(ctx, v)
		case ev := <-a.pullerEvents.Out():
			p.handle(ctx, ev)
		case <-timer.C:
			p.tickAt = time.Time{}
			p.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
		p.schedule(timer, time.Now())
	}
}

// schedule sets the timer for the next tick: within pullerTickInterval during a
// transfer, otherwise at the next retry or reduction, or never if neither is
// planned. A tick that is already due is not delayed.
func (p *puller) schedule(timer *time.Timer, now time.Time) {
	next := p.nextTick(now)
	if next.Equal(p.tickAt) {
		return
	}
	p.tickAt = next
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(next.Sub(now))
}

func (p *puller) nextTick(now time.Time) time.Time {
	if p.attempt != nil {
		soon := now.Add(pullerTickInterval)
		if !p.tickAt.IsZero() && p.tickAt.Before(soon) {
			return p.tickAt
		}
		return soon
	}
	next := p.reduceAt
	// A root that the configuration no longer names is not retried.
	retries := p.target != nil && p.configuredRoot == p.target.Weights.Root && !p.retryAt.IsZero()
	if retries && (next.IsZero() || p.retryAt.Before(next)) {
		next = p.retryAt
	}
	return next
}

// setView applies the members and the configured root of a view. It ends the
// transfer of another root.
func (p *puller) setView(ctx context.Context, v node.View) {
	previousPeers := p.peers
	p.members = map[fleet.InstanceID]fleet.Instance{}
	p.peers = nil
	for _, m := range v.Members {
		if m.Role != fleet.RoleAgent || m.Service != p.agent.self().Service || m.State != fleet.StateLive {
			continue
		}
		p.members[m.ID] = m
		p.peers = append(p.peers, transfer.Peer{ID: m.ID, Region: m.Region})
	}
	p.configuredRoot = fleet.Digest{}
	if served := v.Config.ServedProfile(p.agent.self().Service); served != nil {
		p.configuredRoot = served.Weights.Root
	}
	if p.attempt != nil && p.configuredRoot != p.target.Weights.Root {
		p.endAttempt("configuration no longer names the root", time.Now())
		p.held = nil
	}
	// Views also change when members serve another version, often in a burst.
	// Ranking is expensive and only needed if the peers themselves changed.
	if slices.Equal(previousPeers, p.peers) {
		return
	}
	if p.attempt != nil {
		p.attempt.placement = p.newPlacement()
		p.step(ctx, transfer.PeersChanged{Peers: p.peers})
	}
	p.updateRegionRate()
}

func (p *puller) handle(ctx context.Context, ev pullerEvent) {
	switch ev := ev.(type) {
	case startTransfer:
		p.start(ctx, ev.profile)
	case weightsLoaded:
		p.scheduleReduction(ev.root, time.Now())
	case manifestRead:
		p.handleManifest(ctx, ev)
	case chunkRead:
		p.handleChunk(ctx, ev)
	case haveRead:
		if p.isCurrent(ev.attempt) && p.attempt.core != nil {
			p.step(ctx, ev.event)
		}
	default:
		p.answerQuery(ctx, ev)
	}
}

// answerQuery answers the queries of HTTP handlers.
func (p *puller) answerQuery(ctx context.Context, ev pullerEvent) {
	switch ev := ev.(type) {
	case manifestQuery:
		var encoded []byte
		if h := p.chunksOf(ev.root); h != nil {
			encoded = h.encoded
		}
		_ = ev.reply.Put(ctx, encoded)
	case haveQuery:
		var have *wire.HaveSet
		if h := p.chunksOf(ev.root); h != nil {
			have = h.have(ev.epoch, ev.seq)
		}
		_ = ev.reply.Put(ctx, have)
	case chunkQuery:
		_ = ev.reply.Put(ctx, p.reserveUpload(ev))
	case uploadDone:
		p.uploads--
	case fileQuery:
		var file fileReply
		if h := p.chunksOf(ev.root); h != nil {
			file = h.file(ev.path)
		}
		_ = ev.reply.Put(ctx, file)
	case transferStatusQuery:
		_ = ev.reply.Put(ctx, p.transferStatus())
	}
}

// chunksOf returns the held chunks of a root, or nil if there are none.
func (p *puller) chunksOf(root fleet.Digest) *heldChunks {
	if p.held != nil && p.held.root == root {
		return p.held
	}
	if p.previous != nil && p.previous.root == root {
		return p.previous
	}
	return nil
}

// reserveUpload returns a chunk and reserves an upload slot for it. The reply is
// empty if the chunk is missing, and busy if no slot is free.
func (p *puller) reserveUpload(q chunkQuery) chunkReply {
	h := p.chunksOf(q.root)
	if h == nil || q.index < 0 || q.index >= len(h.data) || h.data[q.index] == nil {
		return chunkReply{}
	}
	if p.uploads >= maxUploads {
		return chunkReply{busy: true}
	}
	p.uploads++
	return chunkReply{data: h.data[q.index]}
}

func (p *puller) self() transfer.Peer {
	self := p.agent.self()
	return transfer.Peer{ID: self.ID, Region: self.Region}
}

func (p *puller) newPlacement() transfer.Placement {
	w := p.target.Weights
	return transfer.NewPlacement(p.self(), p.peers, w.Region, w.Root, transferLimits.Fetchers)
}

// updateRegionRate divides the rate of the link between regions among the agents
// of this region that fetch over it.
func (p *puller) updateRegionRate() {
	if p.target == nil {
		return
	}
	placement := p.newPlacement()
	share := max(len(placement.Fetchers()), 1)
	p.agent.regionLink.SetRate(p.agent.settings.RegionLinkRate / pacing.BytesPerSecond(share))
}
