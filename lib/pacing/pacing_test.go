package pacing

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that are not counted on one of several links.
func TestReaderCountsOnEveryLink(t *testing.T) {
	machine, region := NewLink(1<<30), NewLink(Unlimited)
	text := strings.Repeat("x", 5*minBurstBytes+1)
	data, err := io.ReadAll(Reader(context.Background(), strings.NewReader(text), machine, region))
	require.NoError(t, err)
	require.Len(t, data, len(text))
	require.Equal(t, int64(len(text)), machine.Bytes())
	require.Equal(t, int64(len(text)), region.Bytes())
}

// Guards against a request that still waits for a slow link after it was
// cancelled.
func TestWaitEndsWithContext(t *testing.T) {
	l := NewLink(1)
	require.NoError(t, l.Wait(context.Background(), minBurstBytes), "the burst passes at once")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, l.Wait(ctx, 1), context.Canceled)
}

// Guards against a rate that is set on an unlimited link, and against a rate of
// zero that removes the limit.
func TestSetRate(t *testing.T) {
	l := NewLink(100)
	l.SetRate(50)
	require.InEpsilon(t, 50, float64(l.limiter.Limit()), 1e-9)
	l.SetRate(0)
	require.InEpsilon(t, 50, float64(l.limiter.Limit()), 1e-9)
	unlimited := NewLink(Unlimited)
	unlimited.SetRate(50)
	require.Nil(t, unlimited.limiter)
}
