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

// coordinator owns the copies and their transfers and decides what the loader
// does next. All other goroutines of the loader do I/O for it and send it events.
type coordinator struct {
	loader *Loader
	core   *staging.Core
	model  string
	roster peering.Roster
	// desired is the latest desired version from the watcher.
	desired published.DesiredVersion
	copies  map[int64]*versionCopy
	uploads int
	// taskRunning is set while the engine worker executes a task, which is for taskVersion.
	taskRunning bool
	taskVersion int64
	// openOrder is the version of an open order that keeps the target from being stored.
	openOrder int64
	report    staging.Report
	// firstReport is the first report that was read, at firstReportAt.
	firstReport       staging.Report
	firstReportAt     time.Time
	rosterRequestedAt time.Time
	engineDown        bool
	loaded            int64
	// served is the last version that the engine is known to have served.
	served int64
	// lastNotice is the latest notice to gateways; notified holds the addresses
	// of the gateways that it was sent to.
	lastNotice     peering.EngineNotice
	lastNoticeAt   time.Time
	notified       map[string]bool
	reportInterval time.Duration
}

// runCoordinator handles events and advances the copies after each event and at
// every tick.
func (l *Loader) runCoordinator(ctx context.Context) error {
	c := &coordinator{loader: l, copies: map[int64]*versionCopy{}, notified: map[string]bool{}}
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	l.requestRoster(ctx)
	for {
		select {
		case v := <-l.views.Out():
			c.setDesired(ctx, v)
		case ev := <-l.events.Out():
			c.handle(ctx, ev)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.advance(ctx, time.Now())
		if c.settled() {
			timer.Reset(idleTickInterval)
			c.setReportInterval(ctx, idleReportInterval)
		} else {
			timer.Reset(tickInterval)
			c.setReportInterval(ctx, activeReportInterval)
		}
	}
}

// settled reports whether the engine serves the target and all copies are
// complete. A seeder has no engine, so only its copies count.
func (c *coordinator) settled() bool {
	if c.core == nil || c.engineDown || (!c.isSeeder() && c.core.Loaded() != c.core.Target()) {
		return false
	}
	for _, vc := range c.copies {
		if !vc.complete() {
			return false
		}
	}
	return true
}

func (c *coordinator) setReportInterval(ctx context.Context, interval time.Duration) {
	if c.reportInterval != interval {
		c.reportInterval = interval
		_ = c.loader.reportIntervals.Put(ctx, interval)
	}
}

func (l *Loader) requestRoster(ctx context.Context) { _ = l.rosterRequests.Put(ctx, struct{}{}) }

// setDesired applies the desired versions of a new view.
func (c *coordinator) setDesired(ctx context.Context, v *published.View) {
	for _, d := range v.Desired {
		if c.model == "" || d.Model == c.model {
			c.desired = d
		}
	}
	c.loader.requestRoster(ctx)
	c.updateTarget()
}

func (c *coordinator) handle(ctx context.Context, ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case reportRead:
		c.handleReport(ctx, now, ev)
	case rosterRead:
		c.handleRoster(ctx, now, ev)
	case manifestRead:
		c.handleManifest(now, ev)
	case pieceRead:
		c.handlePiece(ctx, now, ev)
	case haveRead:
		if vc := c.copies[ev.version]; vc != nil && vc.core != nil {
			c.step(ctx, now, vc, ev.result)
		}
	case engineTaskDone:
		c.handleTaskDone(ctx, now, ev)
	case copyQuery:
		_ = ev.reply.Put(ctx, c.answerQuery(now, ev))
	case uploadDone:
		c.uploads--
	}
}

func (c *coordinator) handleReport(ctx context.Context, now time.Time, ev reportRead) {
	if ev.err != nil {
		if !c.engineDown {
			c.engineDown = true
			_ = c.loader.logger.Log("event", "dependency-lost", "dependency", "engine", "err", ev.err)
		}
		if c.core != nil {
			c.core.ReportFailed()
		}
		return
	}
	if c.engineDown || ev.report.StartTime != c.report.StartTime {
		c.engineDown = false
		_ = c.loader.logger.Log("event", "engine-known", "born", ev.report.StartTime, "sequence", ev.report.Sequence)
	}
	restarted := c.report.StartTime != 0 && ev.report.StartTime != c.report.StartTime
	c.report = ev.report
	if c.firstReportAt.IsZero() {
		c.firstReport, c.firstReportAt = ev.report, now
		c.inherit()
	}
	if c.core == nil {
		return
	}
	c.core.SetReport(ev.report)
	if v, ok := c.core.TakeAccepted(now); ok {
		_ = c.loader.logger.Log("event", "order-accepted", "version", v, "sequence", ev.report.Sequence)
		c.notifyGateways(ctx, 0, c.served)
	}
	if restarted && c.core.Loaded() == 0 {
		c.notifyGateways(ctx, 0, 0)
	}
	if v := c.core.Loaded(); v != c.loaded {
		_ = c.loader.logger.Log("event", "engine-holds", "model", c.model, "version", v, "was", c.loaded,
			"running", ev.report.Running, "waiting", ev.report.Waiting)
		if v > 0 {
			c.notifyGateways(ctx, v, c.served)
			c.served = v
		}
		c.loaded = v
	}
}

