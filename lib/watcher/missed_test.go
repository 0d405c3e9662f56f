package watcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/published"
)

// silentSource is a source whose watches fall silent at a time and fail after their wait. It
// answers all other reads. removed is left out of it, and version named, while it is silent.
type silentSource struct {
	silentFrom time.Time
	// down makes all reads fail from silentFrom to downUntil.
	downUntil time.Time
	// err is what they fail with; nil means errSilent.
	err error
	// compacted makes the source forget its history.
	compacted bool
	snapshots int
}

// failure returns the error of a read that fails.
func (s *silentSource) failure() error {
	if s.err != nil {
		return s.err
	}
	return errSilent
}

var errSilent = errors.New("no answer")

const (
	testRemoved = "b"
	testWait    = 2 * time.Second
)

func version(number int64, revision published.Revision) published.Change {
	return published.Change{Key: "v", Revision: revision, Item: published.DesiredVersion{Model: "m", Version: number}}
}

func (s *silentSource) changed() bool { return !time.Now().Before(s.silentFrom) }

func (s *silentSource) Snapshot(context.Context, string, bool) (published.Batch, error) {
	s.snapshots++
	if s.changed() && time.Now().Before(s.downUntil) {
		return published.Batch{}, s.failure()
	}
	if !s.changed() {
		return published.Batch{Changes: []published.Change{upstream("a", 1), upstream(testRemoved, 2), version(1, 3)}, Revision: 3}, nil
	}
	return published.Batch{Changes: []published.Change{upstream("a", 1), version(2, 5)}, Revision: 5}, nil
}

func (s *silentSource) Watch(ctx context.Context, _ string, after published.Revision, wait time.Duration) (published.Batch, error) {
	missed := s.changed()
	if missed && time.Now().Before(s.downUntil) {
		return published.Batch{}, s.failure()
	}
	switch {
	case missed && s.compacted && after < 5:
		return published.Batch{}, published.ErrCompacted
	case missed && after < 5:
		return published.Batch{Changes: []published.Change{{Key: testRemoved, Revision: 4, Removed: true}, version(2, 5)}, Revision: 5}, nil
	}
	_ = duty.Sleep(ctx, wait)
	if !missed && s.changed() {
		return published.Batch{}, errSilent
	}
	return published.Batch{Revision: after}, nil
}

// playSilence returns how long after the begin of the silence the removed upstream left the
// view, and the time before which the version that was named then is taken to have been absent.
func playSilence(t *testing.T, s *silentSource) (removedAfter time.Duration, absentBefore time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		s.silentFrom = begin.Add(5 * time.Second)
		if s.downUntil.IsZero() {
			s.downUntil = s.silentFrom
		}
		w := New(s, "", testWait, log.NewLogfmtLogger(io.Discard))
		views := w.Subscribe()
		g := duty.NewGroup(context.Background())
		w.Start(g)
		for removedAfter == 0 || absentBefore == 0 {
			v := next(t, views)
			if len(v.Upstreams) == 1 && removedAfter == 0 {
				removedAfter = time.Since(s.silentFrom)
			}
			if d := v.Desired["m"]; d.Version == 2 && absentBefore == 0 {
				absentBefore = s.silentFrom.Sub(d.Published.NotBefore)
			}
		}
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return removedAfter, absentBefore
}

// Guards against an upstream that stays in use because its removal was missed while the
// connection was silent, and against an update window that begins with the end of the
// silence.
func TestChangesThatASilentWatchMissed(t *testing.T) {
	s := &silentSource{}
	removedAfter, absentBefore := playSilence(t, s)
	require.LessOrEqual(t, removedAfter, testWait, "the history is read once the watch has failed")
	require.GreaterOrEqual(t, absentBefore, time.Duration(0))
	require.LessOrEqual(t, absentBefore, testWait)
	require.Equal(t, 1, s.snapshots)
}

// Guards against an update window that begins with the end of an outage, and against
// upstreams that are given up because their registrations expired in it.
func TestChangesThatAnOutageMissed(t *testing.T) {
	s := &silentSource{compacted: true}
	removedAfter, absentBefore := playSilence(t, s)
	require.GreaterOrEqual(t, removedAfter, published.LapseGrace)
	require.GreaterOrEqual(t, absentBefore, time.Duration(0))

	synctest.Test(t, func(*testing.T) { s = &silentSource{downUntil: time.Now().Add(9 * time.Second)} })
	removedAfter, absentBefore = playSilence(t, s)
	require.GreaterOrEqual(t, removedAfter, 4*time.Second+published.LapseGrace)
	require.GreaterOrEqual(t, absentBefore, time.Duration(0))
	require.LessOrEqual(t, absentBefore, testWait)
}

