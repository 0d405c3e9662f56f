package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/retry"
)

// fullLoad is the load of a full upstream that has other callers than the entries.
var fullLoad = &Load{Running: 4, Waiting: 8, Slots: 4}

// silentStreams returns a core with streams that are silent at the upstream "a", while there is
// another one, "b".
func silentStreams(t *testing.T, count int) (*harness, []Ticket) {
	t.Helper()
	a := replica("a", 1)
	a.Slots = 2 * count
	h := newHarness(t, view(a))
	var tickets []Ticket
	for range count {
		ticket, _ := h.startStream()
		tickets = append(tickets, ticket)
	}
	h.core.Update(h.now, view(a, replica("b", 1)))
	h.advance(silentFor)
	return h, tickets
}

// Guards against streams that are cut because all of them left an upstream that was silent for
// a moment, for one that is full and of which that was not known: one of them asks it, beside
// its silent attempt, and none is ended.
func TestStreamsStayWhileTheOtherUpstreamIsFull(t *testing.T) {
	h, tickets := silentStreams(t, 6)
	// Peers that report nothing are no sign of room either.
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{}, nil)
	var hedges []Send
	for _, ticket := range tickets {
		for _, a := range h.core.AttemptSilent(h.now, ticket, h.afterEvent()) {
			hedges = append(hedges, a.(Send))
		}
	}
	require.Len(t, hedges, 1, "the room of b is a guess")
	h.core.Observe(h.now, hedges[0].Ticket, Observation{Attempt: hedges[0].Attempt, Refused: true, Load: fullLoad})
	require.Empty(t, h.core.HedgeEnded(h.now, hedges[0].Ticket, AttemptResult{End: retry.Busy}))
	for range 40 {
		h.advance(hedgeInterval)
		h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{}, nil)
		require.Empty(t, h.core.Tick(h.now), "b has said that it is full")
	}
	for _, ticket := range tickets {
		require.Empty(t, h.core.AttemptResumed(h.now, ticket))
		require.IsType(t, Finish{}, h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, Started: true, Version: 1})[0])
	}
	require.Zero(t, h.core.upstreams["a"].inFlight+h.core.upstreams["b"].inFlight)
}

