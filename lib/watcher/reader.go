package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/published"
)

const (
	// retryMin and retryMax bound the delay after a failed read, before jitter. What was missed
	// is to count within the time that a process has after an outage, of which LapseGrace takes
	// most.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// batchDelay is the delay between a read that returned changes, or a watch that
	// returned at once, and the next one. Further changes accumulate meanwhile, which
	// saves calls to the store.
	batchDelay = 250 * time.Millisecond
	// resumeWait is the wait of a watch that only reads what was missed.
	resumeWait = time.Millisecond
)

// readKind is how the source is read next.
type readKind uint8

const (
	// readSnapshot reads all items. What is missing may have expired while the source was
	// unavailable.
	readSnapshot readKind = iota
	// readWatch waits for changes.
	readWatch
	// readMissed reads the changes since the last read, after a read that failed. They tell what
	// the source removed, and whether it was available.
	readMissed
)

// sourceReads is the state of the duty readSource.
type sourceReads struct {
	next readKind
	// revision is the revision after which the next watch starts. hasHistory is set while the
	// source may have the changes since then.
	revision   published.Revision
	hasHistory bool
	// watchFails is set once the source has answered a snapshot, but then no read of what was
	// missed, until it answers one or a watch.
	watchFails bool
	// failed is set from a read that failed to the next one that succeeds.
	failed bool
	delay  time.Duration
	// unavailable is set from the first logged failure of an outage to its end.
	unavailable bool
	// refusedSince is when the source refused the first one of the last reads; zero if it did
	// not refuse the last one.
	refusedSince moment
	// answerDelay is the time that the source last took to answer a read beyond the wait that
	// was asked for.
	answerDelay time.Duration
}

// readSource reads the source until ctx ends.
func (w *Watcher) readSource(ctx context.Context) error {
	w.reads.delay = retryMin
	for ctx.Err() == nil {
		kind, startedAt := w.reads.next, w.now()
		u, err := w.readOnce(ctx, kind)
		if err != nil {
			w.noteRefusal(ctx, startedAt, err)
			w.readFailed(ctx, kind, time.Since(startedAt.steady), err)
			continue
		}
		if kind == readSnapshot && w.preferMissed(ctx, &u) {
			kind = readMissed
		}
		// A watch without changes waits at the store, unless that is at fault.
		pause := len(u.Changes) > 0 || kind == readWatch && time.Since(startedAt.steady) < batchDelay
		w.readSucceeded(kind, startedAt, &u)
		if w.updates.Put(ctx, u) != nil {
			return nil
		}
		if pause {
			_ = duty.Sleep(ctx, batchDelay)
		}
	}
	return nil
}

// preferMissed replaces a snapshot that follows reads which failed by the changes that were missed,
// if the source has them: a snapshot does not tell why something is missing. It reports whether it
// did.
func (w *Watcher) preferMissed(ctx context.Context, u *Update) bool {
	r := &w.reads
	if !r.hasHistory || r.watchFails {
		return false
	}
	missed, err := w.readOnce(ctx, readMissed)
	if err != nil {
		r.watchFails = true
		return false
	}
	*u = missed
	return true
}

// readOnce reads the source in one way.
func (w *Watcher) readOnce(ctx context.Context, kind readKind) (u Update, err error) {
	switch kind {
	case readSnapshot:
		u.Snapshot = true
		u.Batch, err = w.source.Snapshot(ctx, w.prefix, false)
	case readWatch:
		u.Batch, err = w.source.Watch(ctx, w.prefix, w.reads.revision, w.wait)
	case readMissed:
		u.Batch, err = w.source.Watch(ctx, w.prefix, w.reads.revision, resumeWait)
	}
	if err == nil {
		err = w.checkEra(&u)
	}
	return u, err
}

// readSucceeded records a read and completes its update.
func (w *Watcher) readSucceeded(kind readKind, startedAt moment, u *Update) {
	r := &w.reads
	took := time.Since(startedAt.steady)
	u.ReadAt = startedAt
	waited := kind == readWatch && len(u.Changes) == 0 && took >= w.wait
	if waited {
		// The source waited with its answer.
		u.ReadAt = startedAt.add(w.wait)
	}
	u.Live = kind == readWatch && !r.failed && took >= batchDelay+maxDelayGrowth*r.answerDelay && took <= w.wait
	switch {
	case waited:
		r.answerDelay = took - w.wait
	case u.Live:
		// The answer was held for the changes. Later ones are newer than these.
		u.ReadAt = w.now()
	case kind == readWatch:
		// How much of the time it waited for changes is not known.
		r.answerDelay = min(r.answerDelay, took)
	default:
		r.answerDelay = took
	}
	w.logRegained()
	if kind != readSnapshot {
		r.watchFails = false
	}
	if kind == readWatch {
		// A store may answer everything else while none of its watches can be read.
		r.delay = retryMin
	}
	if u.Revision.Era() > r.revision.Era() {
		_ = w.logger.Log("event", "store-restored", "revision", u.Revision, "known", r.revision)
	}
	for _, f := range u.Findings {
		_ = w.logger.Log("event", "item-unreadable", "err", f)
	}
	r.next, r.revision, r.hasHistory, r.failed, r.refusedSince = readWatch, u.Revision, true, false, moment{}
}

