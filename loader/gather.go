package loader

import (
	"context"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/transfer"
)

// open begins to gather a version.
func (k *keeper) open(now time.Time, version int64) *holding {
	c := k.holdings[version]
	if c == nil {
		c = &holding{version: version, begun: now}
		k.holdings[version] = c
	}
	return c
}

// drive moves the gathering of a version on.
func (k *keeper) drive(ctx context.Context, now time.Time, c *holding) {
	if c.whole() {
		if !c.logged {
			c.logged = true
			_ = k.loader.logger.Log("event", "copy-complete", "model", k.model, "version", c.version,
				"seconds", now.Sub(c.begun).Seconds())
		}
		return
	}
	k.relist(ctx, now)
	switch {
	case c.manifest == nil:
		k.askManifest(ctx, now, c)
	case !c.searched && !k.seeder():
		if !c.searching {
			c.searching = k.work(ctx, work{kind: search, copy: c})
		}
	default:
		if c.core == nil {
			c.core = k.newTransfer(now, c)
			k.step(ctx, now, c, transfer.PeersChanged{Peers: k.peers()})
		}
		k.step(ctx, now, c, transfer.Tick{})
	}
}

func (k *keeper) newTransfer(now time.Time, c *holding) *transfer.Core {
	return transfer.New(transfer.Options{
		Self: k.self(), StoreRegion: k.roster.OriginRegion, Root: c.manifest.Root(), Chunks: len(c.data), Have: c.set(),
	}, limits, now)
}

// askManifest asks one source after the other for the digests.
func (k *keeper) askManifest(ctx context.Context, now time.Time, c *holding) {
	if c.asking || now.Before(c.retryAt) || k.roster.Origin == "" {
		return
	}
	place := transfer.NewPlacement(k.self(), k.peers(), k.roster.OriginRegion, fleet.Digest{byte(c.version)}, limits.Fetchers)
	sources := place.ManifestSources(k.self(), false, now.Sub(c.begun), manifestTurn)
	q := inquiry{version: c.version, model: k.model, origin: k.roster.Origin, sources: sources}
	c.asking = k.loader.asks.Put(ctx, q) == nil
}

// manifestTurn is how long a loader waits for peers before it asks the origin.
const manifestTurn = 200 * time.Millisecond

// manifestPause is the pause before sources are asked again.
const manifestPause = 50 * time.Millisecond

func (k *keeper) manifestRead(now time.Time, ev manifestRead) {
	c := k.holdings[ev.version]
	if c == nil {
		return
	}
	c.asking = false
	if ev.err != nil {
		c.retryAt = now.Add(manifestPause)
		return
	}
	c.manifest = ev.manifest
	c.data = make([][]byte, len(ev.manifest.Digests))
}

// step feeds the transfer and carries out its actions.
func (k *keeper) step(ctx context.Context, now time.Time, c *holding, ev transfer.Event) {
	for _, a := range c.core.Step(now, ev) {
		switch a := a.(type) {
		case transfer.RequestChunk:
			f := fetch{manifest: c.manifest, number: a.Index, source: a.Source, origin: k.roster.Origin}
			_ = k.loader.fetches.Put(ctx, f)
		case transfer.RequestHave:
			q := inquiry{version: c.version, model: k.model, have: &a, pieces: len(c.data)}
			if k.loader.asks.Put(ctx, q) != nil {
				c.core.Step(now, transfer.HaveFailed{Peer: a.Peer})
			}
		case transfer.Complete:
		}
	}
}

func (k *keeper) pieceRead(ctx context.Context, now time.Time, ev pieceRead) {
	c := k.holdings[ev.version]
	if c == nil || c.core == nil {
		return
	}
	k.loader.metrics.piece(ev.ended, len(ev.data))
	_ = k.loader.logger.Log("event", "piece", "version", ev.version, "piece", ev.ended.Index, "peer", ev.ended.Source.Peer,
		"source", sourceNames[ev.ended.Source.Kind], "outcome", outcomeNames[ev.ended.Outcome],
		"took", ev.took.Seconds(), "err", ev.err)
	if ev.ended.Outcome == transfer.Verified {
		c.add(ev.ended.Index, ev.data)
	}
	k.step(ctx, now, c, ev.ended)
}

// answer tells a peer what is held. A version that the engine holds and that
// is asked for is gathered from what lies at the engine.
func (k *keeper) answer(now time.Time, q question) answer {
	c := k.holdings[q.version]
	if c == nil && !k.seeder() && k.core != nil && k.core.Loaded() == q.version {
		c = k.open(now, q.version)
	}
	if c == nil || c.manifest == nil {
		return answer{}
	}
	a := answer{manifest: c.manifest}
	switch {
	case q.piece < 0:
		a.have = c.set()
	case q.piece < len(c.data) && c.data[q.piece] != nil:
		if k.uploads >= k.loader.settings.Uploads {
			a.busy = true
			break
		}
		k.uploads++
		a.data = c.data[q.piece]
	}
	return a
}
