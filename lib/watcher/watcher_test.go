package watcher

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
)

// maxWait is the longest time that a test waits for an event.
const maxWait = 30 * time.Second

// scriptedSource is a source whose watches return the results of steps; the last
// step repeats.
type scriptedSource struct {
	mu       sync.Mutex
	steps    []step
	snapshot []published.Change
	watches  int
	waits    []time.Duration
	// stopAfter is the number of watches after which one waits until its context ends; 0
	// for none.
	stopAfter int
}

type step struct {
	batch published.Batch
	err   error
	// idle makes the watch wait for its whole time.
	idle bool
}

func (s *scriptedSource) Snapshot(context.Context, string, bool) (published.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return published.Batch{Changes: s.snapshot, Revision: published.Revision(len(s.snapshot))}, nil
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, _ published.Revision, wait time.Duration) (published.Batch, error) {
	s.mu.Lock()
	next := s.steps[min(s.watches, len(s.steps)-1)]
	s.watches++
	s.waits = append(s.waits, wait)
	stopped := s.stopAfter > 0 && s.watches > s.stopAfter
	s.mu.Unlock()
	if stopped {
		<-ctx.Done()
	}
	if next.idle {
		_ = duty.Sleep(ctx, wait)
	}
	return next.batch, next.err
}

func upstream(id string, revision published.Revision) published.Change {
	return published.Change{Key: id, Revision: revision, Item: &published.Upstream{Address: id}}
}

func run(t *testing.T, s Source, wait time.Duration) (*Watcher, *ring.Ring[*published.View]) {
	w := New(s, "", wait, log.NewLogfmtLogger(io.Discard))
	views := w.Subscribe()
	g := duty.NewGroup(context.Background())
	w.Start(g)
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return w, views
}

func next(t *testing.T, views *ring.Ring[*published.View]) *published.View {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	v, err := views.Take(ctx)
	require.NoError(t, err)
	return v
}

// Guards against a process that keeps an old view after the store dropped its
// watch without an error and compacted the history.
func TestIdleWatchIsRenewed(t *testing.T) {
	s := &scriptedSource{
		snapshot: []published.Change{upstream("a", 1)},
		steps:    []step{{idle: true}, {err: published.ErrCompacted}, {idle: true}},
	}
	_, views := run(t, s, 10*time.Millisecond)
	require.Len(t, next(t, views).Upstreams, 1)
	s.mu.Lock()
	s.snapshot = append(s.snapshot, upstream("b", 2))
	s.mu.Unlock()
	require.Len(t, next(t, views).Upstreams, 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waits {
		require.Equal(t, 10*time.Millisecond, w)
	}
}

// Guards against a process that misses changes after the store was unavailable.
func TestWatchResumesAfterStoreOutage(t *testing.T) {
	s := &scriptedSource{
		snapshot: []published.Change{upstream("a", 1)},
		steps:    []step{{err: errors.New("refused")}, {batch: published.Batch{Changes: []published.Change{upstream("b", 5)}, Revision: 5}}, {idle: true}},
	}
	_, views := run(t, s, 10*time.Millisecond)
	for len(next(t, views).Upstreams) < 2 {
	}
}

// Guards against losing the changes of a peer, and against answering a peer
// without the changes that this process knows.
func TestPeerChangesAreForwarded(t *testing.T) {
	s := &scriptedSource{snapshot: []published.Change{upstream("a", 1)}, steps: []step{{idle: true}}}
	w, views := run(t, s, time.Second)
	require.Len(t, next(t, views).Upstreams, 1)
	require.NoError(t, w.EnqueuePeerChanges(context.Background(), published.Batch{Changes: []published.Change{upstream("b", 7)}, Revision: 7}))
	require.Len(t, next(t, views).Upstreams, 2)
	a, err := w.Since(context.Background(), 1)
	require.NoError(t, err)
	require.Len(t, a.Changes, 1)
	require.Equal(t, "b", a.Changes[0].Key)
}

// fixedFallback is a fallback that returns the same changes each time.
type fixedFallback []published.Change

// Snapshot implements Fallback.
func (p fixedFallback) Snapshot(context.Context, string) (published.Batch, error) {
	return published.Batch{Changes: p, Revision: 9}, nil
}

// Guards against a process that waits for its watch to be renewed although peers
// have newer changes: a watch that was dropped without an error lasts its whole
// time.
func TestPeersAreReadDuringAnIdleWatch(t *testing.T) {
	s := &scriptedSource{snapshot: []published.Change{upstream("a", 1)}, steps: []step{{idle: true}}}
	w := New(s, "", time.Hour, log.NewLogfmtLogger(io.Discard))
	w.SetFallback(fixedFallback{upstream("b", 9)}, time.Millisecond)
	views := w.Subscribe()
	g := duty.NewGroup(context.Background())
	w.Start(g)
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	for len(next(t, views).Upstreams) < 2 {
	}
}

// Guards against a process that acts on a wrong age of a version while its log does not say
// when and from whom it learned of it.
func TestLogNamesWhereAVersionIsKnownFrom(t *testing.T) {
	var lines strings.Builder
	w := New(&scriptedSource{}, "", time.Second, log.NewLogfmtLogger(&lines))
	now := time.Now()
	state := published.NewState()
	state.Replace(now, []published.Change{version(1, 1)}, 1)
	before := state.View()
	state.Apply(now, []published.Change{version(2, 2)}, 2)
	after := state.View()
	w.logVersions(now.Add(2*time.Second), &Update{Batch: published.Batch{Sender: "10.0.0.1:7000"}, FromPeer: true}, before, after)
	require.Contains(t, lines.String(), "event=version-known model=m version=2 revision=2 age=2.000 uncertain=0 from=10.0.0.1:7000")
	lines.Reset()
	w.logVersions(now, &Update{}, after, after)
	require.Empty(t, lines.String(), "nothing new")
}
