// Package watcher keeps a process's view of the published state up to date. It
// reads the platform's store. It reads peers while the store does not answer and,
// if so configured, at an interval.
package watcher

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"rattanspur.example/lib/boottime"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
)

// Source provides published items, usually from the platform's store.
type Source interface {
	// Snapshot returns all items under a prefix. If stale is true, they may be
	// out of date.
	Snapshot(ctx context.Context, prefix string, stale bool) (published.Batch, error)
	// Watch waits for changes after a revision, for at most wait. It returns
	// published.ErrCompacted if the source does not have the history. A batch of another
	// era may lack changes.
	Watch(ctx context.Context, prefix string, after published.Revision, wait time.Duration) (published.Batch, error)
}

const (
	// expireInterval is the time between two checks for a pause of the process.
	expireInterval = 250 * time.Millisecond
)

// Update is a batch of changes from the source or from a peer.
type Update struct {
	published.Batch
	// Snapshot is true if the batch is a snapshot of the source, FromPeer if it comes
	// from a peer.
	Snapshot bool
	FromPeer bool
	// Live is true if the source sent the batch to a watch that waited for its changes, so
	// that these are new. ReadAt is a time from which on the source was read, so that the
	// batch has all changes before it; it is not set if FromPeer.
	Live   bool
	ReadAt moment
	// RefusedAt is set in an update without a batch: the source refused a read that began then.
	RefusedAt moment
}

// Watcher maintains the published state of one process. One duty reads the
// source, one owns the state, and an optional one reads the fallback.
type Watcher struct {
	source Source
	prefix string
	// wait is the longest time that a watch waits.
	wait    time.Duration
	logger  log.Logger
	updates *ring.Ring[Update]
	// fallback may be nil. It is read while the source does not answer and, if
	// peerInterval is not 0, also at that interval.
	fallback     Fallback
	peerInterval time.Duration
	views        []*ring.Ring[*published.View]
	queries      *ring.Ring[query]
	// reads is the state of the duty readSource.
	reads sourceReads
	// uptime is a clock that also counts while the machine is suspended.
	uptime func() time.Duration
	// settleTime is how long after an outage of the source grace periods start.
	settleTime time.Duration
	// renewalInterval is the time between two renewals of a registration.
	renewalInterval time.Duration
}

// query is a peer's request for the changes after a revision.
type query struct {
	after published.Revision
	reply *ring.Ring[published.Batch]
}

// Fallback provides items in addition to the source.
type Fallback interface {
	// Snapshot returns the known items under a prefix, which can be fewer than
	// those published.
	Snapshot(ctx context.Context, prefix string) (published.Batch, error)
}

// New returns a watcher of the items under a prefix. A watch is renewed after
// wait, because a watch that the store dropped without an error returns no more
// changes.
func New(source Source, prefix string, wait time.Duration, logger log.Logger) *Watcher {
	return &Watcher{
		source:  source,
		prefix:  prefix,
		wait:    wait,
		logger:  logger,
		updates: ring.New[Update](16, ring.Wait),
		queries: ring.New[query](64, ring.Refuse),
		uptime:  boottime.Now,

		renewalInterval: published.DefaultRenewalInterval,
	}
}

// Subscribe returns a ring that holds only the newest view. It must be called
// before Start.
func (w *Watcher) Subscribe() *ring.Ring[*published.View] {
	r := ring.New[*published.View](1, ring.DropOldest)
	w.views = append(w.views, r)
	return r
}

// Start runs the duties of the watcher.
func (w *Watcher) Start(g *duty.Group) {
	g.Go("store reader", w.readSource)
	g.Go("view state", w.maintainState)
	if w.peerInterval > 0 {
		g.Go("peer reader", w.readPeers)
	}
}

// EnqueuePeerChanges queues a batch of changes that was read from a peer. It
// returns an error if ctx ends first.
func (w *Watcher) EnqueuePeerChanges(ctx context.Context, b published.Batch) error {
	return w.updates.Put(ctx, Update{Batch: b, FromPeer: true})
}

// EnqueueAges queues what the peer at an address reports about the ages of desired
// versions. It returns an error if ctx ends first.
func (w *Watcher) EnqueueAges(ctx context.Context, peer string, ages map[string][]published.VersionAge) error {
	return w.EnqueuePeerChanges(ctx, published.Batch{Ages: ages, Sender: peer})
}

// Since returns the changes after a revision, for a peer. It returns an error if
// too many queries wait or ctx ends first.
func (w *Watcher) Since(ctx context.Context, after published.Revision) (published.Batch, error) {
	reply := ring.New[published.Batch](1, ring.Wait)
	if err := w.queries.Put(ctx, query{after: after, reply: reply}); err != nil {
		return published.Batch{}, err
	}
	return reply.Take(ctx)
}

// SetFallback sets the fallback. It is read while the source does not answer and
// also at an interval, unless that is 0. It must be called before Start.
func (w *Watcher) SetFallback(f Fallback, every time.Duration) { w.fallback, w.peerInterval = f, every }