const (
	// maxDelayGrowth is the factor by which the source may become slower from one answer to the
	// next. A watch that is answered at once finds what changed before it began, and a slow
	// source answers such a watch late too; one that is answered after its wait may have been
	// held up.
	maxDelayGrowth = 2
	// minOutage is how long the source must refuse all reads until that counts as an outage. A
	// source that restarts, or a connection that breaks, refuses one or two.
	minOutage = 400 * time.Millisecond
)

// noteRefusal reports a read that the source refused, if it has refused all reads for minOutage.
// A read that failed otherwise tells nothing about the source, since its connection may be at
// fault.
func (w *Watcher) noteRefusal(ctx context.Context, startedAt moment, err error) {
	r := &w.reads
	if !errors.Is(err, published.ErrUnavailable) {
		r.refusedSince = moment{}
		return
	}
	if r.refusedSince == (moment{}) {
		r.refusedSince = w.now()
	}
	if startedAt.since(r.refusedSince) >= minOutage {
		_ = w.updates.Put(ctx, Update{RefusedAt: startedAt})
	}
}

// readFailed chooses the next read after one that failed, and waits until it is due. It is due at
// once after a read that took long, which has waited already.
func (w *Watcher) readFailed(ctx context.Context, kind readKind, took time.Duration, err error) {
	r := &w.reads
	r.failed = true
	r.next = r.afterFailure(kind, err)
	w.logLost(ctx, err)
	slow := took >= batchDelay
	if kind != readWatch || !slow {
		w.readFallback(ctx)
	}
	// The source has answered that it does not have what was missed.
	answered := kind == readMissed && !r.hasHistory
	if slow || answered {
		return
	}
	jitter := time.Duration(rand.Int64N(int64(r.delay)))
	_ = duty.Sleep(ctx, r.delay/2+jitter)
	r.delay = min(2*r.delay, retryMax)
}

// afterFailure returns the kind of the read after one that failed. The changes that were missed
// are read, on another connection, as long as the source may have them. A source that can be
// reached and does not answer that read may answer a snapshot.
func (r *sourceReads) afterFailure(kind readKind, err error) readKind {
	if errors.Is(err, published.ErrCompacted) || errors.Is(err, errOtherEra) {
		r.hasHistory = false
	}
	if !r.hasHistory || kind == readMissed && !errors.Is(err, published.ErrUnreachable) {
		return readSnapshot
	}
	return readMissed
}

// readFallback reads the fallback once, if there is one.
func (w *Watcher) readFallback(ctx context.Context) {
	if w.fallback == nil || ctx.Err() != nil {
		return
	}
	if b, err := w.fallback.Snapshot(ctx, w.prefix); err == nil {
		_ = w.updates.Put(ctx, Update{Batch: b, FromPeer: true})
	}
}

// logLost logs the first failed read of an outage, except for compaction and restores.
func (w *Watcher) logLost(ctx context.Context, err error) {
	if w.reads.unavailable || ctx.Err() != nil || errors.Is(err, published.ErrCompacted) || errors.Is(err, errOtherEra) {
		return
	}
	w.reads.unavailable = true
	_ = w.logger.Log("event", "dependency-lost", "dependency", "store", "revision", w.reads.revision, "err", err)
}

// logRegained logs the end of an outage.
func (w *Watcher) logRegained() {
	if w.reads.unavailable {
		w.reads.unavailable = false
		_ = w.logger.Log("event", "dependency-regained", "dependency", "store", "revision", w.reads.revision)
	}
}

// errOtherEra ends a read of the source that belongs to another era than the last one.
var errOtherEra = errors.New("read of another era of the store")

// checkEra returns an error if changes may be missing from a read because the source was
// restored meanwhile, or if the read is of an earlier era than a previous one.
func (w *Watcher) checkEra(u *Update) error {
	era, known := u.Revision.Era(), w.reads.revision.Era()
	if era < known || era > known && !u.Snapshot {
		return errOtherEra
	}
	return nil
}
