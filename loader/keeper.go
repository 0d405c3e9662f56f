package loader

import (
	"context"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// keeper owns the pieces, the transfers and the decisions of a loader.
type keeper struct {
	loader *Loader
	core   *staging.Core
	model  string
	roster peering.Roster
	// wanted comes from the watcher, listing from the lister.
	wanted   published.DesiredVersion
	holdings map[int64]*holding
	uploads  int
	// working says that the worker has work.
	working bool
	report  staging.Report
	listAt  time.Time
	down    bool
	loaded  int64
	// served is the last version that the engine served.
	served int64
	// word is what gateways were told last, told the gateways that got it.
	word   peering.EngineNotice
	wordAt time.Time
	told   map[string]bool
	pace   time.Duration
}

func (l *Loader) runKeeper(ctx context.Context) error {
	k := &keeper{loader: l, holdings: map[int64]*holding{}, told: map[string]bool{}}
	timer := time.NewTimer(tick)
	defer timer.Stop()
	l.askList(ctx)
	for {
		select {
		case v := <-l.views.Out():
			k.want(ctx, v)
		case ev := <-l.events.Out():
			k.handle(ctx, ev)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		k.advance(ctx, time.Now())
		if k.settled() {
			timer.Reset(idleTick)
			k.setPace(ctx, reportIdle)
		} else {
			timer.Reset(tick)
			k.setPace(ctx, reportSoon)
		}
	}
}

// settled reports whether the engine serves the target and its pieces are here.
func (k *keeper) settled() bool {
	if k.core == nil || k.down || (!k.seeder() && k.core.Loaded() != k.core.Target()) {
		return false
	}
	for _, h := range k.holdings {
		if !h.whole() {
			return false
		}
	}
	return true
}

func (k *keeper) setPace(ctx context.Context, pace time.Duration) {
	if k.pace != pace {
		k.pace = pace
		_ = k.loader.pace.Put(ctx, pace)
	}
}

func (l *Loader) askList(ctx context.Context) { _ = l.lists.Put(ctx, struct{}{}) }

// want takes in which version is named.
func (k *keeper) want(ctx context.Context, v *published.View) {
	for _, w := range v.Desired {
		if k.model == "" || w.Model == k.model {
			k.wanted = w
		}
	}
	k.loader.askList(ctx)
	k.retarget()
}

func (k *keeper) handle(ctx context.Context, ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case reported:
		k.reported(ctx, ev)
	case listed:
		k.listed(ctx, now, ev)
	case manifestRead:
		k.manifestRead(now, ev)
	case pieceRead:
		k.pieceRead(ctx, now, ev)
	case haveRead:
		if c := k.holdings[ev.version]; c != nil && c.core != nil {
			k.step(ctx, now, c, ev.news)
		}
	case worked:
		k.worked(ctx, now, ev)
	case question:
		_ = ev.reply.Put(ctx, k.answer(now, ev))
	case uploaded:
		k.uploads--
	}
}

func (k *keeper) reported(ctx context.Context, ev reported) {
	if ev.err != nil {
		if !k.down {
			k.down = true
			_ = k.loader.logger.Log("event", "dependency-lost", "dependency", "engine", "err", ev.err)
		}
		if k.core != nil {
			k.core.ReportFailed()
		}
		return
	}
	if k.down || ev.report.StartTime != k.report.StartTime {
		k.down = false
		_ = k.loader.logger.Log("event", "engine-known", "born", ev.report.StartTime, "sequence", ev.report.Sequence)
	}
	anew := k.report.StartTime != 0 && ev.report.StartTime != k.report.StartTime
	k.report = ev.report
	if k.core == nil {
		return
	}
	k.core.SetReport(ev.report)
	if anew && k.core.Loaded() == 0 {
		k.notify(ctx, 0, 0)
	}
	if v := k.core.Loaded(); v != k.loaded {
		_ = k.loader.logger.Log("event", "engine-holds", "model", k.model, "version", v, "was", k.loaded,
			"running", ev.report.Running, "waiting", ev.report.Waiting)
		if v > 0 {
			k.notify(ctx, v, k.served)
			k.served = v
		}
		k.loaded = v
	}
}

// listed takes in what is known of the service and the gateways.
func (k *keeper) listed(ctx context.Context, now time.Time, ev listed) {
	k.roster = ev.roster
	if k.core == nil {
		k.model = ev.roster.Model
		k.core = staging.New(k.model, ev.roster.Layers, k.loader.settings.Within)
		if !k.down && k.report.StartTime != 0 {
			k.core.SetReport(k.report)
		}
		if k.core.Loaded() == 0 && k.report.StartTime != 0 {
			k.notify(ctx, 0, 0)
		}
	}
	k.retarget()
	k.setRank()
	k.tell(ctx)
	for _, c := range k.holdings {
		if c.core != nil && !c.whole() {
			k.step(ctx, now, c, transfer.PeersChanged{Peers: k.peers()})
		}
	}
}

func (k *keeper) seeder() bool { return k.loader.engine == nil }

// retarget names the target: the wanted version, or the first one while none
// is named.
func (k *keeper) retarget() {
	if k.core == nil {
		return
	}
	w := k.wanted
	if w.Version == 0 {
		w = published.DesiredVersion{Model: k.model, Version: firstVersion}
	}
	if w.Version == k.core.Target() {
		return
	}
	_ = k.loader.logger.Log("event", "version-named", "model", k.model, "version", w.Version, "loaded", k.core.Loaded())
	k.core.SetTarget(w)
	k.dropOld(w.Version)
}

// firstVersion is the version that engines hold before any is named.
const firstVersion = 1

// keptVersions is the number of versions whose pieces are kept: the target and
// the one before it, which restarted engines may still need.
const keptVersions = 2

func (k *keeper) dropOld(target int64) {
	for v := range k.holdings {
		if v <= target-keptVersions {
			delete(k.holdings, v)
			k.core.MarkDropped(v)
		}
	}
}

func (k *keeper) self() transfer.Peer {
	s := &k.loader.settings
	return transfer.Peer{ID: fleet.InstanceID(s.Listen), Region: s.Region, Seeder: k.seeder()}
}

// peers returns the loaders beside the engines of the service, and the seeders.
func (k *keeper) peers() []transfer.Peer {
	out := make([]transfer.Peer, 0, len(k.roster.Engines)+len(k.roster.Gateways))
	for _, e := range k.roster.Engines {
		if a := k.loader.settings.PeerAddress(e.Address); a != "" {
			out = append(out, transfer.Peer{ID: fleet.InstanceID(a), Region: e.Region})
		}
	}
	for _, g := range k.roster.Gateways {
		if a := k.loader.settings.SeederAddress(g.Control); a != "" {
			out = append(out, transfer.Peer{ID: fleet.InstanceID(a), Region: g.Region, Seeder: true})
		}
	}
	return out
}

// setRank tells the turn of the own engine among those of its service.
func (k *keeper) setRank() {
	addresses := make([]string, 0, len(k.roster.Engines))
	for _, e := range k.roster.Engines {
		addresses = append(addresses, e.Address)
	}
	k.core.SetRank(staging.Rank(k.loader.settings.Engine, addresses, k.core.Target()), len(addresses))
}

// advance carries out what the core asks for.
func (k *keeper) advance(ctx context.Context, now time.Time) {
	if k.core == nil {
		k.relist(ctx, now)
		return
	}
	for version, c := range k.holdings {
		if c.whole() {
			k.core.MarkComplete(version)
		}
	}
	if k.core.NeedsUpdate() || k.seeder() {
		k.open(now, k.core.Target())
	}
	switch action, version := k.core.Next(now); action {
	case staging.Place:
		k.work(ctx, work{kind: place, copy: k.holdings[version], sequence: k.report.Sequence})
	case staging.Order:
		k.work(ctx, work{kind: start, copy: k.holdings[version], sequence: k.report.Sequence})
	case staging.Idle, staging.Fetch:
	}
	for _, c := range k.holdings {
		k.drive(ctx, now, c)
	}
	if now.Sub(k.wordAt) < tellFor {
		k.relist(ctx, now)
	}
}

func (k *keeper) relist(ctx context.Context, now time.Time) {
	if now.Sub(k.listAt) < listEvery {
		return
	}
	k.listAt = now
	k.loader.askList(ctx)
}