// Guards against an update window that begins when a paused process goes on, though the
// change had arrived before.
func TestChangeThatArrivedDuringAPause(t *testing.T) {
	now := moment{steady: time.Unix(1000, 0), uptime: time.Hour}
	o := observation{lastRun: now}
	// absentFor returns for how long the changes of an update that arrives now may have been
	// published.
	absentFor := func() time.Duration {
		o.run(now)
		return now.steady.Sub(o.absentUntil(now, &Update{Live: true}))
	}
	for range 10 {
		now = now.add(expireInterval)
		o.run(now)
	}
	require.Zero(t, absentFor())
	const pause = 3 * time.Second
	resumed := o
	now = now.add(pause)
	require.Equal(t, pause, absentFor())

	o = resumed
	o.run(now.add(time.Millisecond))
	now = now.add(2 * time.Millisecond)
	require.Equal(t, pause+2*time.Millisecond, absentFor(), "the ticker ran first")
	now = now.add(2 * time.Second)
	o.run(now)
	o.run(now.add(pauseEffect))
	now = now.add(2 * pauseEffect)
	require.Zero(t, absentFor(), "the pause is over")
}

// Guards against a loader that takes a version for overdue because its own watch was silent
// for long, though its peers, which it reads all the time, did not have the version.
func TestPeersTellThatAVersionWasAbsent(t *testing.T) {
	now := moment{steady: time.Unix(1000, 0), uptime: time.Hour}
	o := observation{lastRun: now, sourceReadAt: now.add(-30 * time.Second)}
	o.absentUntil(now, &Update{FromPeer: true, Batch: published.Batch{Revision: 4}})
	require.Equal(t, now.steady.Add(-maxPeerDelay), o.absentUntil(now.add(time.Second), &Update{}))
}

// lateSource is a source that names a version at a time and answers the watch that finds it
// after a delay.
type lateSource struct {
	namedAt time.Time
	delay   time.Duration
}

func (s *lateSource) Snapshot(context.Context, string, bool) (published.Batch, error) {
	return published.Batch{Changes: []published.Change{version(1, 3)}, Revision: 3}, nil
}

func (s *lateSource) Watch(ctx context.Context, _ string, after published.Revision, wait time.Duration) (published.Batch, error) {
	if after < 5 && !time.Now().Before(s.namedAt) {
		_ = duty.Sleep(ctx, s.delay)
		return published.Batch{Changes: []published.Change{version(2, 5)}, Revision: 5}, nil
	}
	// Other changes arrive all the time, each of them followed by a pause.
	_ = duty.Sleep(ctx, wait/100)
	return published.Batch{Changes: []published.Change{upstream("a", after)}, Revision: after}, nil
}

// startDuties starts the duties of a watcher and returns a function that ends them.
func startDuties(t *testing.T, w *Watcher) (stop func()) {
	g := duty.NewGroup(context.Background())
	w.Start(g)
	return func() {
		g.Stop()
		require.NoError(t, g.Wait())
	}
}

// Guards against an update window that begins when a process reads a version, though that had
// been published before the watch began, or the answer was held up.
func TestVersionThatAWatchFindsLate(t *testing.T) {
	for name, s := range map[string]lateSource{
		"between two watches": {delay: 0},
		"held up":             {delay: testWait + time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			// In the pause after the second watch.
			s.namedAt = time.Now().Add(2*batchDelay + 100*time.Millisecond)
			w := New(&s, "", testWait, log.NewLogfmtLogger(io.Discard))
			views := w.Subscribe()
			defer startDuties(t, w)()
			v := next(t, views)
			for v.Desired["m"].Version != 2 {
				v = next(t, views)
			}
			require.LessOrEqual(t, v.Desired["m"].Published.NotBefore, s.namedAt, name)
			require.Less(t, s.namedAt.Sub(v.Desired["m"].Published.NotBefore), batchDelay, name)
		})
	}
}

// Guards against an update window that is longer by the time for which the machine was
// suspended: the steady clock stands still meanwhile, so that the last read without a version
// seems to be later than it was.
func TestSuspensionDoesNotMakeAVersionYounger(t *testing.T) {
	const suspension = 5 * time.Second
	for name, after := range map[string]time.Duration{
		"before the version is read": 100 * time.Millisecond,
		"after it was read":          testWait + time.Second,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := silentSource{silentFrom: time.Now().Add(5 * time.Second)}
			w := New(&s, "", testWait, log.NewLogfmtLogger(io.Discard))
			begin, suspendedAt := time.Now(), s.silentFrom.Add(after)
			w.uptime = func() time.Duration {
				if time.Now().Before(suspendedAt) {
					return time.Hour + time.Since(begin)
				}
				return time.Hour + time.Since(begin) + suspension
			}
			views := w.Subscribe()
			defer startDuties(t, w)()
			time.Sleep(time.Until(suspendedAt.Add(testWait + time.Second)))
			d := next(t, views).Desired["m"]
			require.Equal(t, int64(2), d.Version, name)
			require.LessOrEqual(t, d.Published.NotBefore, s.silentFrom.Add(-suspension), name)
		})
	}
}

