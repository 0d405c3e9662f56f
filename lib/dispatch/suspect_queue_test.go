package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/retry"
)

// Guards against a suspected request that goes again to an upstream which failed it and
// is not avoided any more.
func TestSuspectedRequestIsNotSentToAnUpstreamThatFailedIt(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	s := h.core.services[engine]
	r := &request{Call: Call{Model: model}, route: h.core.view.Config.Route("h", "/stream/")}
	target := h.core.pickSuspected(h.now, s, r, harmful)
	r.failedUpstreams = []failedUpstream{{id: target.ID}}
	require.NotEqual(t, target.ID, h.core.pickSuspected(h.now, s, r, harmful).ID)
}

// Guards against a resumed stream whose answer at the second upstream clears nothing: it lasts,
// or comes to its end.
func TestEachAttemptThatSurvivesClears(t *testing.T) {
	for name, survive := range map[string]func(h *harness, ticket Ticket){
		"lasts": func(h *harness, ticket Ticket) { h.core.ResponseGoesOn(h.now, ticket, 2*time.Second) },
		"ends": func(h *harness, ticket Ticket) {
			h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, Started: true, FirstByte: time.Millisecond})
		},
	} {
		t.Run(name, func(t *testing.T) { requireSecondAttemptClears(t, survive) })
	}
}

func requireSecondAttemptClears(t *testing.T, survive func(h *harness, ticket Ticket)) {
	t.Helper()
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	h.sent(actions)
	h.core.ResponseStarted(h.now, ticket)
	h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, FirstByte: time.Millisecond, LastEventID: "7", Version: 1}))
	h.core.ApplyReports(h.now, reports(harmful, 1))
	require.Equal(t, poison.Suspected, h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict)
	h.core.ResponseStarted(h.now, ticket)
	require.Equal(t, poison.Suspected, h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict, "it may still crash the upstream")
	survive(h, ticket)
	require.Equal(t, poison.Clear, h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict)
}

// Guards against a stream that goes on crashing upstreams because its answer began
// before its part was convicted.
func TestStreamThatBeganIsBlocked(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	h.sent(actions)
	h.core.ResponseStarted(h.now, ticket)
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter))
	lost := AttemptResult{End: retry.Lost, Started: true, FirstByte: time.Millisecond, LastEventID: "7", Version: 1}
	require.Equal(t, OutcomeUnknown, h.refused(h.core.AttemptEnded(h.now, ticket, lost)).Verdict)
}

// Guards against sound requests that are rejected at once because a suspected one waits
// for its upstream.
func TestWaitingSuspectsAreNoStall(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	full := map[fleet.InstanceID]peering.Load{"a": {Requests: 4}, "b": {Requests: 4}}
	h.core.ApplyReports(h.now, reports(harmful, 1))
	for range 4 {
		h.core.SetPeerLoads(h.now, full, nil)
		h.arriveWith("/stream/1", harmful)
		h.now = h.now.Add(stallTime / 3)
	}
	require.Positive(t, h.core.Waiting())
	h.core.SetPeerLoads(h.now, full, nil)
	sound, _ := h.arriveWith("/stream/1", first)
	require.Contains(t, h.core.requests, sound)
}

// Guards against a number of waiting requests that grows with that of the suspected
// traits, each of which has a queue.
func TestWaitingSuspectsAreBounded(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	for i := range maxQueued + 1 {
		r := poison.Report{Crash: poison.CrashID(i / 16), Suspects: []poison.Suspect{{Trait: poison.Trait(i + 1)}}}
		h.core.ApplyReports(h.now, []poison.Report{r})
	}
	for i := range maxQueued {
		_, actions := h.arriveWith("/stream/1", poison.Trait(i+1))
		require.Empty(t, actions)
	}
	_, actions := h.arriveWith("/stream/1", poison.Trait(maxQueued+1))
	require.Equal(t, string(admission.QueueFull), h.refused(actions).Reason)
	require.Equal(t, maxQueued, h.core.Waiting())
}