// Guards against hedges that come one at a time although the other upstream has shown that it
// accepts requests.
func TestHedgesFollowOneThatWasAccepted(t *testing.T) {
	h, tickets := silentStreams(t, 4)
	first := h.hedged(h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
	for _, ticket := range tickets[1:] {
		require.Empty(t, h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	}
	h.core.Observe(h.now, tickets[0], Observation{Attempt: first.Attempt, Load: &Load{Running: 1, Slots: 4}, Version: 1})
	h.advance(hedgeInterval)
	require.Len(t, h.core.Tick(h.now), 3)
}

// Guards against a request that is lost with the upstream of its hedge, as if its attempt had
// left the silent one: that goes on.
func TestLossOfAHedgeEndsNoRequest(t *testing.T) {
	for _, end := range []retry.End{retry.Lost, retry.Unreachable, retry.Stalled, retry.Mismatched} {
		h, tickets := silentStreams(t, 1)
		hedge := h.hedged(h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
		require.Empty(t, h.core.HedgeEnded(h.now, tickets[0], AttemptResult{End: end, Started: true, LastEventID: "7"}), end)
		require.True(t, h.core.upstreams[hedge.Upstream].avoided(h.now), "it counts as a failure")
		h.core.AttemptResumed(h.now, tickets[0])
		require.IsType(t, Finish{}, h.core.AttemptEnded(h.now, tickets[0], AttemptResult{End: retry.Answered, Started: true})[0])
	}
}

// Guards against a request that is given up when its silent attempt ends by itself, although
// its hedge still runs.
func TestHedgeTakesThePlaceOfALostAttempt(t *testing.T) {
	h, tickets := silentStreams(t, 1)
	hedge := h.hedged(h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
	h.replaced(tickets[0], AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1})
	require.Equal(t, 1, h.core.upstreams[hedge.Upstream].inFlight)
	require.Zero(t, h.core.upstreams["a"].inFlight)
	require.IsType(t, Finish{}, h.core.AttemptEnded(h.now, tickets[0], AttemptResult{End: retry.Answered, Started: true})[0])
}

// Guards against more runs of a request than its route allows: a hedge that may have run
// counts, also if it was not the one that went on.
func TestHedgesCountAsRuns(t *testing.T) {
	h, tickets := silentStreams(t, 1)
	h.hedged(h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
	require.Empty(t, h.core.HedgeEnded(h.now, tickets[0], AttemptResult{End: retry.Canceled}))
	h.core.AttemptResumed(h.now, tickets[0])
	h.advance(silentFor)
	require.Empty(t, h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()), "the route allows two")
	lost := AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1}
	require.Equal(t, OutcomeUnknown, h.refused(h.core.AttemptEnded(h.now, tickets[0], lost)).Verdict)
}

// Guards against a request that no upstream accepts and whose hedges use up the retries that
// others need.
func TestHedgesOfARequestAreBounded(t *testing.T) {
	h, tickets := silentStreams(t, 1)
	hedges := 0
	actions := h.core.AttemptSilent(h.now, tickets[0], h.afterEvent())
	for range 200 {
		if len(actions) > 0 {
			hedges++
			h.hedged(actions)
			h.core.HedgeEnded(h.now, tickets[0], AttemptResult{End: retry.Busy})
		}
		h.advance(100 * time.Millisecond)
		h.core.upstreams["b"].acceptedAt = h.now
		actions = h.core.Tick(h.now)
		if h.core.requests[tickets[0]] == nil || !h.now.Before(h.core.requests[tickets[0]].deadline) {
			break
		}
	}
	require.Equal(t, maxHedges, hedges)
}

// Guards against a hedge that was never sent and goes on counting at its upstream.
func TestDroppedHedgeCountsNoMore(t *testing.T) {
	for name, end := range map[string]func(h *harness, ticket Ticket){
		"dropped": func(h *harness, ticket Ticket) { h.core.HedgeDropped(h.now, ticket) },
		"ended": func(h *harness, ticket Ticket) {
			h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered})
		},
	} {
		h, tickets := silentStreams(t, 1)
		h.hedged(h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
		h.core.AttemptResumed(h.now, tickets[0])
		end(h, tickets[0])
		require.Zero(t, h.core.upstreams["b"].inFlight, name)
		require.Zero(t, h.core.upstreams["b"].hedges, name)
		require.Zero(t, h.core.upstreams["b"].promptTokens, name)
	}
}

// Guards against an upstream that counts as sound although a hedge there hears nothing.
func TestSilentHedgeCountsAgainstItsUpstream(t *testing.T) {
	h, tickets := silentStreams(t, 1)
	h.hedged(h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
	since := h.now
	h.advance(silentFor)
	h.core.HedgeSilent(h.now, tickets[0], since)
	require.True(t, h.core.upstreams["b"].avoided(h.now))
}

// Guards against a stream that is given up because the upstream that it left was silent,
// although that has gone on: it goes on there again.
func TestSilentUpstreamThatWentOnIsAskedAgain(t *testing.T) {
	v := view(replica("a", 1), replica("b", 1))
	v.Config.Routes[0].MaxAttempts = 3
	v.Config.Index()
	h := newHarness(t, v)
	ticket, first := h.startStream()
	h.advance(silentFor)
	second := h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	h.replaced(ticket, stalledAfterEvent)
	h.advance(time.Second)
	h.core.upstreams[first.Upstream].recordAlive(h.now)
	lost := AttemptResult{End: retry.Lost, Started: true, LastEventID: "8", Version: 1}
	again := h.sent(h.core.AttemptEnded(h.now, ticket, lost))
	require.Equal(t, first.Upstream, again.Upstream)
	require.NotEqual(t, second.Upstream, again.Upstream)
}

// Guards against a hedge that crashes a second upstream with a request that must not run.
func TestBlockedRequestGetsNoHedge(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	h.sent(actions)
	since := h.now
	h.advance(silentFor)
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter))
	require.Empty(t, h.core.AttemptSilent(h.now, ticket, Silence{Since: since}))
}

