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
	// compacted makes the source forget its history.
	compacted bool
	snapshots int
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
		return published.Batch{}, errSilent
	}
	if !s.changed() {
		return published.Batch{Changes: []published.Change{upstream("a", 1), upstream(testRemoved, 2), version(1, 3)}, Revision: 3}, nil
	}
	return published.Batch{Changes: []published.Change{upstream("a", 1), version(2, 5)}, Revision: 5}, nil
}

func (s *silentSource) Watch(ctx context.Context, _ string, after published.Revision, wait time.Duration) (published.Batch, error) {
	missed := s.changed()
	if missed && time.Now().Before(s.downUntil) {
		return published.Batch{}, errSilent
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
// view.
func playSilence(t *testing.T, s *silentSource) (removedAfter time.Duration) {
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
		for removedAfter == 0 {
			v := next(t, views)
			if len(v.Upstreams) == 1 && removedAfter == 0 {
				removedAfter = time.Since(s.silentFrom)
			}
		}
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return removedAfter
}

// Guards against an upstream that stays in use because its removal was missed while the
// connection was silent.
func TestChangesThatASilentWatchMissed(t *testing.T) {
	s := &silentSource{}
	removedAfter := playSilence(t, s)
	require.LessOrEqual(t, removedAfter, testWait, "the history is read once the watch has failed")
	require.Equal(t, 1, s.snapshots)
}

// Guards against upstreams that are given up because their registrations expired in an
// outage.
func TestChangesThatAnOutageMissed(t *testing.T) {
	s := &silentSource{compacted: true}
	removedAfter := playSilence(t, s)
	require.GreaterOrEqual(t, removedAfter, published.LapseGrace)

	synctest.Test(t, func(*testing.T) { s = &silentSource{downUntil: time.Now().Add(9 * time.Second)} })
	removedAfter = playSilence(t, s)
	require.GreaterOrEqual(t, removedAfter, 4*time.Second+published.LapseGrace)
}
