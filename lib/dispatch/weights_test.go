package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// Guards against one response from two versions of the weights.
func TestStreamResumesWithTheSameVersion(t *testing.T) {
	b := newBench(t, view(replica("a", 1), replica("b", 2)))
	ticket, actions := b.arrive("/stream/1")
	first := b.sent(actions)
	version := map[fleet.InstanceID]int64{"a": 1, "b": 2}[first.Upstream]
	actions = b.core.AttemptEnded(b.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: version})
	for _, a := range actions {
		send, ok := a.(Send)
		require.False(t, ok && send.Upstream != first.Upstream, "the stream was resumed with another version")
	}
}

// Guards against requests that begin on old weights after the grace period of a
// new version, also if a still newer version was published in between.
func TestOldWeightsGetNoRequestsAfterTheGracePeriod(t *testing.T) {
	v := view(replica("old", 1))
	v.Wanted[model] = published.Wanted{
		Model: model, Version: 3, Learned: start.Add(2 * time.Second),
		Earlier: []published.Named{{Version: 2, Learned: start}},
	}
	b := newBench(t, v)
	// The prompt of 100 tokens is read in 10 ms.
	margin := versionMargin + time.Duration(firstTokenFactor*float64(10*time.Millisecond))
	b.now = start.Add(8*time.Second - margin - time.Millisecond)
	_, actions := b.arrive("/stream/1")
	require.Equal(t, int64(1), b.sent(actions).ExpectVersion)
	b.now = start.Add(8*time.Second - margin)
	_, actions = b.arrive("/stream/2")
	b.refused(actions)
	v.Upstreams = append(v.Upstreams, replica("new", 3))
	b.core.Update(b.now, v)
	_, actions = b.arrive("/stream/3")
	s := b.sent(actions)
	require.Equal(t, fleet.InstanceID("new"), s.Upstream)
}

// Guards against an engine that gets requests while it loads new weights, and
// against one that gets none although it has loaded them.
func TestLoaderNoticeOverridesPublishedVersion(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.ApplyNotice(b.now, Notice{Address: "a", StartTime: 1, Model: model, Version: 0, PreviousVersion: 1})
	_, actions := b.arrive("/stream/1")
	b.refused(actions)
	b.core.ApplyNotice(b.now, Notice{Address: "a", StartTime: 1, Model: model, Version: 2, PreviousVersion: 1})
	_, actions = b.arrive("/stream/2")
	require.Equal(t, int64(2), b.sent(actions).ExpectVersion)
	// A notice about an earlier start does not apply to this one.
	restarted := replica("a", 0)
	restarted.Copies, restarted.Born = nil, 2
	b.core.Update(b.now, view(restarted))
	_, actions = b.arrive("/stream/3")
	b.refused(actions)
}

// Guards against a request that expects the version which is due from a replica
// with a still newer one: while two versions are being distributed, the replica
// would refuse every request.
func TestNewerVersionThanDueIsExpected(t *testing.T) {
	v := view(replica("new", 3))
	v.Wanted[model] = published.Wanted{
		Model: model, Version: 3, Learned: start.Add(2 * time.Second),
		Earlier: []published.Named{{Version: 2, Learned: start}},
	}
	b := newBench(t, v)
	b.now = start.Add(8 * time.Second)
	_, actions := b.arrive("/stream/1")
	require.Equal(t, int64(3), b.sent(actions).ExpectVersion)
}

// Guards against a stream that is resumed with newer weights because its own are
// due to be replaced: one response comes from one version.
func TestStreamOfOldWeightsDoesNotResumeOnNewOnes(t *testing.T) {
	v := view(replica("new", 2), replica("other", 2))
	v.Wanted[model] = published.Wanted{Model: model, Version: 2}
	b := newBench(t, v)
	ticket, actions := b.arrive("/stream/1")
	b.sent(actions)
	actions = b.core.AttemptEnded(b.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1})
	require.Equal(t, OutcomeUnknown, b.refused(actions).Verdict)
}

// Guards against a request that is pinned to a version although its attempt
// failed before the caller got anything.
func TestLostAttemptWithoutResponsePinsNoVersion(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	ticket, actions := b.arrive("/stream/1")
	b.sent(actions)
	b.core.Update(b.now, view(replica("a", 1), replica("b", 2)))
	s := b.sent(b.core.AttemptEnded(b.now, ticket, AttemptResult{End: retry.Lost, Version: 1}))
	require.Equal(t, fleet.InstanceID("b"), s.Upstream)
}

// Guards against requests to the published entry of an engine's earlier start,
// which remains until it expires: each request is refused, and the retry budget
// is used up when the engines have restarted.
func TestEntryOfAnEarlierEngineStartGetsNoRequests(t *testing.T) {
	at := func(id string, born int64, copies ...published.Copy) *published.Upstream {
		u := replica(id, 2)
		u.Address, u.Born, u.Copies = "address", born, copies
		return u
	}
	whole := published.Copy{Model: model, Version: 2, Layers: 16}
	old, fresh := at("old", 1, whole), at("new", 2)
	restarted := Notice{Address: "address", StartTime: 2, Model: model}
	loaded := Notice{Address: "address", StartTime: 2, Model: model, Version: 2}

	b := newBench(t, view(old, fresh))
	require.Empty(t, b.core.ApplyNotice(b.now, restarted))
	_, actions := b.arrive("/stream/1")
	b.refused(actions)
	require.Empty(t, b.core.ApplyNotice(b.now, loaded))
	_, actions = b.arrive("/stream/2")
	require.Equal(t, fleet.InstanceID("new"), b.sent(actions).Upstream)

	// The notice may arrive before the published entry that it is about.
	b = newBench(t, view(old))
	require.Empty(t, b.core.ApplyNotice(b.now, loaded))
	b.core.Update(b.now, view(old, fresh))
	_, actions = b.arrive("/stream/3")
	require.Equal(t, fleet.InstanceID("new"), b.sent(actions).Upstream)
}

// Guards against requests that are sent in time but begin too late: one that
// waits at a loaded engine would get its first token from weights that are due
// to be replaced.
func TestSlowEngineStopsEarlierBeforeItsWeightsAreDue(t *testing.T) {
	v := view(replica("slow", 1))
	v.Wanted[model] = published.Wanted{Model: model, Version: 2, Learned: start.Add(5 * time.Second)}
	b := newBench(t, v)
	for range 30 {
		ticket, actions := b.arrive("/stream/1")
		b.sent(actions)
		b.core.AttemptEnded(b.now, ticket, AttemptResult{End: retry.Answered, FirstByte: 800 * time.Millisecond})
	}
	due := start.Add(13 * time.Second)
	b.now = due.Add(-4 * time.Second)
	_, actions := b.arrive("/stream/2")
	b.sent(actions)
	b.now = due.Add(-1500 * time.Millisecond)
	_, actions = b.arrive("/stream/3")
	b.refused(actions)
}
