package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
)

// answerStating lets a request run at the engine with a slowdown that it states and a time to the
// first byte.
func (h *harness) answerStating(slowdown float64, firstByte time.Duration) {
	ticket, actions := h.arrive("/stream/1")
	h.sent(actions)
	h.now = h.now.Add(firstByte)
	h.core.Observe(h.now, ticket, Observation{Load: &Load{Slots: 4, Slowdown: slowdown}})
	h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, FirstByte: firstByte})
}

// Load: engines on accelerators of their own, beside processors that others slow down. Guards
// against engines that are avoided for a slowdown which does not show in their responses, so
// that the others get more than they can serve.
func TestSlowdownWithoutEffectDoesNotCount(t *testing.T) {
	for firstByte, expected := range map[time.Duration]float64{
		100 * time.Millisecond: 1, 110 * time.Millisecond: 1, 175 * time.Millisecond: 1.75, 250 * time.Millisecond: 2.5, 400 * time.Millisecond: 2.5,
	} {
		h := newHarness(t, view(replica("a", 1)))
		u := h.core.upstreams["a"]
		for i := range 2 * minEffectSamples {
			if i == minEffectSamples-1 {
				u.observeSpeed(h.now, 2.5)
				require.Equal(t, 2.5, u.speed.slowdown(h.now), "an upstream is trusted until its responses tell")
			}
			h.answerStating(1, 100*time.Millisecond)
			h.answerStating(2.5, firstByte)
		}
		require.InDelta(t, expected, u.speed.slowdown(h.now), 0.01, "%s", firstByte)
	}
}

// Guards against a slowdown that is learnt from responses which state none, and against one
// response that decides.
func TestEffectNeedsStatedSpeeds(t *testing.T) {
	var e speedEffect
	for range 3 * maxEffectSamples {
		e.add(time.Second, 0)
		e.add(0, 2)
	}
	e.add(time.Millisecond, 2)
	e.add(time.Second, 1)
	require.Equal(t, speedEffect{usual: e.usual, slow: e.slow}, e)
	require.Equal(t, 1, e.slow.count)
	require.Equal(t, 1.0, e.weight())
}