// SetSettleTime sets how long after an outage of the source processes may need to know again
// what is published. Grace periods start after that time. It must be called before Start.
func (w *Watcher) SetSettleTime(d time.Duration) { w.settleTime = d }

// SetRenewalInterval sets the time between two renewals of a registration. It must be called
// before Start.
func (w *Watcher) SetRenewalInterval(d time.Duration) { w.renewalInterval = d }

// readPeers reads the fallback at peerInterval until ctx ends. This covers the
// time in which a watch that the source dropped without an error returns no
// changes.
func (w *Watcher) readPeers(ctx context.Context) error {
	for duty.Sleep(ctx, w.peerInterval) == nil && ctx.Err() == nil {
		w.readFallback(ctx)
	}
	return nil
}

// logOlder logs how many changes of the source were dropped as older than what is known.
func (w *Watcher) logOlder(u *Update, older int) {
	if older == 0 || u.FromPeer {
		return
	}
	_ = w.logger.Log("event", "changes-dropped", "dropped", older, "of", len(u.Changes), "snapshot", u.Snapshot, "revision", u.Revision)
}

// logVersions logs each desired version of which an update told something new: the version
// itself, or more about its publication. The age is unknown if the version may have been
// published at any time.
func (w *Watcher) logVersions(now time.Time, u *Update, before, after *published.View) {
	for model, d := range after.Desired {
		known := before.Desired[model]
		if known.Version == d.Version && known.Published == d.Published {
			continue
		}
		age := "unknown"
		if d.Published.Known() {
			age = fmt.Sprintf("%.3f", now.Sub(d.Published.NotBefore).Seconds())
		}
		_ = w.logger.Log("event", "version-known", "model", model, "version", d.Version, "revision", d.Revision,
			"age", age, "uncertain", d.Published.Uncertainty.Seconds(), "from", u.origin())
	}
}

// origin returns where an update comes from, as logs show it.
func (u *Update) origin() string {
	switch {
	case u.Snapshot:
		return "snapshot"
	case u.FromPeer:
		return u.Sender
	}
	return "watch"
}

// maintainState owns the state, applies updates to it and publishes views to the
// subscribers.
func (w *Watcher) maintainState(ctx context.Context) error {
	state := published.NewState()
	state.SetRenewalInterval(w.renewalInterval)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	expiry := time.NewTimer(0)
	defer expiry.Stop()
	observed := observation{lastRun: w.now()}
	for {
		changed := false
		select {
		case u := <-w.updates.Out():
			changed = w.applyUpdate(state, &observed, &u)
			state.Trim()
		case q := <-w.queries.Out():
			_ = q.reply.Put(ctx, state.Since(time.Now(), q.after))
		case <-ticker.C:
			changed = state.CountSuspension(time.Now(), observed.run(w.now()))
		case <-expiry.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		changed = state.Expire(now) || changed
		if next := state.NextExpiry(); !next.IsZero() {
			expiry.Reset(next.Sub(now))
		}
		if changed {
			w.publish(ctx, state.View())
		}
	}
}

// applyUpdate applies an update, with what it tells about the publication of versions, to
// the state. It reports whether the view changed.
func (w *Watcher) applyUpdate(state *published.State, observed *observation, u *Update) bool {
	before, now := state.View(), w.now()
	changed := state.CountSuspension(now.steady, observed.run(now))
	if at := u.RefusedAt.steady; u.RefusedAt != (moment{}) {
		return state.NoteOutage(now.steady, at, at.Add(w.settleTime)) || changed
	}
	unheard := observed.unheard(now)
	state.SetUnheard(unheard)
	state.SetAbsentUntil(observed.absentUntil(now, u))
	changed = apply(now.steady, state, u) || changed
	w.logOlder(u, state.TakeOlder())
	if n := state.TakeDeferred(); n > 0 {
		_ = w.logger.Log("event", "removals-deferred", "upstreams", n, "unheard", unheard.Seconds(), "revision", u.Revision)
	}
	changed = state.ApplyAges(now.steady, u.Ages) || changed
	w.logVersions(now.steady, u, before, state.View())
	return changed
}

// apply applies the changes of an update to the state. It reports whether the view changed.
func apply(now time.Time, state *published.State, u *Update) bool {
	switch {
	case u.Snapshot:
		return state.Replace(now, u.Changes, u.Revision)
	case u.FromPeer:
		return state.ApplyPeer(now, u.Changes, u.Revision)
	}
	return state.Apply(now, u.Changes, u.Revision)
}

// publish logs a new view and sends it to the subscribers.
func (w *Watcher) publish(ctx context.Context, v *published.View) {
	_ = w.logger.Log("event", "view", "revision", v.Revision, "config", v.ConfigVersion(),
		"upstreams", len(v.Upstreams), "out", len(v.OutOfService))
	for _, r := range w.views {
		_ = r.Put(ctx, v)
	}
}