// inherit tells the staging core of the engine process that was running before this loader.
func (c *coordinator) inherit() {
	if c.core != nil && !c.firstReportAt.IsZero() {
		c.core.Inherit(c.firstReportAt, c.firstReport)
	}
}

// handleRoster applies a new roster. The first one also names the model, with
// which the staging core is created.
func (c *coordinator) handleRoster(ctx context.Context, now time.Time, ev rosterRead) {
	c.roster = ev.roster
	if c.core == nil {
		c.model = ev.roster.Model
		c.core = staging.New(c.model, ev.roster.Layers, c.loader.settings.UpdateWindow)
		c.inherit()
		if !c.engineDown && c.report.StartTime != 0 {
			c.core.SetReport(c.report)
		}
		if c.core.Loaded() == 0 && c.report.StartTime != 0 {
			c.notifyGateways(ctx, 0, 0)
		}
	}
	c.updateTarget()
	c.setEngines()
	c.sendLastNotice(ctx)
	for _, vc := range c.copies {
		if vc.core != nil && !vc.complete() {
			c.step(ctx, now, vc, transfer.PeersChanged{Peers: c.peers()})
		}
	}
}

func (c *coordinator) isSeeder() bool { return c.loader.engine == nil }

// updateTarget sets the target of the staging core to the desired version, or to
// firstVersion while none is published. The same version is set again as well, since
// a peer may report that it was first observed earlier.
func (c *coordinator) updateTarget() {
	if c.core == nil {
		return
	}
	d := c.desired
	if d.Version == 0 {
		d = published.DesiredVersion{Model: c.model, Version: firstVersion}
	}
	changed := d.Version != c.core.Target()
	c.core.SetTarget(d)
	if !changed {
		return
	}
	_ = c.loader.logger.Log("event", "version-named", "model", c.model, "version", d.Version, "loaded", c.core.Loaded())
	c.markOldVersions(d.Version)
}

// firstVersion is the version that engines serve before any is published.
const firstVersion = 1

func (c *coordinator) self() transfer.Peer {
	s := &c.loader.settings
	return transfer.Peer{ID: fleet.InstanceID(s.Listen), Region: s.Region, Seeder: c.isSeeder()}
}

// peers returns the loaders of the engines of the service, and the seeders.
func (c *coordinator) peers() []transfer.Peer {
	out := make([]transfer.Peer, 0, len(c.roster.Engines)+len(c.roster.Gateways))
	for _, e := range c.roster.Engines {
		if a := c.loader.settings.PeerAddress(e.Address); a != "" {
			out = append(out, transfer.Peer{ID: fleet.InstanceID(a), Region: e.Region})
		}
	}
	for _, g := range c.roster.Gateways {
		if a := c.loader.settings.SeederAddress(g.Control); a != "" {
			out = append(out, transfer.Peer{ID: fleet.InstanceID(a), Region: g.Region, Seeder: true})
		}
	}
	return out
}

// setEngines passes the engines of the service to the staging core, which derives
// the update slot from them.
func (c *coordinator) setEngines() {
	addresses := make([]string, 0, len(c.roster.Engines))
	for _, e := range c.roster.Engines {
		addresses = append(addresses, e.Address)
	}
	c.core.SetEngines(c.loader.settings.Engine, addresses)
}

// advance carries out the next action of the staging core and advances all
// copies. It refreshes the roster while a notice may have to reach new gateways.
func (c *coordinator) advance(ctx context.Context, now time.Time) {
	if c.core == nil {
		c.refreshRoster(ctx, now)
		return
	}
	for version, vc := range c.copies {
		if vc.complete() {
			c.core.MarkComplete(version)
		}
	}
	if c.core.NeedsUpdate() || c.isSeeder() {
		c.ensureCopy(now, c.core.Target()).searchOnly = false
	}
	c.ensureSearches(now)
	switch action, version := c.core.Next(now); action {
	case staging.Place:
		c.startTask(ctx, engineTask{kind: taskPlace, source: c.copies[version]})
	case staging.Order:
		c.startTask(ctx, engineTask{kind: taskOrder, source: c.copies[version]})
	case staging.Verify:
		c.startTask(ctx, engineTask{kind: taskVerify, source: c.copies[version]})
	case staging.Idle, staging.Fetch:
	}
	c.logOpenOrder(now)
	c.dropCopies(now)
	for _, vc := range c.copies {
		c.advanceCopy(ctx, now, vc)
	}
	if now.Sub(c.lastNoticeAt) < newGatewayWindow {
		c.refreshRoster(ctx, now)
	}
}

// logOpenOrder logs when an open order begins to keep the target from being stored at the engine,
// and when it no longer does.
func (c *coordinator) logOpenOrder(now time.Time) {
	open := c.core.OpenOrder(now)
	if open == c.core.Target() {
		open = 0
	}
	if open != c.openOrder {
		_ = c.loader.logger.Log("event", "order-open", "version", open, "was", c.openOrder, "desired", c.core.Target(), "sequence", c.report.Sequence)
	}
	c.openOrder = open
}

// refreshRoster requests the roster if rosterInterval has passed since the last
// request.
func (c *coordinator) refreshRoster(ctx context.Context, now time.Time) {
	if now.Sub(c.rosterRequestedAt) < rosterInterval {
		return
	}
	c.rosterRequestedAt = now
	c.loader.requestRoster(ctx)
}
