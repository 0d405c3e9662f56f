package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
)

// serveOnce sends a request to the only upstream, which answers with an observation.
func (h *harness) serveOnce(o Observation, end retry.End) {
	h.t.Helper()
	ticket, actions := h.arrive("/read/1")
	h.sent(actions)
	h.core.Observe(h.now, ticket, o)
	h.core.AttemptEnded(h.now, ticket, AttemptResult{End: end})
}

// Guards against requests to an upstream that said in an answer that it leaves, before the
// store says so, also if its registration is lost and comes back meanwhile. A later start
// under the same id gets requests again.
func TestUpstreamThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	v := view(deskUpstream("a", "north-a"))
	h := newHarness(t, v)
	h.serveOnce(Observation{Leaving: true}, retry.Answered)
	for range 3 {
		_, actions := h.arrive("/read/1")
		require.Equal(t, NotRun, h.refused(actions).Verdict)
		h.now = h.now.Add(time.Second)
		h.core.Update(h.now, view())
		h.core.Update(h.now, v)
	}
	restarted := deskUpstream("a", "north-a")
	restarted.StartTime = 7
	h.core.Update(h.now, view(restarted))
	_, actions := h.arrive("/read/1")
	h.sent(actions)
}

// Guards against requests to an upstream that turned one away and said for how long it
// wants nothing from this entry, and against one that is left alone for longer.
func TestUpstreamIsLeftAloneAsLongAsItSays(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a")))
	h.serveOnce(Observation{RetryAfter: 3 * time.Second}, retry.Answered)
	h.now = h.now.Add(2900 * time.Millisecond)
	h.core.ApplyNotice(h.now, Notice{Address: "a", StartTime: 0})
	_, actions := h.arrive("/read/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict)
	h.now = h.now.Add(100 * time.Millisecond)
	_, actions = h.arrive("/read/1")
	h.sent(actions)
}
