package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// readTimeout is the timeout of the plain route in these tests, which leaves time after a
// silence.
const readTimeout = 6 * time.Second

// movedRead returns a core in which the hedge of a repeatable request took the place of the attempt
// at the silent upstream "a", with a budget of the given number of retries.
func movedRead(t *testing.T, retries float64, others ...*published.Upstream) (*harness, Ticket, Send) {
	t.Helper()
	v := view(deskUpstream("a", "north-a"))
	v.Config.Routes[2].Timeout = readTimeout
	v.Config.Index()
	h := newHarness(t, v)
	limits := retry.WindowLimits{Reserve: retries * minProcesses, Window: 10 * time.Second}
	h.core.service(h.now, desk).retryBudget = retry.NewWindow(limits, h.now)
	ticket, actions := h.arrive("/read/1")
	h.sent(actions)
	moved := view(append(others, deskUpstream("a", "north-a"))...)
	moved.Config = v.Config
	h.core.Update(h.now, moved)
	since := h.now
	h.advance(silentFor)
	send := h.hedged(h.core.AttemptSilent(h.now, ticket, Silence{Since: since}))
	require.Equal(t, ticket, send.Ticket)
	require.NotEqual(t, fleet.InstanceID("a"), send.Upstream)
	h.replaced(ticket, AttemptResult{End: retry.Stalled})
	return h, ticket, send
}

// Guards against a request that is given up because the upstream to which it was moved, away
// from a silent one, is full: it goes on at another upstream, or waits until one has room.
func TestMovedRequestWaitsAfterARefusal(t *testing.T) {
	h, ticket, send := movedRead(t, 3, deskUpstream("b", "north-a"), deskUpstream("c", "north-a"))
	next := h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}))
	require.NotContains(t, []fleet.InstanceID{"a", send.Upstream}, next.Upstream)
	require.Empty(t, h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}), "it waits")
	require.Equal(t, 1, h.core.Waiting())
	h.advance(refusalPause)
	again := h.sent(h.core.Tick(h.now))
	require.Equal(t, ticket, again.Ticket)
	require.NotEqual(t, fleet.InstanceID("a"), again.Upstream)
}

// Guards against retries beyond the budget: a moved request that a full upstream refused is
// ended if no retry is left, and its caller is not told that it has not run.
func TestMovedRequestEndsWithoutABudget(t *testing.T) {
	h, ticket, _ := movedRead(t, 1, deskUpstream("b", "north-a"), deskUpstream("c", "north-a"))
	r := h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}))
	require.Equal(t, OutcomeUnknown, r.Verdict)
	require.Zero(t, r.RetryAfter)
}

// Guards against a further possible run of a moved request that waited after a refusal: it
// has run at two upstreams when the second one falls silent as well.
func TestMovedRequestRunsNoMoreThanAllowed(t *testing.T) {
	h, ticket, _ := movedRead(t, 9, deskUpstream("b", "north-a"), deskUpstream("c", "north-a"))
	h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}))
	r := h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Stalled}))
	require.Equal(t, OutcomeUnknown, r.Verdict)
}
