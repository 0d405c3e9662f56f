package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/quota"
	"rattanspur.example/lib/retry"
)

var first, harmful = poison.PartTrait(model, "first"), poison.PartTrait(model, "harmful")

// arriveWith lets a request arrive whose prompt has shared parts. No two of these
// requests are alike.
func (h *harness) arriveWith(path string, parts ...poison.Trait) (Ticket, []Action) {
	h.next++
	traits := slices.Concat(parts, []poison.Trait{poison.RequestTrait("key", path, fmt.Append(nil, h.next))})
	return h.next, h.core.Arrive(h.now, h.next, Call{
		ID: "id", Host: "h", Path: path, Key: "key", TimeBudget: 6 * time.Second, Model: model, PromptTokens: 100, MaxAnswerTokens: 50, Traits: traits,
	})
}

// crash ends an attempt with the loss of its upstream before the answer began, and
// publishes the next start of that upstream.
func (h *harness) crash(ticket Ticket, send Send) []Action {
	actions := h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost})
	return append(actions, h.restart(send.Upstream)...)
}

// restart publishes the next start of an upstream.
func (h *harness) restart(id fleet.InstanceID) []Action {
	v := *h.core.view
	for i, u := range v.Upstreams {
		if u.ID == id {
			next := *u
			next.StartTime++
			v.Upstreams[i] = &next
		}
	}
	return h.core.Update(h.now, &v)
}

// reports returns the evidence of another entry: a trait was alone in a number of
// crashes, one a second.
func reports(t poison.Trait, crashes int) []poison.Report {
	out := make([]poison.Report, 0, crashes)
	for i := range crashes {
		id := poison.NewCrashID("other", int64(i))
		out = append(out, poison.Report{Crash: id, AgeMS: int64(1000 * (i + 1)), Suspects: []poison.Suspect{{Trait: t}}})
	}
	return out
}

// Guards against a request that goes on crashing the upstreams that run it. Its first
// loss is no sign yet: most upstreams are lost for other reasons.
func TestCrashingRequestIsStopped(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a"), deskUpstream("b", "north-a"), deskUpstream("c", "north-a"), deskUpstream("d", "north-a")))
	traits := []poison.Trait{poison.RequestTrait("key", "/read/1", nil)}
	var sends []int
	for range 5 {
		h.now = h.now.Add(10 * time.Second)
		h.next++
		actions := h.core.Arrive(h.now, h.next, Call{ID: "id", Host: "h", Path: "/read/1", Key: "key", TimeBudget: 10 * time.Second, Traits: traits})
		sent := 0
		for send, ok := actions[0].(Send); ok; send, ok = actions[0].(Send) {
			sent++
			h.now = h.now.Add(300 * time.Millisecond)
			actions = h.crash(h.next, send)
		}
		sends = append(sends, sent)
		if sent == 0 {
			require.Equal(t, traits[0], h.refused(actions).Trait)
			continue
		}
		require.Equal(t, OutcomeUnknown, h.refused(actions).Verdict)
	}
	require.Equal(t, []int{2, 1, 0, 0, 0}, sends)
}

// Guards against a part of a prompt that crashes one upstream after the other
// because no two requests with it are alike, and against sound requests that are
// rejected because they have a part or the customer in common with those.
func TestHarmfulPartIsBlocked(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1), replica("c", 1), replica("d", 1)))
	sends := 0
	for range 8 {
		h.now = h.now.Add(time.Second)
		sound, actions := h.arriveWith("/stream/1", first)
		h.sent(actions)
		h.core.ResponseStarted(h.now, sound)
		if ticket, actions := h.arriveWith("/stream/1", first, harmful); sends < poison.BlockAfter {
			sends++
			require.Equal(t, OutcomeUnknown, h.refused(h.crash(ticket, h.sent(actions))).Verdict)
		} else {
			r := h.refused(actions)
			require.Equal(t, NotRun, r.Verdict)
			require.Equal(t, harmful, r.Trait)
		}
		h.core.AttemptEnded(h.now, sound, AttemptResult{End: retry.Answered, FirstByte: time.Millisecond})
	}
}