// Guards against weights that are due seconds too early, so that no engine may serve: they were
// named while the source refused all reads. A source that is only silent proves nothing, since
// its connections may be at fault.
func TestVersionNamedInAnOutage(t *testing.T) {
	const (
		outage = 4 * time.Second
		settle = 3 * time.Second
		grace  = 8 * time.Second
	)
	for name, c := range map[string]struct {
		err      error
		startsBy time.Duration
	}{
		"refused": {err: published.ErrUnavailable, startsBy: outage + settle},
		"silent":  {err: errSilent, startsBy: 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := silentSource{silentFrom: time.Now().Add(5 * time.Second), err: c.err}
			s.downUntil = s.silentFrom.Add(outage)
			w := New(&s, "", testWait, log.NewLogfmtLogger(io.Discard))
			w.SetSettleTime(settle)
			views := w.Subscribe()
			defer startDuties(t, w)()
			v := next(t, views)
			for v.Desired["m"].Version != 2 {
				v = next(t, views)
			}
			d := v.Desired["m"]
			require.False(t, d.Published.NotBefore.After(s.silentFrom), name)
			start := d.GraceStart(d.Published, grace)
			require.False(t, start.After(s.silentFrom.Add(c.startsBy)), name)
			require.Equal(t, errors.Is(c.err, published.ErrUnavailable), start.After(s.silentFrom.Add(outage)), name)
		})
	}
}

// Guards against a connection that breaks, or a source that restarts, taken for an outage: the
// source served others all the time, and may have named the version before.
func TestBrokenConnectionIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(&silentSource{}, "", testWait, log.NewLogfmtLogger(io.Discard))
		refuse := func(err error) { w.noteRefusal(context.Background(), w.now(), err) }
		refuse(published.ErrUnavailable)
		refuse(published.ErrUnavailable)
		time.Sleep(minOutage)
		refuse(errSilent)
		refuse(published.ErrUnavailable)
		require.Zero(t, w.updates.Depth())
		time.Sleep(minOutage)
		refuse(published.ErrUnavailable)
		require.Equal(t, 1, w.updates.Depth())
	})
}

// slowSource is a source that answers each read late. It names a version between two watches.
type slowSource struct {
	namedAt time.Time
	delay   time.Duration
}

func (s *slowSource) Snapshot(ctx context.Context, _ string, _ bool) (published.Batch, error) {
	_ = duty.Sleep(ctx, s.delay)
	return published.Batch{Changes: []published.Change{version(1, 3)}, Revision: 3}, nil
}

func (s *slowSource) Watch(ctx context.Context, _ string, after published.Revision, wait time.Duration) (published.Batch, error) {
	named := !time.Now().Before(s.namedAt)
	if !named || after >= 5 {
		_ = duty.Sleep(ctx, wait)
	}
	_ = duty.Sleep(ctx, s.delay)
	if named && after < 5 {
		return published.Batch{Changes: []published.Change{version(2, 5)}, Revision: 5}, nil
	}
	return published.Batch{Revision: after}, nil
}

// Guards against an update window that begins too late because a slow source answered a watch
// for changes that were there when it began.
func TestSlowAnswerIsNoObservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slowSource{delay: batchDelay + 50*time.Millisecond}
		// After the snapshot, in the pause before the first watch.
		s.namedAt = time.Now().Add(s.delay + batchDelay/2)
		w := New(&s, "", testWait, log.NewLogfmtLogger(io.Discard))
		views := w.Subscribe()
		defer startDuties(t, w)()
		v := next(t, views)
		for v.Desired["m"].Version != 2 {
			v = next(t, views)
		}
		require.False(t, v.Desired["m"].Published.NotBefore.After(s.namedAt))
	})
}

// Guards against a version that is taken to be older than a change with a lower revision which
// the process saw as it was made.
func TestVersionIsNewerThanChangesSeenBefore(t *testing.T) {
	now := moment{steady: time.Unix(1000, 0), uptime: time.Hour}
	w := New(&silentSource{}, "", testWait, log.NewLogfmtLogger(io.Discard))
	u := Update{Batch: published.Batch{Changes: []published.Change{version(2, 5)}, Revision: 5}}
	synctest.Test(t, func(*testing.T) {
		w.uptime = func() time.Duration { return time.Hour }
		begin := w.now()
		time.Sleep(time.Second)
		now = w.now()
		w.readSucceeded(readWatch, begin, &u)
	})
	require.True(t, u.Live)
	o := observation{lastRun: now}
	o.absentUntil(now, &u)
	later := now.add(3 * time.Second)
	require.Equal(t, now.steady, o.absentUntil(later, &Update{Snapshot: true, ReadAt: later}))
}
