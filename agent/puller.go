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
	// fetchers is the number of requests in flight for chunks.
	fetchers = 4
	// askers is the number of questions in flight for have-sets and manifests.
	askers = 8
	// maxUploads bounds the uploads of an agent; beyond it answers busy.
	maxUploads = 4
	// pullerTick is the time between two looks at what has become possible.
	pullerTick = 20 * time.Millisecond
	// manifestTimeout bounds one request for a manifest.
	manifestTimeout = 10 * time.Second
	// retainedCopies is the number of agents of a region that keep a chunk
	// after loading: two may fail before a late joiner must use the store.
	retainedCopies = 3
)

// transferLimits bound one transfer.
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

// pullerEvent is an input of the puller duty.
type pullerEvent interface{ pullerEvent() }

// startTransfer asks for the weights of a profile.
type startTransfer struct{ profile *config.Profile }

// weightsLoaded says that the engine holds a root.
type weightsLoaded struct{ root fleet.Digest }

// manifestRead carries the manifest of the root in transfer.
type manifestRead struct {
	attempt  uint64
	encoded  []byte
	manifest *manifest.Manifest
	err      error
}

// chunkRead carries the end of a request for a chunk; data is verified.
type chunkRead struct {
	attempt uint64
	data    []byte
	tag     weightstore.ETag
	remote  bool
	ended   transfer.ChunkEnded
	err     error
}

// haveRead carries the answer to a question for a have-set.
type haveRead struct {
	attempt uint64
	event   transfer.Event
}

func (startTransfer) pullerEvent() {}
func (weightsLoaded) pullerEvent() {}
func (manifestRead) pullerEvent()  {}
func (chunkRead) pullerEvent()     {}
func (haveRead) pullerEvent()      {}

// puller owns the chunks that the agent holds and the transfer in progress.
type puller struct {
	agent   *Agent
	members map[fleet.InstanceID]fleet.Instance
	peers   []transfer.Peer
	// named is the root that the adopted configuration wants served here.
	named fleet.Digest

	// wanted is the profile whose weights were asked for last.
	wanted *config.Profile
	// held belongs to wanted; nil until its manifest is known.
	held *holding
	// previous is the share that is left of the root before wanted.
	previous *holding
	try      *attempt
	attempts uint64
	// retryAt is when a transfer that ended early begins again.
	retryAt time.Time
	retries int
	// reduceAt is when a loaded root is reduced to its share.
	reduceAt time.Time
	// tickAt is when the next tick is due; zero if none is.
	tickAt time.Time

	uploads  int
	counters wire.TransferStatus
}