// Guards against suspected requests that crash several upstreams at once, and
// against others that wait behind them although they may go elsewhere.
func TestSuspectedRequestsGoToOneUpstream(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1), replica("c", 1)))
	h.core.ApplyReports(h.now, reports(harmful, 1))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	target := h.sent(actions).Upstream
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{target: {Requests: 4}}, nil)
	waiting, actions := h.arriveWith("/stream/1", harmful)
	require.Empty(t, actions)
	for range 3 {
		_, actions := h.arriveWith("/stream/1", first)
		require.NotEqual(t, target, h.sent(actions).Upstream)
	}
	require.Equal(t, 1, h.core.Waiting())
	require.False(t, h.core.services[engine].contended(h.now), "one upstream is full, not the service")
	h.core.ApplyReports(h.now, reports(h.traitElsewhere(target), 1))
	_, actions = h.arriveWith("/stream/1", h.traitElsewhere(target))
	require.NotEqual(t, target, h.sent(actions).Upstream, "another suspicion does not wait for this upstream")
	h.core.SetPeerLoads(h.now, nil, nil)
	require.Equal(t, Send{Ticket: waiting, Upstream: target}, idOf(h.sent(h.core.Tick(h.now))))
	h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, FirstByte: time.Millisecond})
	require.Equal(t, poison.Clear, h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict, "an answer clears the part")
}

// traitElsewhere returns a trait whose suspected requests go to another upstream.
func (h *harness) traitElsewhere(target fleet.InstanceID) poison.Trait {
	r := &request{Call: Call{Model: model}, route: h.core.view.Config.Route("h", "/stream/")}
	for t := harmful + 1; ; t++ {
		if u := h.core.pickSuspected(h.now, h.core.services[engine], r, t); u != nil && u.ID != target {
			return t
		}
	}
}

func idOf(s Send) Send { return Send{Ticket: s.Ticket, Upstream: s.Upstream} }

// Guards against a waiting request that comes under suspicion and holds up the ones
// behind it while its upstream has no capacity, and against one that goes on waiting
// for that upstream after it was cleared.
func TestWaitingRequestsAreReassessed(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	full := map[fleet.InstanceID]peering.Load{"a": {Requests: 4}, "b": {Requests: 4}}
	h.core.SetPeerLoads(h.now, full, nil)
	suspect, actions := h.arriveWith("/stream/1", harmful)
	require.Empty(t, actions)
	sound, actions := h.arriveWith("/stream/1", first)
	require.Empty(t, actions)
	require.Empty(t, h.core.ApplyReports(h.now, reports(harmful, 1)))
	r := h.core.requests[suspect]
	target := h.core.pickSuspected(h.now, h.core.services[engine], &request{Call: r.Call, route: r.route}, harmful)
	require.Nil(t, target, "no upstream has capacity")
	h.core.SetPeerLoads(h.now, nil, nil)
	target = h.core.pickSuspected(h.now, h.core.services[engine], &request{Call: r.Call, route: r.route}, harmful)
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{target.ID: {Requests: 4}}, nil)
	require.Equal(t, sound, h.sent(h.core.Tick(h.now)).Ticket)
	h.core.Detector().Survived(h.now, []poison.Trait{harmful})
	send := h.sent(h.core.Tick(h.now))
	require.Equal(t, suspect, send.Ticket)
	require.NotEqual(t, target.ID, send.Upstream)
}

