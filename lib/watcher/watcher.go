// Package watcher keeps a process's view of what is published up to date: from
// the platform's store while it answers, and from peers while it does not.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
)

// Source is where published items are read.
type Source interface {
	Snapshot(ctx context.Context, prefix string, stale bool) (published.Batch, error)
	// Watch returns published.ErrCompacted if the history is gone.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (published.Batch, error)
}

const (
	// retryMin and retryMost bound the pause after a failed read.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// batchInterval is the pause after changes, in which the next ones gather:
	// each call to the store has its price.
	batchInterval = 250 * time.Millisecond
	// expireInterval is the time between two looks at lapsed upstreams.
	expireInterval = 250 * time.Millisecond
)

// Update is a batch of changes from anywhere.
type Update struct {
	published.Batch
	// Snapshot says that the batch is a snapshot of the store.
	Snapshot bool
}

// Watcher owns the state of one process. Its duties are Read, which reads the
// source, and Keep, which owns the state.
type Watcher struct {
	source Source
	prefix string
	// wait is how long a watch waits.
	wait    time.Duration
	logger  log.Logger
	updates *ring.Ring[Update]
	// fallback may be nil; it is read each peerEvery, or if that is 0 only while
	// the source does not answer.
	fallback     Fallback
	peerInterval time.Duration
	views        []*ring.Ring[*published.View]
	queries      *ring.Ring[query]
	// lastRevision is where Read goes on; it is owned by Read.
	lastRevision uint64
	unavailable  bool
}

type query struct {
	after uint64
	reply *ring.Ring[published.Batch]
}

// Fallback is where items are read while the source does not answer.
type Fallback interface {
	// Snapshot returns what is known under a prefix, not all that is published.
	Snapshot(ctx context.Context, prefix string) (published.Batch, error)
}

// New returns a watcher of the items under a prefix. A watch is renewed after
// wait, because one that the store cut in silence brings no more news.
func New(source Source, prefix string, wait time.Duration, logger log.Logger) *Watcher {
	return &Watcher{
		source:  source,
		prefix:  prefix,
		wait:    wait,
		logger:  logger,
		updates: ring.New[Update](16, ring.Wait),
		queries: ring.New[query](64, ring.Refuse),
	}
}

// Subscribe returns a ring that always holds the newest view. It must be
// called before Start.
func (w *Watcher) Subscribe() *ring.Ring[*published.View] {
	r := ring.New[*published.View](1, ring.DropOldest)
	w.views = append(w.views, r)
	return r
}

// Start runs the duties of the watcher.
func (w *Watcher) Start(g *duty.Group) {
	g.Go("store reader", w.readSource)
	g.Go("view keeper", w.maintainState)
	if w.peerInterval > 0 {
		g.Go("peer reader", w.readPeers)
	}
}

// ApplyPeerChanges takes in a batch that a peer passed on.
func (w *Watcher) ApplyPeerChanges(ctx context.Context, b published.Batch) error {
	return w.updates.Put(ctx, Update{Batch: b})
}

// Since returns the changes after a revision, for a peer.
func (w *Watcher) Since(ctx context.Context, after uint64) (published.Batch, error) {
	reply := ring.New[published.Batch](1, ring.Wait)
	if err := w.queries.Put(ctx, query{after: after, reply: reply}); err != nil {
		return published.Batch{}, err
	}
	return reply.Take(ctx)
}

// SetFallback names where items are read while the source does not answer, and
// again after each pause of every unless that is 0. It must be called before
// Start.
func (w *Watcher) SetFallback(f Fallback, interval time.Duration) {
	w.fallback, w.peerInterval = f, interval
}

// readPeers reads what others know for as long as the process runs. A watch
// that the source cut in silence brings no news until it is renewed.
func (w *Watcher) readPeers(ctx context.Context) error {
	for duty.Sleep(ctx, w.peerInterval) == nil && ctx.Err() == nil {
		w.readFallback(ctx)
	}
	return nil
}

// readSource reads the source for as long as the process runs.
func (w *Watcher) readSource(ctx context.Context) error {
	delay := retryMin
	needSnapshot := true
	for ctx.Err() == nil {
		var u Update
		var err error
		if needSnapshot {
			u.Snapshot = true
			u.Batch, err = w.source.Snapshot(ctx, w.prefix, false)
		} else {
			u.Batch, err = w.source.Watch(ctx, w.prefix, w.lastRevision, w.wait)
		}
		if err != nil {
			// After a failure the registrations may have lapsed meanwhile, and
			// only a snapshot tells what is missing.
			needSnapshot = true
			w.logLost(ctx, err)
			w.readFallback(ctx)
			jitter := time.Duration(rand.Int64N(int64(delay)))
			_ = duty.Sleep(ctx, delay/2+jitter)
			delay = min(2*delay, retryMax)
			continue
		}
		w.logRegained()
		delay = retryMin
		needSnapshot = false
		w.lastRevision = u.Revision
		hasChanges := len(u.Changes) > 0
		for _, f := range u.Findings {
			_ = w.logger.Log("event", "item-unreadable", "err", f)
		}
		if w.updates.Put(ctx, u) != nil {
			return nil
		}
		if hasChanges {
			_ = duty.Sleep(ctx, batchInterval)
		}
	}
	return nil
}

// readFallback reads what others know.
func (w *Watcher) readFallback(ctx context.Context) {
	if w.fallback == nil || ctx.Err() != nil {
		return
	}
	if b, err := w.fallback.Snapshot(ctx, w.prefix); err == nil {
		_ = w.updates.Put(ctx, Update{Batch: b})
	}
}

func (w *Watcher) logLost(ctx context.Context, err error) {
	if w.unavailable || ctx.Err() != nil || errors.Is(err, published.ErrCompacted) {
		return
	}
	w.unavailable = true
	_ = w.logger.Log("event", "dependency-lost", "dependency", "store", "revision", w.lastRevision, "err", err)
}

func (w *Watcher) logRegained() {
	if w.unavailable {
		w.unavailable = false
		_ = w.logger.Log("event", "dependency-regained", "dependency", "store", "revision", w.lastRevision)
	}
}

// maintainState owns the state and hands out views.
func (w *Watcher) maintainState(ctx context.Context) error {
	state := published.NewState()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case u := <-w.updates.Out():
			if u.Snapshot {
				changed = state.Replace(time.Now(), u.Changes, u.Revision)
			} else {
				changed = state.Apply(time.Now(), u.Changes, u.Revision)
			}
			state.Trim()
		case q := <-w.queries.Out():
			_ = q.reply.Put(ctx, state.Since(time.Now(), q.after))
		case <-ticker.C:
			changed = state.Expire(time.Now())
		case <-ctx.Done():
			return nil
		}
		if changed {
			w.publish(ctx, state.View())
		}
	}
}

func (w *Watcher) publish(ctx context.Context, v *published.View) {
	version := int64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	_ = w.logger.Log("event", "view", "revision", v.Revision, "config", version,
		"upstreams", len(v.Upstreams), "out", len(v.OutOfService))
	for _, r := range w.views {
		_ = r.Put(ctx, v)
	}
}
