package loader

import (
	"context"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/transfer"
)

// ensureCopy returns the copy of a version and creates an empty one if needed.
func (c *coordinator) ensureCopy(now time.Time, version int64) *versionCopy {
	vc := c.copies[version]
	if vc == nil {
		vc = &versionCopy{version: version, startedAt: now}
		c.copies[version] = vc
	}
	return vc
}

// advanceCopy starts the next step towards a complete copy: read the manifest,
// search the engine for stored pieces, then transfer the missing ones.
func (c *coordinator) advanceCopy(ctx context.Context, now time.Time, vc *versionCopy) {
	if vc.complete() {
		if !vc.completionLogged {
			vc.completionLogged = true
			_ = c.loader.logger.Log("event", "copy-complete", "model", c.model, "version", vc.version,
				"seconds", now.Sub(vc.startedAt).Seconds())
		}
		return
	}
	c.refreshRoster(ctx, now)
	switch {
	case vc.manifest == nil:
		c.requestManifest(ctx, now, vc)
	case !vc.searched && !c.isSeeder():
		if !vc.searching {
			vc.searching = c.startTask(ctx, engineTask{kind: taskSearch, source: vc})
		}
	case vc.searchOnly:
	default:
		if vc.core == nil {
			vc.core = c.newTransfer(now, vc)
			c.step(ctx, now, vc, transfer.PeersChanged{Peers: c.peers()})
		}
		if vc.check.Due(now) {
			c.requestManifest(ctx, now, vc)
		}
		c.step(ctx, now, vc, transfer.Tick{})
	}
}

func (c *coordinator) newTransfer(now time.Time, vc *versionCopy) *transfer.Core {
	return transfer.New(transfer.Options{
		Self: c.self(), StoreRegion: c.roster.OriginRegion, Root: vc.manifest.Root(), Chunks: len(vc.data), Have: vc.set(),
	}, limits, now)
}

// requestManifest queues a query for the manifest, or for one that corrects it if it is in
// doubt, unless one is pending or its retry is not due yet.
func (c *coordinator) requestManifest(ctx context.Context, now time.Time, vc *versionCopy) {
	if vc.manifestRequested || now.Before(vc.retryAt) || c.roster.Origin == "" {
		return
	}
	placement := transfer.NewPlacement(c.self(), c.peers(), c.roster.OriginRegion, fleet.Digest{byte(vc.version)}, limits.Fetchers)
	waited := now.Sub(later(later(vc.startedAt, vc.check.Since()), vc.originQueriedAt))
	sources := placement.ManifestSources(c.self(), false, waited, originManifestDelay)
	q := query{version: vc.version, model: c.model, origin: c.roster.Origin, sources: sources, doubt: vc.check.Doubt(vc.manifest)}
	vc.manifestRequested = c.loader.queries.Put(ctx, q) == nil
	if vc.manifestRequested && slices.Contains(sources, transfer.Source{Kind: transfer.FromOrigin}) {
		vc.originQueriedAt = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// originManifestDelay is how long a loader queries only its peers for a manifest
// before it also queries the origin, once each time. Loaders further back in the
// ranking wait a multiple of it, so that an origin that returns after an outage is
// not queried by all at once; fetchers in the origin's region do not wait.
const originManifestDelay = 400 * time.Millisecond

// manifestRetryInterval is the delay after a failed query for a manifest.
const manifestRetryInterval = 50 * time.Millisecond

func (c *coordinator) handleManifest(now time.Time, ev manifestRead) {
	vc := c.copies[ev.version]
	if vc == nil || vc.manifest != ev.doubted {
		// The copy was dropped meanwhile, or was created anew and knows its manifest.
		return
	}
	vc.manifestRequested = false
	switch {
	case ev.err != nil && ev.doubted != nil:
		vc.check.NotCorrected(now)
	case ev.err != nil:
		vc.retryAt = now.Add(manifestRetryInterval)
	case ev.doubted != nil:
		vc.correct(ev.manifest)
		_ = c.loader.logger.Log("event", "manifest-corrected", "version", vc.version, "pieces", vc.pieces)
	default:
		vc.manifest = ev.manifest
		vc.data = make([][]byte, len(ev.manifest.Digests))
	}
}

// step passes an event to the transfer of a copy and carries out its actions.
func (c *coordinator) step(ctx context.Context, now time.Time, vc *versionCopy, ev transfer.Event) {
	for _, a := range vc.core.Step(now, ev) {
		switch a := a.(type) {
		case transfer.RequestChunk:
			f := fetch{manifest: vc.manifest, number: a.Index, source: a.Source, origin: c.roster.Origin}
			_ = c.loader.fetches.Put(ctx, f)
		case transfer.RequestHave:
			q := query{version: vc.version, model: c.model, have: &a, pieces: len(vc.data)}
			if c.loader.queries.Put(ctx, q) != nil {
				vc.core.Step(now, transfer.HaveFailed{Peer: a.Peer})
			}
		case transfer.Complete:
		}
	}
}

func (c *coordinator) handlePiece(ctx context.Context, now time.Time, ev pieceRead) {
	vc := c.copies[ev.version]
	if vc == nil || vc.core == nil || vc.manifest != ev.manifest {
		return
	}
	c.loader.metrics.countPiece(ev.ended, len(ev.data))
	_ = c.loader.logger.Log("event", "piece", "version", ev.version, "piece", ev.ended.Index, "peer", ev.ended.Source.Peer,
		"source", sourceNames[ev.ended.Source.Kind], "outcome", outcomeNames[ev.ended.Outcome],
		"took", ev.took.Seconds(), "err", ev.err)
	switch ev.ended.Outcome {
	case transfer.Verified:
		vc.add(ev.ended.Index, ev.data)
	case transfer.Corrupt:
		vc.check.Reject(now, ev.ended.Index, ev.rejected)
	}
	c.step(ctx, now, vc, ev.ended)
}

// answerQuery returns the state of a copy and reserves an upload slot if it
// returns a piece. If the version has no copy but is loaded by the engine, it
// creates one, which is then filled from the pieces stored at the engine.
func (c *coordinator) answerQuery(now time.Time, q copyQuery) copyReply {
	vc := c.copies[q.version]
	if vc == nil && !c.isSeeder() && c.core != nil && c.core.Loaded() == q.version {
		vc = c.ensureCopy(now, q.version)
	}
	if vc == nil || vc.manifest == nil {
		return copyReply{}
	}
	reply := copyReply{manifest: vc.manifest}
	switch {
	case q.piece < 0:
		reply.have = vc.set()
	case q.piece < len(vc.data) && vc.data[q.piece] != nil:
		if c.uploads >= c.loader.settings.MaxUploads {
			reply.busy = true
			break
		}
		c.uploads++
		reply.data = vc.data[q.piece]
	}
	return reply
}