// Guards against a sound request that fails only because it was lost together with
// the one that caused the crash: once a trait explains it, the request is sent again.
func TestRequestOfAnExplainedCrashIsRetried(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter-1))
	cause, actions := h.arriveWith("/stream/1", harmful)
	send := h.sent(actions)
	other := map[fleet.InstanceID]fleet.InstanceID{"a": "b", "b": "a"}[send.Upstream]
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{other: {Requests: 3}}, nil)
	sound, actions := h.arriveWith("/stream/1", first)
	require.Equal(t, send.Upstream, h.sent(actions).Upstream)
	h.refused(h.core.AttemptEnded(h.now, cause, AttemptResult{End: retry.Lost}))
	require.Equal(t, other, h.sent(h.core.AttemptEnded(h.now, sound, AttemptResult{End: retry.Lost})).Upstream)
}

// Guards against a blocked request that still runs because it was waiting, or at an
// entry that knows the crashes only from others.
func TestPeersEvidenceBlocksAtOnce(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	_, actions := h.arriveWith("/stream/1", first, harmful)
	require.Empty(t, actions)
	r := h.refused(h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter)))
	require.Equal(t, Refuse{Ticket: h.next, Verdict: NotRun, Reason: blockedReason, Trait: harmful}, r)
	_, actions = h.arriveWith("/stream/1", harmful)
	require.Equal(t, harmful, h.refused(actions).Trait)
	require.Empty(t, h.core.requests)
}

// Guards against a blocked request that is sent again after it was refused for lack
// of capacity, or whose caller is asked to come back.
func TestRefusedRequestIsBlocked(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	h.sent(actions)
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter))
	r := h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}))
	require.Equal(t, Refuse{Ticket: ticket, Verdict: NotRun, Reason: blockedReason, Trait: harmful}, r)
}

// Guards against a suspected request that waits in vain: for an upstream that refuses
// requests, or for slots that other entries own while the service is contended. If
// its wait is over, the service is not short of capacity.
func TestSuspectedRequestIsServed(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	h.core.ApplyReports(h.now, reports(harmful, 1))
	h.core.SetPeerLoads(h.now, nil, map[fleet.Service]peering.Share{engine: {Low: 1, High: 1.01, Contended: true}})
	plain, actions := h.arriveWith("/stream/1", first)
	require.Empty(t, actions, "this entry owns no slots")
	h.core.Cancel(h.now, plain)
	ticket, actions := h.arriveWith("/stream/1", harmful)
	refusing := h.sent(actions).Upstream
	require.NotEqual(t, refusing, h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy})).Upstream)
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}, "b": {Requests: 4}}, nil)
	_, actions = h.arriveWith("/stream/1", harmful)
	require.Empty(t, actions)
	h.now = h.now.Add(200 * time.Millisecond)
	require.Equal(t, "no upstream had room in time", h.refused(h.core.Tick(h.now)).Reason)
	require.False(t, h.core.services[engine].rejectedRecently(h.now))
}

// lostAfterEvent is the loss of an upstream right after an event of version 1.
var lostAfterEvent = AttemptResult{End: retry.Lost, Started: true, FirstByte: time.Millisecond, LastEventID: "7", Version: 1}

// Guards against a stream that ends because a part of its prompt came under suspicion after it
// had gone on for long, and against counting its loss as the fault of that part.
func TestStreamThatLastedIsNoSuspect(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	send := h.sent(actions)
	h.core.ResponseStarted(h.now, ticket)
	for _, answered := range send.Milestones {
		h.core.ResponseGoesOn(h.now.Add(answered), ticket, answered)
	}
	h.advance(send.Milestones[len(send.Milestones)-1] + time.Second)
	h.core.ApplyReports(h.now, reports(harmful, 2))
	h.sent(h.core.AttemptEnded(h.now, ticket, lostAfterEvent))
	h.refused(h.core.AttemptEnded(h.now, ticket, lostAfterEvent))
	require.Equal(t, 2, h.core.Detector().Crashes(), "only those that were reported")
}

