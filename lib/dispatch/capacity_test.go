package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/retry"
)

// Guards against too many prompts sent to an engine at once: it reads them one
// after the other, and the last requests would miss their first-byte goal.
func TestUnreadPromptsBoundAnEngine(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.next++
	long := Call{ID: "id", Host: "h", Path: "/stream/1", Key: "key", Model: model, PromptTokens: 1000, TimeBudget: 6 * time.Second}
	h.sent(h.core.Arrive(h.now, h.next, long))
	first := h.next
	h.next++
	require.Empty(t, h.core.Arrive(h.now, h.next, long))
	require.Len(t, h.core.ResponseStarted(h.now, first), 1)
}

// Guards against an engine that several gateways overload together.
func TestRequestsOfOtherGatewaysCount(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := h.arrive("/stream/1")
	require.Empty(t, actions)
	h.core.SetPeerLoads(h.now, nil, nil)
	require.Len(t, h.core.Tick(h.now), 1)
}

// Guards against a request that stays queued until its caller disconnects: it is
// rejected once its wait is over, with a retry delay that callers honour.
func TestQueueTimeoutCarriesRetryAfter(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := h.arrive("/stream/1")
	require.Empty(t, actions)
	h.now = h.now.Add(time.Duration(streamWaitShare * float64(400*time.Millisecond)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	r := h.refused(h.core.Tick(h.now))
	require.Equal(t, NotRun, r.Verdict)
	require.Positive(t, r.RetryAfter)
	require.LessOrEqual(t, r.RetryAfter, 2*time.Second)
}

// Pattern: all engines lost at once. Guards against callers that wait in turn although
// nothing was sent for a while: further ones are rejected at once, until an engine
// has capacity again.
func TestStalledServiceRejectsAtOnce(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	full := map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}
	returning := func() []Action {
		h.next++
		return h.core.Arrive(h.now, h.next, Call{Host: "h", Path: "/stream/1", Key: "key", TimeBudget: 4 * time.Second, Model: model})
	}
	first, actions := h.arrive("/stream/1")
	h.sent(actions)
	h.core.AttemptEnded(h.now, first, AttemptResult{End: retry.Answered})
	h.core.SetPeerLoads(h.now, full, nil)
	require.Empty(t, returning())
	h.now = h.now.Add(stallTime)
	h.core.SetPeerLoads(h.now, full, nil)
	r := h.refused(returning())
	require.Equal(t, NotRun, r.Verdict)
	require.Positive(t, r.RetryAfter)
	h.core.SetPeerLoads(h.now, nil, nil)
	h.sent(h.core.Tick(h.now))
	_, actions = h.arrive("/stream/1")
	h.sent(actions)
}

// Guards against a stream that breaks off because the other engines have no free
// slot when its engine is lost.
func TestLostStreamResumesAtAFullEngine(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arrive("/stream/1")
	first := h.sent(actions)
	loads := map[fleet.InstanceID]peering.Load{"a": {Requests: 4}, "b": {Requests: 4}}
	loads[first.Upstream] = peering.Load{}
	h.core.SetPeerLoads(h.now, loads, nil)
	s := h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1}))
	require.NotEqual(t, first.Upstream, s.Upstream)
}

// Guards against entries that all send to an upstream which has just become
// available and is empty, since each learns of the others' requests only later.
func TestEmptyUpstreamIsNotFloodedByAllEntries(t *testing.T) {
	h := newHarness(t, view(replica("empty", 1), replica("used", 1)))
	loads := map[fleet.InstanceID]peering.Load{"used": {Requests: 2}}
	shares := map[fleet.Service]peering.Share{engine: {Low: 0, High: 0.125}}
	h.core.SetPeerLoads(h.now, loads, shares)
	to := func() fleet.InstanceID {
		_, actions := h.arrive("/stream/1")
		return h.sent(actions).Upstream
	}
	require.Equal(t, fleet.InstanceID("empty"), to())
	require.Equal(t, fleet.InstanceID("used"), to(), "seven other entries are assumed to have sent one request each")
	h.now = h.now.Add(peerLoadDelay)
	h.core.SetPeerLoads(h.now, loads, shares)
	require.Equal(t, fleet.InstanceID("empty"), to(), "the other entries have reported their requests by now")
}

// Guards against retried requests that are rejected for good although engines
// are half empty, because some entry rejected a new request a moment ago, as
// after a restart of all engines. Guards also against retried requests that take
// the capacity of new ones.
func TestReturningRequestGetsSpareCapacity(t *testing.T) {
	for others, sent := range map[int]bool{0: true, 1: true, 2: false, 3: false} {
		h := newHarness(t, view(replica("a", 1)))
		first, actions := h.arrive("/stream/1")
		h.sent(actions)
		h.core.AttemptEnded(h.now, first, AttemptResult{End: retry.Answered})
		h.core.SetPeerLoads(h.now,
			map[fleet.InstanceID]peering.Load{"a": {Requests: others}},
			map[fleet.Service]peering.Share{engine: {High: 1, Contended: true}})
		h.next++
		actions = h.core.Arrive(h.now, h.next, Call{
			ID: "id", Host: "h", Path: "/stream/1", Key: "key", TimeBudget: 3 * time.Second, Model: model, PromptTokens: 100, MaxAnswerTokens: 50,
		})
		require.Equal(t, sent, len(actions) > 0, "%d requests of other entries", others)
	}
}
