package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// Pattern: weights that fall due everywhere at once. Guards against the requests of
// the last moments all going to the engines that were fastest so far, where they would
// wait and begin after the weights are due, and against entries that send to engines
// of others then, whose load they know only with a delay.
func TestEnginesStopTogetherBeforeTheirWeightsAreDue(t *testing.T) {
	v := view(replica("fast", 1), replica("slow", 1))
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2, Published: published.At(start), Previous: []published.PreviousVersion{{Version: 1}}}
	h := newHarness(t, v)
	s := h.core.services[engine]
	h.core.upstreams["fast"].meanFirstByte = 100 * time.Millisecond
	h.core.upstreams["slow"].meanFirstByte = 300 * time.Millisecond
	share := func(high float64) {
		h.core.SetPeerLoads(h.now, nil, map[fleet.Service]peering.Share{engine: {High: high, KnownHigh: high}})
	}
	r := &request{Call: Call{Model: model}}
	due := settings().OldVersionGrace - versionMargin
	h.now = start.Add(due - 400*time.Millisecond)
	share(1)
	require.Equal(t, int64(2), h.core.minVersion(h.now, s, r, h.core.upstreams["fast"]), "its own mean would allow 250 ms before it is due")
	h.now = start.Add(due - 600*time.Millisecond)
	share(1)
	require.Equal(t, int64(1), h.core.minVersion(h.now, s, r, h.core.upstreams["fast"]))
	share(0.01)
	require.Equal(t, int64(2), h.core.minVersion(h.now, s, r, h.core.upstreams["fast"]), "not an own upstream")
}

// Guards against one response from two versions of the weights.
func TestStreamResumesWithTheSameVersion(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 2)))
	ticket, actions := h.arrive("/stream/1")
	first := h.sent(actions)
	version := map[fleet.InstanceID]int64{"a": 1, "b": 2}[first.Upstream]
	actions = h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: version})
	for _, a := range actions {
		send, ok := a.(Send)
		require.False(t, ok && send.Upstream != first.Upstream, "the stream was resumed with another version")
	}
}

// Guards against requests that begin on old weights after the grace period of a
// new version, also if a still newer version was published in between.
func TestOldWeightsGetNoRequestsAfterTheGracePeriod(t *testing.T) {
	v := view(replica("old", 1))
	v.Desired[model] = published.DesiredVersion{
		Model: model, Version: 3, Published: published.At(start.Add(2 * time.Second)),
		Previous: []published.PreviousVersion{{Version: 2, Published: published.At(start)}},
	}
	h := newHarness(t, v)
	// The prompt of 100 tokens is read in 10 ms.
	margin := versionMargin + time.Duration(firstTokenFactor*float64(10*time.Millisecond))
	h.now = start.Add(8*time.Second - margin - time.Millisecond)
	_, actions := h.arrive("/stream/1")
	require.Equal(t, int64(1), h.sent(actions).ExpectVersion)
	h.now = start.Add(8*time.Second - margin)
	_, actions = h.arrive("/stream/2")
	h.refused(actions)
	v.Upstreams = append(v.Upstreams, replica("new", 3))
	h.core.Update(h.now, v)
	_, actions = h.arrive("/stream/3")
	s := h.sent(actions)
	require.Equal(t, fleet.InstanceID("new"), s.Upstream)
}

// Guards against requests that wait inside an engine until its weights are out of date,
// and against an engine that is avoided because the attempt of such a request was ended.
func TestStreamHasToBeginBeforeItsWeightsEnd(t *testing.T) {
	v := view(replica("old", 1))
	h := newHarness(t, v)
	_, actions := h.arrive("/stream/1")
	require.Zero(t, h.sent(actions).BeginBy, "no newer version is desired")
	v.Desired[model] = published.DesiredVersion{
		Model: model, Version: 3, Published: published.At(start.Add(-time.Second)),
		Previous: []published.PreviousVersion{{Version: 2, Published: published.At(start.Add(-6 * time.Second))}, {Version: 1}},
	}
	h.core.Update(h.now, v)
	ticket, actions := h.arrive("/stream/2")
	s := h.sent(actions)
	require.Equal(t, start.Add(settings().OldVersionGrace-6*time.Second-beginMargin), s.BeginBy, "version 2 ends it, which was desired first")
	h.now = s.BeginBy
	v.Upstreams = append(v.Upstreams, replica("new", 3))
	h.core.Update(h.now, v)
	resent := h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.NotBegun}))
	require.Equal(t, fleet.InstanceID("new"), resent.Upstream)
	require.Zero(t, h.core.upstreams["old"].failures)
}