// Guards against a stream that is cut with the first upstream that is lost under it, and
// against one that takes one upstream after the other with it: twice lost is evidence.
func TestStreamThatBeganIsResumedOnce(t *testing.T) {
	v := view(replica("a", 1), replica("b", 1), replica("c", 1))
	v.Config.Routes[0].MaxAttempts = 3
	v.Config.Index()
	h := newHarness(t, v)
	ticket, actions := h.arriveWith("/stream/1", harmful)
	for lost := range 2 {
		send := h.sent(actions)
		h.core.ResponseStarted(h.now, ticket)
		h.advance(300 * time.Millisecond)
		actions = h.core.AttemptEnded(h.now, ticket, lostAfterEvent)
		require.Equal(t, lost+1, h.core.Detector().Crashes())
		require.Contains(t, h.core.Detector().All(h.now)[0].Suspects, poison.Suspect{Trait: harmful})
		require.Equal(t, poison.NewCrashID(send.Upstream, 1), h.core.Detector().All(h.now)[0].Crash)
	}
	require.Equal(t, OutcomeUnknown, h.refused(actions).Verdict)
}

// Guards against a second upstream that is lost with a part which had crashed one before.
func TestSuspectedStreamThatBeganIsNotResumed(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	h.core.ApplyReports(h.now, reports(harmful, 1))
	ticket, actions := h.arriveWith("/stream/1", harmful)
	h.sent(actions)
	h.core.ResponseStarted(h.now, ticket)
	require.Equal(t, OutcomeUnknown, h.refused(h.core.AttemptEnded(h.now, ticket, lostAfterEvent)).Verdict)
}

// Guards against a part of a prompt that crashes one upstream after the other right after the
// first event of each answer, and against sound requests that are rejected because they have a
// part or the customer in common with those.
func TestPartThatCrashesAfterTheFirstEventIsBlocked(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1), replica("c", 1), replica("d", 1)))
	crashes := 0
	for range 8 {
		h.advance(time.Second)
		sound, actions := h.arriveWith("/stream/1", first)
		h.sent(actions)
		h.core.ResponseStarted(h.now, sound)
		ticket, actions := h.arriveWith("/stream/1", first, harmful)
		for send, ok := actions[0].(Send); ok; send, ok = actions[0].(Send) {
			crashes++
			h.core.ResponseStarted(h.now, ticket)
			h.advance(50 * time.Millisecond)
			actions = h.core.AttemptEnded(h.now, ticket, lostAfterEvent)
			h.restart(send.Upstream)
		}
		h.refused(actions)
		h.core.AttemptEnded(h.now, sound, AttemptResult{End: retry.Answered, FirstByte: time.Millisecond})
	}
	require.LessOrEqual(t, crashes, poison.BlockAfter+1)
	require.Equal(t, []poison.Trait{harmful}, h.core.Detector().Convicted(h.now))
}

// Guards against a convicted part that is never tried again, against several
// requests that try it at once, and against one that counts although it only waits.
func TestOneRequestProbes(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter))
	h.now = h.now.Add(3 * time.Minute)
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	probe, actions := h.arriveWith("/stream/1", harmful)
	require.Empty(t, actions)
	other, actions := h.arriveWith("/stream/1", harmful)
	require.Empty(t, actions)
	h.core.SetPeerLoads(h.now, nil, nil)
	actions = h.core.Tick(h.now)
	require.Len(t, actions, 2)
	require.Equal(t, harmful, actions[0].(Send).Probe)
	require.Equal(t, Refuse{Ticket: other, Verdict: NotRun, Reason: blockedReason, Trait: harmful}, actions[1])
	h.core.AttemptEnded(h.now, probe, AttemptResult{End: retry.Answered, FirstByte: time.Millisecond})
	_, actions = h.arriveWith("/stream/1", harmful)
	require.Zero(t, h.sent(actions).Probe)
}

// Guards against a process that does not spread its probes among those of many others.
func TestProbesAreSpreadAmongProcesses(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter))
	h.now = h.now.Add(2 * time.Minute)
	require.Equal(t, poison.Probe, h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict)
	delayed := false
	for n := 200; n <= 700 && !delayed; n += 100 {
		h.core.SetPlace(quota.Place{Position: 0, Processes: n})
		delayed = h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict == poison.Blocked
	}
	require.True(t, delayed)
}

