package pacing

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that cross a link uncounted, on any of its links.
func TestReaderCountsOnEveryLink(t *testing.T) {
	machine, region := NewLink(1<<30), NewLink(Unlimited)
	text := strings.Repeat("x", 5*minBurst+1)
	data, err := io.ReadAll(Reader(context.Background(), strings.NewReader(text), machine, region))
	require.NoError(t, err)
	require.Len(t, data, len(text))
	require.Equal(t, int64(len(text)), machine.Bytes())
	require.Equal(t, int64(len(text)), region.Bytes())
}

// Guards against a request that waits for a slow link after it was cancelled.
func TestWaitEndsWithContext(t *testing.T) {
	l := NewLink(1)
	require.NoError(t, l.Wait(context.Background(), minBurst), "the burst passes at once")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, l.Wait(ctx, 1), context.Canceled)
}

// Guards against a share between regions that is set on a link without a
// limit, or removed by a share of nothing.
func TestSetRate(t *testing.T) {
	l := NewLink(100)
	l.SetRate(50)
	require.InEpsilon(t, 50, float64(l.limiter.Limit()), 1e-9)
	l.SetRate(0)
	require.InEpsilon(t, 50, float64(l.limiter.Limit()), 1e-9)
	free := NewLink(Unlimited)
	free.SetRate(50)
	require.Nil(t, free.limiter)
}
