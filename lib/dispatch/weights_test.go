package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// Guards against one answer from two versions of the weights.
func TestStreamGoesOnWithTheSameVersion(t *testing.T) {
	b := newBench(t, view(replica("a", 1), replica("b", 2)))
	ticket, actions := b.arrive("/stream/1")
	first := b.sent(actions)
	version := map[fleet.InstanceID]int64{"a": 1, "b": 2}[first.Upstream]
	actions = b.core.End(b.now, ticket, Ended{End: retry.Lost, Started: true, Resume: "7", Version: version})
	for _, a := range actions {
		send, ok := a.(Send)
		require.False(t, ok && send.Upstream != first.Upstream, "stream went on with another version")
	}
}

// Guards against requests that begin on older weights after the time for the
// new ones, also if a still newer version was named in between.
func TestOlderWeightsGetNothingAfterTheirTime(t *testing.T) {
	v := view(replica("old", 1))
	v.Desired[model] = published.DesiredVersion{
		Model: model, Version: 3, FirstSeen: start.Add(2 * time.Second),
		Previous: []published.PreviousVersion{{Version: 2, Learned: start}},
	}
	b := newBench(t, v)
	// The prompt of 100 tokens is read in 10 ms.
	margin := versionMargin + time.Duration(beginFactor*float64(10*time.Millisecond))
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

// Guards against an engine that is used late after it took new weights, and
// against requests for one that takes them.
func TestWordOfLoaderIsAheadOfTheStore(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.Notice(b.now, Notice{Address: "a", Born: 1, Model: model, Version: 0, Was: 1})
	_, actions := b.arrive("/stream/1")
	b.refused(actions)
	b.core.Notice(b.now, Notice{Address: "a", Born: 1, Model: model, Version: 2, Was: 1})
	_, actions = b.arrive("/stream/2")
	require.Equal(t, int64(2), b.sent(actions).ExpectVersion)
	// A notice about an earlier start says nothing about this one.
	restarted := replica("a", 0)
	restarted.Copies, restarted.StartTime = nil, 2
	b.core.Update(b.now, view(restarted))
	_, actions = b.arrive("/stream/3")
	b.refused(actions)
}

// Guards against a replica with a still newer version that is asked for the
// one which is due, and refuses every request while two versions are on their
// way.
func TestNewerWeightsThanDueAreExpectedAsTheyAre(t *testing.T) {
	v := view(replica("new", 3))
	v.Desired[model] = published.DesiredVersion{
		Model: model, Version: 3, FirstSeen: start.Add(2 * time.Second),
		Previous: []published.PreviousVersion{{Version: 2, Learned: start}},
	}
	b := newBench(t, v)
	b.now = start.Add(8 * time.Second)
	_, actions := b.arrive("/stream/1")
	require.Equal(t, int64(3), b.sent(actions).ExpectVersion)
}

// Guards against a stream that goes on with newer weights because its own are
// due to be replaced: one answer comes from one version.
func TestStreamOfOldWeightsDoesNotGoOnWithNewOnes(t *testing.T) {
	v := view(replica("new", 2), replica("other", 2))
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2}
	b := newBench(t, v)
	ticket, actions := b.arrive("/stream/1")
	b.sent(actions)
	actions = b.core.End(b.now, ticket, Ended{End: retry.Lost, Started: true, Resume: "7", Version: 1})
	require.Equal(t, Unknown, b.refused(actions).Verdict)
}

// Guards against a request that may go to one version only because an attempt
// on it failed before the caller got anything.
func TestLostAttemptWithoutAnAnswerBindsNoVersion(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	ticket, actions := b.arrive("/stream/1")
	b.sent(actions)
	b.core.Update(b.now, view(replica("a", 1), replica("b", 2)))
	s := b.sent(b.core.End(b.now, ticket, Ended{End: retry.Lost, Version: 1}))
	require.Equal(t, fleet.InstanceID("b"), s.Upstream)
}

// Guards against requests that go to the entry of an engine's earlier start
// until it lapses: each is rejected, and the retry budget is gone when the
// engines are back.
func TestEarlierStartOfAnEngineGetsNothing(t *testing.T) {
	at := func(id string, born int64, copies ...published.Copy) *published.Upstream {
		u := replica(id, 2)
		u.Address, u.StartTime, u.Copies = "address", born, copies
		return u
	}
	whole := published.Copy{Model: model, Version: 2, Layers: 16}
	old, fresh := at("old", 1, whole), at("new", 2)
	restarted := Notice{Address: "address", Born: 2, Model: model}
	loaded := Notice{Address: "address", Born: 2, Model: model, Version: 2}

	b := newBench(t, view(old, fresh))
	require.Empty(t, b.core.Notice(b.now, restarted))
	_, actions := b.arrive("/stream/1")
	b.refused(actions)
	require.Empty(t, b.core.Notice(b.now, loaded))
	_, actions = b.arrive("/stream/2")
	require.Equal(t, fleet.InstanceID("new"), b.sent(actions).Upstream)

	// The word may come before the entry that it is about.
	b = newBench(t, view(old))
	require.Empty(t, b.core.Notice(b.now, loaded))
	b.core.Update(b.now, view(old, fresh))
	_, actions = b.arrive("/stream/3")
	require.Equal(t, fleet.InstanceID("new"), b.sent(actions).Upstream)
}

// Guards against requests that are sent in time and begin too late: one that
// waits at a loaded engine gets its first token on weights that are due to be
// replaced.
func TestSlowEngineGetsNothingShortlyBeforeItsWeightsAreDue(t *testing.T) {
	v := view(replica("slow", 1))
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2, FirstSeen: start.Add(5 * time.Second)}
	b := newBench(t, v)
	for range 30 {
		ticket, actions := b.arrive("/stream/1")
		b.sent(actions)
		b.core.End(b.now, ticket, Ended{End: retry.Answered, FirstByte: 800 * time.Millisecond})
	}
	due := start.Add(13 * time.Second)
	b.now = due.Add(-4 * time.Second)
	_, actions := b.arrive("/stream/2")
	b.sent(actions)
	b.now = due.Add(-1500 * time.Millisecond)
	_, actions = b.arrive("/stream/3")
	b.refused(actions)
}