// Guards against suspicion after a loss that was no crash: the upstream goes on to
// answer, be it with an error.
func TestAnswerRefutesCrash(t *testing.T) {
	for _, end := range []AttemptResult{{}, {ServerError: true}, {ClientError: true}} {
		h := newHarness(t, view(deskUpstream("a", "north-a")))
		lost, actions := h.arriveWith("/once/1", harmful)
		h.sent(actions)
		h.core.AttemptEnded(h.now, lost, AttemptResult{End: retry.Lost})
		h.now = h.now.Add(minAvoidance)
		ticket, actions := h.arriveWith("/once/1", first)
		h.sent(actions)
		end.End = retry.Answered
		h.core.AttemptEnded(h.now, ticket, end)
		require.Equal(t, poison.Clear, h.core.Detector().Check(h.now, []poison.Trait{harmful}).Verdict)
	}
}

// Guards against a crash that is counted for a later start of the upstream: the view
// may replace it before the attempt ends, and another entry reports the same crash.
func TestCrashNamesTheStartThatGotTheRequest(t *testing.T) {
	v := view(replica("a", 1))
	h := newHarness(t, v)
	ticket, actions := h.arriveWith("/stream/1", harmful)
	h.sent(actions)
	restarted := replica("a", 1)
	restarted.StartTime = 2
	h.core.Update(h.now, view(restarted))
	h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost})
	require.Equal(t, poison.NewCrashID("a", 1), h.core.Detector().Reports(h.now)[0].Crash)
}

// Guards against requests that get lost, end twice or run although they are blocked
// when suspicion moves them between queues.
func TestRequestsOutliveChangesOfSuspicion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{core: New(settings()), now: start}
		h.core.Update(h.now, view(replica("a", 1), replica("b", 1)))
		parts := []poison.Trait{first, harmful, harmful + 1}
		open := map[Ticket]bool{}
		var running []Ticket
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					running = append(running, a.Ticket)
					d := h.core.decide(h.now, h.core.requests[a.Ticket])
					require.True(t, d.Verdict != poison.Blocked || d.Trait == a.Probe, "%+v", d)
				case Refuse:
					require.True(t, open[a.Ticket])
					delete(open, a.Ticket)
				case Finish:
					require.True(t, open[a.Ticket])
					delete(open, a.Ticket)
				}
			}
		}
		end := func(i int, e retry.End) {
			ticket := running[i]
			running = slices.Delete(running, i, i+1)
			apply(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: e}))
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 100, 90_000}).Draw(t, "ms")) * time.Millisecond)
			part := rapid.SampledFrom(parts).Draw(t, "part")
			switch step := rapid.IntRange(0, 6).Draw(t, "step"); {
			case step == 0 && len(running) > 0:
				end(rapid.IntRange(0, len(running)-1).Draw(t, "which"), rapid.SampledFrom([]retry.End{retry.Answered, retry.Busy, retry.Lost, retry.Stalled}).Draw(t, "end"))
			case step == 1:
				apply(h.core.ApplyReports(h.now, reports(part, rapid.IntRange(1, 4).Draw(t, "crashes"))))
			case step == 2 && len(running) > 0:
				apply(h.core.ResponseStarted(h.now, rapid.SampledFrom(running).Draw(t, "started")))
			case step == 3:
				load := peering.Load{Requests: rapid.IntRange(0, 4).Draw(t, "load")}
				h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": load, "b": {Requests: 4}}, nil)
			default:
				open[h.next+1] = true
				_, actions := h.arriveWith("/stream/1", part)
				apply(actions)
			}
		}
		for len(running) > 0 {
			end(0, retry.Answered)
		}
		h.now = h.now.Add(10 * time.Second)
		apply(h.core.Tick(h.now))
		require.Empty(t, open)
		require.Empty(t, h.core.requests)
		require.Zero(t, h.core.Waiting())
		require.Empty(t, h.core.Loads(h.now))
	})
}
