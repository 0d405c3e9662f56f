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
	b := newBench(t, view(replica("a", 1)))
	b.next++
	long := Call{ID: "id", Host: "h", Path: "/stream/1", Key: "key", Model: model, PromptTokens: 1000, TimeBudget: 6 * time.Second, Fingerprint: "1"}
	b.sent(b.core.Arrive(b.now, b.next, long))
	first := b.next
	b.next++
	long.Fingerprint = "2"
	require.Empty(t, b.core.Arrive(b.now, b.next, long))
	require.Len(t, b.core.ResponseStarted(b.now, first), 1)
}

// Guards against an engine that several gateways overload together.
func TestRequestsOfOtherGatewaysCount(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.SetPeerLoads(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := b.arrive("/stream/1")
	require.Empty(t, actions)
	b.core.SetPeerLoads(b.now, nil, nil)
	require.Len(t, b.core.Tick(b.now), 1)
}

// Guards against a request that stays queued until its caller disconnects: it is
// rejected once its wait is over, with a retry delay that callers honour.
func TestQueueTimeoutCarriesRetryAfter(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.SetPeerLoads(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := b.arrive("/stream/1")
	require.Empty(t, actions)
	b.now = b.now.Add(time.Duration(streamWaitShare * float64(400*time.Millisecond)))
	b.core.SetPeerLoads(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	r := b.refused(b.core.Tick(b.now))
	require.Equal(t, NotRun, r.Verdict)
	require.Positive(t, r.RetryAfter)
	require.LessOrEqual(t, r.RetryAfter, 2*time.Second)
}

// Guards against a stream that breaks off because the other engines have no free
// slot when its engine is lost.
func TestLostStreamResumesAtAFullEngine(t *testing.T) {
	b := newBench(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := b.arrive("/stream/1")
	first := b.sent(actions)
	loads := map[fleet.InstanceID]peering.Load{"a": {Requests: 4}, "b": {Requests: 4}}
	loads[first.Upstream] = peering.Load{}
	b.core.SetPeerLoads(b.now, loads, nil)
	s := b.sent(b.core.AttemptEnded(b.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1}))
	require.NotEqual(t, first.Upstream, s.Upstream)
}

// Guards against entries that all send to an upstream which has just become
// available and is empty, since each learns of the others' requests only later.
func TestEmptyUpstreamIsNotFloodedByAllEntries(t *testing.T) {
	b := newBench(t, view(replica("empty", 1), replica("used", 1)))
	loads := map[fleet.InstanceID]peering.Load{"used": {Requests: 2}}
	shares := map[fleet.Service]peering.Share{engine: {Low: 0, High: 0.125}}
	b.core.SetPeerLoads(b.now, loads, shares)
	to := func() fleet.InstanceID {
		_, actions := b.arrive("/stream/1")
		return b.sent(actions).Upstream
	}
	require.Equal(t, fleet.InstanceID("empty"), to())
	require.Equal(t, fleet.InstanceID("used"), to(), "seven other entries are assumed to have sent one request each")
	b.now = b.now.Add(peerLoadDelay)
	b.core.SetPeerLoads(b.now, loads, shares)
	require.Equal(t, fleet.InstanceID("empty"), to(), "the other entries have reported their requests by now")
}

// Guards against retried requests that are rejected for good although engines
// are half empty, because some entry rejected a new request a moment ago, as
// after a restart of all engines. Guards also against retried requests that take
// the capacity of new ones.
func TestReturningRequestGetsSpareCapacity(t *testing.T) {
	for others, sent := range map[int]bool{0: true, 1: true, 2: false, 3: false} {
		b := newBench(t, view(replica("a", 1)))
		first, actions := b.arrive("/stream/1")
		b.sent(actions)
		b.core.AttemptEnded(b.now, first, AttemptResult{End: retry.Answered})
		b.core.SetPeerLoads(b.now,
			map[fleet.InstanceID]peering.Load{"a": {Requests: others}},
			map[fleet.Service]peering.Share{engine: {High: 1, Contended: true}})
		b.next++
		actions = b.core.Arrive(b.now, b.next, Call{
			ID: "id", Host: "h", Path: "/stream/1", Key: "key", TimeBudget: 3 * time.Second, Model: model, PromptTokens: 100, MaxAnswerTokens: 50,
		})
		require.Equal(t, sent, len(actions) > 0, "%d requests of other entries", others)
	}
}
