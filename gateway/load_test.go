package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/platform"
)

// Guards against figures of a load that cannot be read and that nobody counts, and against
// the readable ones beside them that do not reach the router.
func TestUnreadableFiguresOfALoadAreCounted(t *testing.T) {
	logger := log.NewNopLogger()
	g := New(Settings{}, platform.Codec{}, watcher.New(newSource(), "", time.Second, logger), logger)
	c := &callHandler{gateway: g}
	load := &dispatch.Load{Running: 3, Waiting: dispatch.UnknownCount, Slots: 8, Slowdown: 2.5}
	run := c.newRun(&dispatch.Send{}, &command{}, received{})
	run.Observe(&exchange.Head{Load: load, UnreadableLoad: 2})
	require.Equal(t, uint64(2), g.metrics.loadUnreadable.Get())
	event, err := g.inbox.Take(t.Context())
	require.NoError(t, err)
	require.Equal(t, load, event.(headReceived).observation.Load)
}