// Guards against a decision on a load that only adds up what peers report: the upstream has
// other callers, and has just said how many.
func TestStatedLoadCountsForHedges(t *testing.T) {
	h, tickets := silentStreams(t, 1)
	b := h.core.upstreams["b"]
	b.observe(h.now, Observation{Load: fullLoad})
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{}, nil)
	require.Zero(t, b.load(h.now))
	require.Equal(t, 12, b.statedLoad(h.now))
	require.Equal(t, 12, b.estimate(h.now).Requests, "the log shows another load than the decision assumes")
	require.Empty(t, h.core.AttemptSilent(h.now, tickets[0], h.afterEvent()))
	h.advance(loadReportTTL + time.Millisecond)
	require.Len(t, h.core.Tick(h.now), 1, "what it stated is too old to count")
}

// Guards against a request that is answered 502 in a planned stop because its upstream is silent
// for good, although there is time for a hedge: the time that is set apart for a silence of its
// upstream has been used up by the silent attempt.
func TestHedgeBeginsLateInAPlannedStop(t *testing.T) {
	for left, hedged := range map[time.Duration]bool{2500 * time.Millisecond: true, 100 * time.Millisecond: false} {
		h := newHarness(t, view(replica("a", 1), replica("b", 1)))
		ticket, actions := h.arrive("/stream/1")
		h.sent(actions)
		since := h.now
		h.core.Stop(h.now, h.now.Add(silentFor+left))
		h.advance(silentFor)
		require.Equal(t, hedged, len(h.core.AttemptSilent(h.now, ticket, Silence{Since: since})) == 1, left)
	}
}

// Guards against hedges at the upstream of the silent attempts itself, in the moment in which it
// goes on: the first of them shows that it is sound, and the others go on as well.
func TestUpstreamThatGoesOnGetsNoHedges(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	first, _ := h.startStream()
	second, _ := h.startStream()
	h.advance(silentFor)
	require.Empty(t, h.core.AttemptSilent(h.now, first, h.afterEvent()))
	require.Empty(t, h.core.AttemptSilent(h.now, second, h.afterEvent()))
	h.advance(hedgeInterval)
	require.Empty(t, h.core.AttemptResumed(h.now, first))
	h.advance(resumeGrace - time.Millisecond)
	require.Empty(t, h.core.Tick(h.now))
	h.advance(hedgeInterval)
	require.Equal(t, second, h.hedged(h.core.Tick(h.now)).Ticket, "its connection is at fault")
}

// Guards against a hedge at the upstream of the silent attempt itself because it responded to
// another request just before it fell silent: the hedge is silent as well, and costs the one
// that would go elsewhere.
func TestLastResponseBeforeASilenceIsNoSignOfLife(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, _ := h.startStream()
	since := h.now
	h.advance(5 * time.Millisecond)
	h.core.upstreams["a"].recordAlive(h.now)
	h.advance(silentFor)
	require.Empty(t, h.core.AttemptSilent(h.now, ticket, Silence{Since: since, Started: true, LastEventID: "7", Version: 1}))
	h.advance(hedgeInterval)
	require.Empty(t, h.core.Tick(h.now))
	h.core.Update(h.now, view(replica("a", 1), replica("b", 1)))
	h.advance(hedgeInterval)
	require.Equal(t, fleet.InstanceID("b"), h.hedged(h.core.Tick(h.now)).Upstream)
}
