package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/retry"
)

// Guards against an engine that gets many prompts at once: it reads them one
// after the other, and the last ones begin after their goal.
func TestUnreadPromptsBoundAnEngine(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.next++
	long := Call{ID: "id", Host: "h", Path: "/stream/1", Key: "key", Model: model, Prompt: 1000, Patience: 6 * time.Second, Fingerprint: "1"}
	b.sent(b.core.Arrive(b.now, b.next, long))
	first := b.next
	b.next++
	long.Fingerprint = "2"
	require.Empty(t, b.core.Arrive(b.now, b.next, long))
	require.Len(t, b.core.Began(b.now, first), 1)
}

// Guards against an engine that several gateways fill together.
func TestRequestsOfOtherGatewaysCount(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.SetOthers(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := b.arrive("/stream/1")
	require.Empty(t, actions)
	b.core.SetOthers(b.now, nil, nil)
	require.Len(t, b.core.Tick(b.now), 1)
}

// Guards against a request that is held until its caller leaves: it is refused
// once its wait is over, with a time to come back that callers honour.
func TestWaitEndsWithATimeToComeBack(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.SetOthers(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := b.arrive("/stream/1")
	require.Empty(t, actions)
	b.now = b.now.Add(time.Duration(streamWait * float64(400*time.Millisecond)))
	b.core.SetOthers(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	r := b.refused(b.core.Tick(b.now))
	require.Equal(t, NotRun, r.Verdict)
	require.Positive(t, r.After)
	require.LessOrEqual(t, r.After, 2*time.Second)
}

// Guards against a stream that is cut in the middle because the other engines
// have no free slot at that moment.
func TestBrokenStreamGoesOnAtAFullEngine(t *testing.T) {
	b := newBench(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := b.arrive("/stream/1")
	first := b.sent(actions)
	loads := map[fleet.InstanceID]peering.Load{"a": {Requests: 4}, "b": {Requests: 4}}
	loads[first.Upstream] = peering.Load{}
	b.core.SetOthers(b.now, loads, nil)
	s := b.sent(b.core.End(b.now, ticket, Ended{End: retry.Lost, Started: true, Resume: "7", Version: 1}))
	require.NotEqual(t, first.Upstream, s.Upstream)
}

// Guards against entries that all send to an upstream which has just come back
// empty, since each hears of the others' requests only later.
func TestReturningUpstreamIsNotFloodedByAllEntries(t *testing.T) {
	b := newBench(t, view(replica("empty", 1), replica("used", 1)))
	loads := map[fleet.InstanceID]peering.Load{"used": {Requests: 2}}
	shares := map[fleet.Service]peering.Share{engine: {Low: 0, High: 0.125}}
	b.core.SetOthers(b.now, loads, shares)
	to := func() fleet.InstanceID {
		_, actions := b.arrive("/stream/1")
		return b.sent(actions).Upstream
	}
	require.Equal(t, fleet.InstanceID("empty"), to())
	require.Equal(t, fleet.InstanceID("used"), to(), "seven others have sent as much")
	b.now = b.now.Add(hearAfter)
	b.core.SetOthers(b.now, loads, shares)
	require.Equal(t, fleet.InstanceID("empty"), to(), "the others have told what they sent")
}

// Guards against requests that come back and are refused for good beside engines
// that are half empty, because somebody refused a new one a moment ago, as after
// a restart of all engines; and against those that take the room of new ones.
func TestRequestThatComesBackGetsSpareRoom(t *testing.T) {
	for others, sent := range map[int]bool{0: true, 1: true, 2: false, 3: false} {
		b := newBench(t, view(replica("a", 1)))
		first, actions := b.arrive("/stream/1")
		b.sent(actions)
		b.core.End(b.now, first, Ended{End: retry.Answered})
		b.core.SetOthers(b.now,
			map[fleet.InstanceID]peering.Load{"a": {Requests: others}},
			map[fleet.Service]peering.Share{engine: {High: 1, Contended: true}})
		b.next++
		actions = b.core.Arrive(b.now, b.next, Call{
			ID: "id", Host: "h", Path: "/stream/1", Key: "key", Patience: 3 * time.Second, Model: model, Prompt: 100, Answer: 50,
		})
		require.Equal(t, sent, len(actions) > 0, "%d requests of others", others)
	}
}
