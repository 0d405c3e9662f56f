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

// watchesIn returns how often a watcher watches a source within a minute.
func watchesIn(t *testing.T, s *scriptedSource) int {
	synctest.Test(t, func(t *testing.T) {
		w := New(s, "", 10*time.Second, log.NewLogfmtLogger(io.Discard))
		g := duty.NewGroup(context.Background())
		w.Start(g)
		time.Sleep(time.Minute)
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return s.watches
}

// Guards against a store whose snapshots can be read and whose watches cannot: each
// snapshot resets the delay of the next read, so that every process reads all items three
// times per second.
func TestUnreadableWatchesAreRetriedWithADelay(t *testing.T) {
	s := &scriptedSource{snapshot: []published.Change{upstream("a", 1)}, steps: []step{{err: errors.New("unreadable")}}}
	watches := watchesIn(t, s)
	require.Greater(t, watches, 30)
	require.Less(t, watches, int(time.Minute/(retryMax/2)))
}

// Guards against a source whose watches return at once and without changes, as those of
// a store do that states no usable revision: the reader never waits.
func TestWatchesThatReturnAtOnceAreDelayed(t *testing.T) {
	s := &scriptedSource{snapshot: []published.Change{upstream("a", 1)}, steps: []step{{batch: published.Batch{Revision: 1}}}}
	// Without the delay the clock of the test stands still.
	const most = 100_000
	s.stopAfter = most
	require.Less(t, watchesIn(t, s), int(time.Minute/batchDelay)+2)
}
