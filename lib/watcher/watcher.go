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
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// gatherPause is the pause after changes, in which the next ones gather:
	// each call to the store has its price.
	gatherPause = 250 * time.Millisecond
	// expireEvery is the time between two looks at lapsed upstreams.
	expireEvery = 250 * time.Millisecond
)

// News is a batch of changes from anywhere.
type News struct {
	published.Batch
	// Whole says that the batch is a snapshot of the store.
	Whole bool
}

// Watcher owns the state of one process. Its duties are Read, which reads the
// source, and Keep, which owns the state.
type Watcher struct {
	source Source
	prefix string
	// wait is how long a watch waits.
	wait   time.Duration
	logger log.Logger
	news   *ring.Ring[News]
	// fallback may be nil; it is read each peerEvery, or if that is 0 only while
	// the source does not answer.
	fallback  Fallback
	peerEvery time.Duration
	views     []*ring.Ring[*published.View]
	asks      *ring.Ring[ask]
	// resume is where Read goes on; it is owned by Read.
	resume uint64
	lost   bool
}

type ask struct {
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
		source: source,
		prefix: prefix,
		wait:   wait,
		logger: logger,
		news:   ring.New[News](16, ring.Wait),
		asks:   ring.New[ask](64, ring.Refuse),
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
	g.Go("store reader", w.read)
	g.Go("view keeper", w.keep)
	if w.peerEvery > 0 {
		g.Go("peer reader", w.readPeers)
	}
}

// Tell takes in a batch that a peer passed on.
func (w *Watcher) Tell(ctx context.Context, b published.Batch) error {
	return w.news.Put(ctx, News{Batch: b})
}

// Since returns the changes after a revision, for a peer.
func (w *Watcher) Since(ctx context.Context, after uint64) (published.Batch, error) {
	reply := ring.New[published.Batch](1, ring.Wait)
	if err := w.asks.Put(ctx, ask{after: after, reply: reply}); err != nil {
		return published.Batch{}, err
	}
	return reply.Take(ctx)
}

// SetFallback names where items are read while the source does not answer, and
// again after each pause of every unless that is 0. It must be called before
// Start.
func (w *Watcher) SetFallback(f Fallback, every time.Duration) { w.fallback, w.peerEvery = f, every }

// readPeers reads what others know for as long as the process runs. A watch
// that the source cut in silence brings no news until it is renewed.
func (w *Watcher) readPeers(ctx context.Context) error {
	for duty.Sleep(ctx, w.peerEvery) == nil && ctx.Err() == nil {
		w.fallBack(ctx)
	}
	return nil
}

// read reads the source for as long as the process runs.
func (w *Watcher) read(ctx context.Context) error {
	pause := retryFirst
	whole := true
	for ctx.Err() == nil {
		var n News
		var err error
		if whole {
			n.Whole = true
			n.Batch, err = w.source.Snapshot(ctx, w.prefix, false)
		} else {
			n.Batch, err = w.source.Watch(ctx, w.prefix, w.resume, w.wait)
		}
		if err != nil {
			// After a failure the registrations may have lapsed meanwhile, and
			// only a snapshot tells what is missing.
			whole = true
			w.failed(ctx, err)
			w.fallBack(ctx)
			jitter := time.Duration(rand.Int64N(int64(pause)))
			_ = duty.Sleep(ctx, pause/2+jitter)
			pause = min(2*pause, retryMost)
			continue
		}
		w.regained()
		pause = retryFirst
		whole = false
		w.resume = n.Revision
		gathered := len(n.Changes) > 0
		for _, f := range n.Findings {
			_ = w.logger.Log("event", "item-unreadable", "err", f)
		}
		if w.news.Put(ctx, n) != nil {
			return nil
		}
		if gathered {
			_ = duty.Sleep(ctx, gatherPause)
		}
	}
	return nil
}

// fallBack reads what others know.
func (w *Watcher) fallBack(ctx context.Context) {
	if w.fallback == nil || ctx.Err() != nil {
		return
	}
	if b, err := w.fallback.Snapshot(ctx, w.prefix); err == nil {
		_ = w.news.Put(ctx, News{Batch: b})
	}
}

func (w *Watcher) failed(ctx context.Context, err error) {
	if w.lost || ctx.Err() != nil || errors.Is(err, published.ErrCompacted) {
		return
	}
	w.lost = true
	_ = w.logger.Log("event", "dependency-lost", "dependency", "store", "revision", w.resume, "err", err)
}

func (w *Watcher) regained() {
	if w.lost {
		w.lost = false
		_ = w.logger.Log("event", "dependency-regained", "dependency", "store", "revision", w.resume)
	}
}

// keep owns the state and hands out views.
func (w *Watcher) keep(ctx context.Context) error {
	state := published.NewState()
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case n := <-w.news.Out():
			if n.Whole {
				changed = state.Replace(time.Now(), n.Changes, n.Revision)
			} else {
				changed = state.Apply(time.Now(), n.Changes, n.Revision)
			}
			state.Trim()
		case q := <-w.asks.Out():
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