func (a *Agent) runPuller(ctx context.Context) error {
	p := &puller{agent: a}
	timer := time.NewTimer(pullerTick)
	defer timer.Stop()
	for {
		select {
		case v := <-a.pullerViews.Out():
			p.setView(ctx, v)
		case ev := <-a.puller.Out():
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

// schedule sets when the next tick is due: soon during a transfer, at the next
// planned step without one, and never if nothing is planned. A tick that is
// due already stays so.
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
	if p.try != nil {
		soon := now.Add(pullerTick)
		if !p.tickAt.IsZero() && p.tickAt.Before(soon) {
			return p.tickAt
		}
		return soon
	}
	next := p.reduceAt
	// Without a configuration that names the root, nothing is retried.
	retries := p.wanted != nil && p.named == p.wanted.Weights.Root && !p.retryAt.IsZero()
	if retries && (next.IsZero() || p.retryAt.Before(next)) {
		next = p.retryAt
	}
	return next
}

// setView takes in the members and the root that the configuration names. An
// unfinished transfer of another root ends.
func (p *puller) setView(ctx context.Context, v node.View) {
	before := p.peers
	p.members = map[fleet.InstanceID]fleet.Instance{}
	p.peers = nil
	for _, m := range v.Members {
		if m.Role != fleet.RoleAgent || m.Service != p.agent.self().Service || m.State != fleet.StateLive {
			continue
		}
		p.members[m.ID] = m
		p.peers = append(p.peers, transfer.Peer{ID: m.ID, Region: m.Region})
	}
	p.named = fleet.Digest{}
	if served := v.Config.ServedProfile(p.agent.self().Service); served != nil {
		p.named = served.Weights.Root
	}
	if p.try != nil && p.named != p.wanted.Weights.Root {
		p.end("configuration no longer names the root", time.Now())
		p.held = nil
	}
	// Views also change with what members serve, often in a burst; ranking is
	// worth its time only if the members themselves changed.
	if slices.Equal(before, p.peers) {
		return
	}
	if p.try != nil {
		p.try.place = p.place()
		p.step(ctx, transfer.PeersChanged{Peers: p.peers})
	}
	p.shareRegionLink()
}

func (p *puller) handle(ctx context.Context, ev pullerEvent) {
	switch ev := ev.(type) {
	case startTransfer:
		p.start(ctx, ev.profile)
	case weightsLoaded:
		p.loaded(ev.root, time.Now())
	case manifestRead:
		p.manifestRead(ctx, ev)
	case chunkRead:
		p.chunkRead(ctx, ev)
	case haveRead:
		if p.current(ev.attempt) && p.try.core != nil {
			p.step(ctx, ev.event)
		}
	default:
		p.answer(ctx, ev)
	}
}

// answer serves the questions of handlers.
func (p *puller) answer(ctx context.Context, ev pullerEvent) {
	switch ev := ev.(type) {
	case manifestQuestion:
		var encoded []byte
		if h := p.holdingOf(ev.root); h != nil {
			encoded = h.encoded
		}
		_ = ev.answer.Put(ctx, encoded)
	case haveQuestion:
		var have *wire.HaveSet
		if h := p.holdingOf(ev.root); h != nil {
			have = h.have(ev.epoch, ev.seq)
		}
		_ = ev.answer.Put(ctx, have)
	case chunkQuestion:
		_ = ev.answer.Put(ctx, p.grantUpload(ev))
	case uploadDone:
		p.uploads--
	case fileQuestion:
		var file fileAnswer
		if h := p.holdingOf(ev.root); h != nil {
			file = h.file(ev.path)
		}
		_ = ev.answer.Put(ctx, file)
	case statusQuestion:
		_ = ev.answer.Put(ctx, p.transferStatus())
	}
}

// holdingOf returns what is held of a root, or nil.
func (p *puller) holdingOf(root fleet.Digest) *holding {
	if p.held != nil && p.held.root == root {
		return p.held
	}
	if p.previous != nil && p.previous.root == root {
		return p.previous
	}
	return nil
}

func (p *puller) grantUpload(q chunkQuestion) chunkAnswer {
	h := p.holdingOf(q.root)
	if h == nil || q.index < 0 || q.index >= len(h.data) || h.data[q.index] == nil {
		return chunkAnswer{}
	}
	if p.uploads >= maxUploads {
		return chunkAnswer{busy: true}
	}
	p.uploads++
	return chunkAnswer{data: h.data[q.index]}
}

func (p *puller) self() transfer.Peer {
	self := p.agent.self()
	return transfer.Peer{ID: self.ID, Region: self.Region}
}

func (p *puller) place() transfer.Placement {
	w := p.wanted.Weights
	return transfer.NewPlacement(p.self(), p.peers, w.Region, w.Root, transferLimits.Fetchers)
}

// shareRegionLink divides the link between regions among the agents of this
// region that draw over it.
func (p *puller) shareRegionLink() {
	if p.wanted == nil {
		return
	}
	place := p.place()
	share := max(len(place.Fetchers()), 1)
	p.agent.region.SetRate(p.agent.settings.RegionLinkRate / pacing.BytesPerSecond(share))
}