// Guards against an engine that gets requests while it loads new weights, and
// against one that gets none although it has loaded them.
func TestLoaderNoticeOverridesPublishedVersion(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.ApplyNotice(h.now, Notice{Address: "a", StartTime: 1, Model: model, Version: 0, PreviousVersion: 1})
	_, actions := h.arrive("/stream/1")
	h.refused(actions)
	h.core.ApplyNotice(h.now, Notice{Address: "a", StartTime: 1, Model: model, Version: 2, PreviousVersion: 1})
	_, actions = h.arrive("/stream/2")
	require.Equal(t, int64(2), h.sent(actions).ExpectVersion)
	// A notice about an earlier start does not apply to this one.
	restarted := replica("a", 0)
	restarted.Copies, restarted.StartTime = nil, 2
	h.core.Update(h.now, view(restarted))
	_, actions = h.arrive("/stream/3")
	h.refused(actions)
}

// Guards against a request that expects the version which is due from a replica
// with a still newer one: while two versions are being distributed, the replica
// would refuse every request.
func TestNewerVersionThanDueIsExpected(t *testing.T) {
	v := view(replica("new", 3))
	v.Desired[model] = published.DesiredVersion{
		Model: model, Version: 3, Published: published.At(start.Add(2 * time.Second)),
		Previous: []published.PreviousVersion{{Version: 2, Published: published.At(start)}},
	}
	h := newHarness(t, v)
	h.now = start.Add(8 * time.Second)
	_, actions := h.arrive("/stream/1")
	require.Equal(t, int64(3), h.sent(actions).ExpectVersion)
}

// Guards against a stream that is resumed with newer weights because its own are
// due to be replaced: one response comes from one version.
func TestStreamOfOldWeightsDoesNotResumeOnNewOnes(t *testing.T) {
	v := view(replica("new", 2), replica("other", 2))
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2}
	h := newHarness(t, v)
	ticket, actions := h.arrive("/stream/1")
	h.sent(actions)
	actions = h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1})
	require.Equal(t, OutcomeUnknown, h.refused(actions).Verdict)
}

// Guards against a request that is pinned to a version although its attempt
// failed before the caller got anything.
func TestLostAttemptWithoutResponsePinsNoVersion(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, actions := h.arrive("/stream/1")
	h.sent(actions)
	h.core.Update(h.now, view(replica("a", 1), replica("b", 2)))
	s := h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Version: 1}))
	require.Equal(t, fleet.InstanceID("b"), s.Upstream)
}

// Guards against requests to the published upstream of an engine's earlier start,
// which remains until it expires: each request is refused, and the retry budget
// is used up when the engines have restarted.
func TestUpstreamOfAnEarlierEngineStartGetsNoRequests(t *testing.T) {
	at := func(id string, startTime int64, copies ...published.Copy) *published.Upstream {
		u := replica(id, 2)
		u.Address, u.StartTime, u.Copies = "address", startTime, copies
		return u
	}
	complete := published.Copy{Model: model, Version: 2, Layers: 16}
	earlier, later := at("old", 1, complete), at("new", 2)
	restarted := Notice{Address: "address", StartTime: 2, Model: model}
	loaded := Notice{Address: "address", StartTime: 2, Model: model, Version: 2}

	h := newHarness(t, view(earlier, later))
	require.Empty(t, h.core.ApplyNotice(h.now, restarted))
	_, actions := h.arrive("/stream/1")
	h.refused(actions)
	require.Empty(t, h.core.ApplyNotice(h.now, loaded))
	_, actions = h.arrive("/stream/2")
	require.Equal(t, fleet.InstanceID("new"), h.sent(actions).Upstream)

	// The notice may arrive before the upstream that it is about is published.
	h = newHarness(t, view(earlier))
	require.Empty(t, h.core.ApplyNotice(h.now, loaded))
	h.core.Update(h.now, view(earlier, later))
	_, actions = h.arrive("/stream/3")
	require.Equal(t, fleet.InstanceID("new"), h.sent(actions).Upstream)
}

// Guards against requests that are sent in time but begin too late: one that
// waits at a loaded engine would get its first token from weights that are due
// to be replaced.
func TestSlowEngineStopsEarlierBeforeItsWeightsAreDue(t *testing.T) {
	v := view(replica("slow", 1))
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2, Published: published.At(start.Add(5 * time.Second))}
	h := newHarness(t, v)
	for range 30 {
		ticket, actions := h.arrive("/stream/1")
		h.sent(actions)
		h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, FirstByte: 800 * time.Millisecond})
	}
	due := start.Add(13 * time.Second)
	h.now = due.Add(-4 * time.Second)
	_, actions := h.arrive("/stream/2")
	h.sent(actions)
	h.now = due.Add(-1500 * time.Millisecond)
	_, actions = h.arrive("/stream/3")
	h.refused(actions)
}
