package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// silentFor is a silence after which attempts are reported.
const silentFor = 1200 * time.Millisecond

// afterEvent is the silence of a stream that has passed on an event of version 1.
func (h *harness) afterEvent() Silence {
	return Silence{Since: h.now.Add(-silentFor), Started: true, LastEventID: "7", Version: 1}
}

// startStream sends a request for a stream and returns it in progress.
func (h *harness) startStream() (Ticket, Send) {
	h.t.Helper()
	ticket, actions := h.arrive("/stream/1")
	send := h.sent(actions)
	h.core.ResponseStarted(h.now, ticket)
	return ticket, send
}

// stalledAfterEvent is the end of the attempt of such a stream whose place a hedge takes.
var stalledAfterEvent = AttemptResult{End: retry.Stalled, Started: true, LastEventID: "7", Version: 1}

// hedged returns the hedge that is the only action.
func (h *harness) hedged(actions []Action) Send {
	h.t.Helper()
	s := h.sent(actions)
	require.True(h.t, s.Hedge, "%+v", s)
	return s
}

// replaced lets the hedge of a request take the place of its silent attempt.
func (h *harness) replaced(ticket Ticket, e AttemptResult) {
	h.t.Helper()
	require.NotNil(h.t, h.core.requests[ticket].hedge)
	require.Empty(h.t, h.core.AttemptReplaced(h.now, ticket, e))
}

// Guards against a connection that is silent for good and holds its request until the
// deadline although another upstream has capacity.
func TestSilentAttemptGoesOnElsewhere(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, first := h.startStream()
	h.now = h.now.Add(silentFor)
	second := h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	require.Equal(t, ticket, second.Ticket)
	require.NotEqual(t, first.Upstream, second.Upstream)
	require.NotEqual(t, first.Attempt, second.Attempt)
	h.replaced(ticket, stalledAfterEvent)
	require.Zero(t, h.core.upstreams[first.Upstream].inFlight)
	require.IsType(t, Finish{}, h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, Started: true, Version: 1})[0])
	require.Zero(t, h.core.upstreams[second.Upstream].inFlight)
}

// Guards against a stream that is cut because it left a silent upstream for one that had just
// changed its weights and rejected it.
func TestSilentStreamIsNotMovedToAnUpstreamThatUpdates(t *testing.T) {
	for _, c := range []struct {
		desiredFor time.Duration
		moved      bool
	}{{0, true}, {6 * time.Second, false}} {
		v := view(replica("a", 1), replica("b", 1))
		v.Desired[model] = published.DesiredVersion{
			Model: model, Version: 2, Published: published.At(start.Add(-c.desiredFor)),
			Previous: []published.PreviousVersion{{Version: 1, Published: published.At(start.Add(-time.Hour))}},
		}
		h := newHarness(t, v)
		h.core.Tick(h.now)
		ticket, _ := h.startStream()
		h.advance(silentFor)
		actions := h.core.AttemptSilent(h.now, ticket, h.afterEvent())
		if c.moved {
			require.Equal(t, ticket, h.hedged(actions).Ticket)
			continue
		}
		require.Empty(t, actions)
	}
}

// Guards against a hedge of a request that cannot go on elsewhere: no other
// upstream, no attempts left, no retry in the budget, or a route that may not be repeated.
func TestSilentAttemptIsNotEndedInVain(t *testing.T) {
	single := view(replica("a", 1))
	oneAttempt := view(replica("a", 1), replica("b", 1))
	oneAttempt.Config.Routes[0].MaxAttempts = 1
	oneAttempt.Config.Index()
	notResumable := view(replica("a", 1), replica("b", 1))
	notResumable.Config.Routes[0].Resumable = false
	notResumable.Config.Index()
	otherWeights := view(replica("a", 1), replica("b", 2))
	for name, v := range map[string]*harness{
		"one upstream":  newHarness(t, single),
		"one attempt":   newHarness(t, oneAttempt),
		"not resumable": newHarness(t, notResumable),
	} {
		ticket, _ := v.startStream()
		v.now = v.now.Add(silentFor)
		require.Empty(t, v.core.AttemptSilent(v.now, ticket, v.afterEvent()), name)
		require.Positive(t, v.core.Waiting(), name)
	}
	h := newHarness(t, otherWeights)
	ticket, send := h.startStream()
	h.now = h.now.Add(silentFor)
	s := h.afterEvent()
	s.Version = send.ExpectVersion
	require.Empty(t, h.core.AttemptSilent(h.now, ticket, s), "other weights")
	h = newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, _ = h.startStream()
	h.now = h.now.Add(silentFor)
	h.core.service(h.now, engine).retryBudget = retry.NewWindow(retry.WindowLimits{Window: 10 * time.Second}, h.now)
	require.Empty(t, h.core.AttemptSilent(h.now, ticket, h.afterEvent()), "no budget")
}

// Guards against more hedges than the other upstreams have room for, and against a request
// that finds no room at first and gets no hedge when there is some.
func TestHedgesNeedRoom(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	var tickets []Ticket
	for range 4 {
		ticket, _ := h.startStream()
		tickets = append(tickets, ticket)
	}
	h.now = h.now.Add(silentFor)
	other := replica("b", 1)
	other.Slots = 2
	h.core.Update(h.now, view(replica("a", 1), other))
	h.core.upstreams["b"].acceptedAt = h.now
	hedges := 0
	for _, ticket := range tickets {
		hedges += len(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	}
	require.Equal(t, 3, hedges, "two slots, and a quarter more for requests that failed")
	h.core.Update(h.now, view(replica("a", 1), replica("b", 1)))
	h.now = h.now.Add(hedgeInterval)
	hedges += len(h.core.Tick(h.now))
	require.Equal(t, 4, hedges)
	for _, ticket := range tickets {
		h.replaced(ticket, stalledAfterEvent)
		require.Equal(t, fleet.InstanceID("b"), h.core.requests[ticket].upstream.ID)
	}
	require.Equal(t, 4, h.core.upstreams["b"].inFlight)
	require.Zero(t, h.core.upstreams["b"].hedges)
}

// Guards against a hedge that still counts when the silent attempt has answered after all.
func TestHedgeEndsAfterAnAnswer(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, send := h.startStream()
	h.now = h.now.Add(silentFor)
	h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	h.core.AttemptResumed(h.now, ticket)
	require.Empty(t, h.core.HedgeEnded(h.now, ticket, AttemptResult{End: retry.Canceled}))
	require.IsType(t, Finish{}, h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, Started: true, Version: 1})[0])
	require.Zero(t, h.core.upstreams["a"].inFlight+h.core.upstreams["b"].inFlight)
	require.False(t, h.core.upstreams[send.Upstream].avoided(h.now), "it has answered")
	require.Zero(t, h.core.Waiting())
}

// Guards against a sound upstream that is avoided for seconds because it was silent once
// with many requests, and against one that gets all new requests while it is silent.
func TestSilentUpstreamIsAvoidedUntilItResponds(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	var tickets []Ticket
	for range 3 {
		ticket, _ := h.startStream()
		tickets = append(tickets, ticket)
	}
	h.now = h.now.Add(silentFor)
	for _, ticket := range tickets {
		h.core.AttemptSilent(h.now, ticket, h.afterEvent())
	}
	u := h.core.upstreams["a"]
	require.Equal(t, 1, u.failures, "one silence is one failure")
	require.True(t, u.avoided(h.now))
	h.now = h.now.Add(minAvoidance)
	_, actions := h.arrive("/stream/1")
	h.sent(actions)
	require.True(t, u.avoided(h.now), "one request finds out whether it has gone on")
	h.core.AttemptResumed(h.now, tickets[0])
	require.False(t, u.avoided(h.now))
	require.Zero(t, u.failures)
}

// Guards against an upstream that is avoided because of one connection: it responds to
// others, so the request goes there again on a new connection.
func TestSilentConnectionOfASoundUpstream(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, _ := h.startStream()
	h.now = h.now.Add(silentFor)
	s := h.afterEvent()
	h.now = h.now.Add(-silentFor / 2)
	h.startStream()
	h.now = h.now.Add(silentFor / 2)
	send := h.hedged(h.core.AttemptSilent(h.now, ticket, s))
	require.Equal(t, ticket, send.Ticket)
	require.False(t, h.core.upstreams["a"].avoided(h.now))
	require.Equal(t, fleet.InstanceID("a"), send.Upstream)
}

// Guards against a stream that is cut because no upstream has room at the moment at which
// its own one breaks off.
func TestBrokenStreamWaitsForRoom(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, _ := h.startStream()
	full := replica("b", 1)
	full.Slots = 0
	h.core.Update(h.now, view(replica("a", 1), full))
	lost := AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1}
	require.Empty(t, h.core.AttemptEnded(h.now, ticket, lost))
	h.now = h.now.Add(500 * time.Millisecond)
	require.Empty(t, h.core.Tick(h.now))
	require.Equal(t, fleet.InstanceID("b"), h.sent(h.core.Update(h.now, view(replica("a", 1), replica("b", 1)))).Upstream)
	ticket, _ = h.startStream()
	h.core.Update(h.now, view(full))
	require.Empty(t, h.core.AttemptEnded(h.now, ticket, lost))
	h.now = h.now.Add(patience(&config().Routes[0]))
	require.Equal(t, OutcomeUnknown, h.refused(h.core.Tick(h.now)).Verdict)
}

// Guards against a change of the configuration that takes away the place of a request in
// progress.
func TestRequestGoesOnAfterItsServiceLeft(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, _ := h.startStream()
	without := view(replica("a", 1), replica("b", 1))
	without.Config.Routes = without.Config.Routes[1:]
	delete(without.Config.Services, engine)
	without.Config.Index()
	h.core.Update(h.now, without)
	h.now = h.now.Add(silentFor)
	require.Equal(t, ticket, h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent())).Ticket)
	h.replaced(ticket, stalledAfterEvent)
	_, actions := h.arrive("/stream/1")
	require.Equal(t, NoRoute, h.refused(actions).Verdict)
}

// Guards against a silent upstream that counts as sound because of what the silent attempt
// received itself: the head of its response, its first event, or the event that ended an
// earlier silence. Its request would be sent there again, and new ones would go there.
func TestOwnResponseIsNoSignOfASoundUpstream(t *testing.T) {
	for name, receive := range map[string]func(h *harness, ticket Ticket){
		"head":        func(h *harness, ticket Ticket) { h.core.Observe(h.now, ticket, Observation{Version: 1}) },
		"first event": func(h *harness, ticket Ticket) { h.core.ResponseStarted(h.now, ticket) },
		"resumed": func(h *harness, ticket Ticket) {
			h.core.AttemptSilent(h.now, ticket, Silence{Since: h.now.Add(-time.Millisecond)})
			h.core.AttemptResumed(h.now, ticket)
		},
	} {
		h := newHarness(t, view(replica("a", 1)))
		ticket, actions := h.arrive("/stream/1")
		h.sent(actions)
		since := h.now
		// The router handles events a moment after the time that the handler noted.
		h.now = h.now.Add(time.Millisecond)
		receive(h, ticket)
		h.now = h.now.Add(silentFor)
		s := Silence{Since: since, Started: name != "head", LastEventID: "7", Version: 1}
		require.Empty(t, h.core.AttemptSilent(h.now, ticket, s), "%s: interrupted, to be sent to the same upstream", name)
		require.True(t, h.core.upstreams["a"].avoided(h.now), name)
	}
}

// Guards against an upstream that is avoided because a long plain response, which it still
// sends, has not ended.
func TestLongPlainResponseIsNoSilenceOfItsUpstream(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a")))
	ticket, actions := h.arrive("/read/1")
	h.sent(actions)
	since := h.now
	h.core.Observe(h.now, ticket, Observation{})
	h.now = h.now.Add(900 * time.Millisecond)
	require.Empty(t, h.core.AttemptSilent(h.now, ticket, Silence{Since: since, Started: true}))
	require.False(t, h.core.upstreams["a"].avoided(h.now))
}

// Guards against a hedge in vain after a restart of the upstream: the new start counts as the
// upstream that failed the request.
func TestSilentAttemptGoesOnAtTheNextStart(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, _ := h.startStream()
	restarted := replica("a", 1)
	restarted.StartTime++
	h.core.Update(h.now, view(restarted))
	h.now = h.now.Add(silentFor)
	send := h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	require.Equal(t, fleet.InstanceID("a"), send.Upstream)
	h.replaced(ticket, stalledAfterEvent)
	require.Equal(t, 1, h.core.upstreams["a"].inFlight)
}

// Guards against a hedge at the same silent process, whose registration was away for a
// moment.
func TestSilentAttemptDoesNotReturnToItsUpstream(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, _ := h.startStream()
	h.core.Update(h.now, view())
	h.core.Update(h.now, view(replica("a", 1)))
	h.now = h.now.Add(silentFor)
	require.Empty(t, h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
}

// Guards against a broken stream that waits although an upstream has room for it, behind
// one that this upstream failed.
func TestBrokenStreamsOfDifferentUpstreams(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	first, _ := h.startStream()
	h.core.Update(h.now, view(replica("b", 1)))
	second, _ := h.startStream()
	fullA, fullB := replica("a", 1), replica("b", 1)
	fullA.Slots, fullB.Slots = 0, 0
	h.core.Update(h.now, view(fullA, fullB))
	lost := AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1}
	require.Empty(t, h.core.AttemptEnded(h.now, first, lost))
	h.now = h.now.Add(time.Millisecond)
	require.Empty(t, h.core.AttemptEnded(h.now, second, lost))
	h.now = h.now.Add(minAvoidance)
	send := h.sent(h.core.Update(h.now, view(replica("a", 1), fullB)))
	require.Equal(t, second, send.Ticket)
	require.Equal(t, fleet.InstanceID("a"), send.Upstream)
}

// Guards against a silent attempt that never gets a hedge, although there is room for it,
// because many others are silent for which there is none.
func TestSilentAttemptIsFoundAmongMany(t *testing.T) {
	large := replica("a", 1)
	large.Slots = 1000
	h := newHarness(t, view(large))
	var last Ticket
	for range 6 * maxSearches {
		last, _ = h.startStream()
	}
	h.now = h.now.Add(silentFor)
	// All have begun on weights that are nowhere else, except for the last one.
	for ticket := Ticket(1); ticket <= last; ticket++ {
		s := h.afterEvent()
		if ticket == last {
			s.Version = 2
		}
		require.Empty(t, h.core.AttemptSilent(h.now, ticket, s))
	}
	actions := h.core.Update(h.now, view(large, replica("b", 2)))
	for i := 0; i < 200 && len(actions) == 0; i++ {
		h.now = h.now.Add(hedgeInterval)
		actions = h.core.Tick(h.now)
	}
	require.Equal(t, last, h.hedged(actions).Ticket)
}

// Guards against requests that are rejected for seconds because the only upstream was
// silent: with none of them in flight there, nothing shows that it has gone on.
func TestOnlyUpstreamIsTriedAfterItsSilence(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	u := h.core.upstreams["a"]
	for range maxDoublings {
		if u.avoidUntil.After(h.now) {
			h.now = u.avoidUntil
		}
		ticket, actions := h.arrive("/stream/1")
		h.sent(actions)
		since := h.now
		h.now = h.now.Add(silentFor)
		h.core.AttemptSilent(h.now, ticket, Silence{Since: since})
		h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Stalled})
	}
	require.Greater(t, u.avoidUntil.Sub(h.now), 2*time.Second)
	_, actions := h.arrive("/stream/1")
	h.sent(actions)
	_, actions = h.arrive("/stream/1")
	require.Empty(t, actions, "one request finds out whether it has gone on")
}

// Guards against a silent upstream that is never used again because the request which
// tried it out has ended.
func TestTrialEndsWithItsRequest(t *testing.T) {
	for name, end := range map[string]func(h *harness, ticket Ticket){
		"silent":   func(h *harness, ticket Ticket) { h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Stalled}) },
		"canceled": func(h *harness, ticket Ticket) { h.core.Cancel(h.now, ticket) },
		"busy":     func(h *harness, ticket Ticket) { h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}) },
	} {
		h := newHarness(t, view(replica("a", 1)))
		ticket, _ := h.startStream()
		h.now = h.now.Add(silentFor)
		h.core.AttemptSilent(h.now, ticket, h.afterEvent())
		u := h.core.upstreams["a"]
		h.now = u.avoidUntil
		trial, actions := h.arrive("/stream/1")
		h.sent(actions)
		require.True(t, u.trial, name)
		end(h, trial)
		h.core.Cancel(h.now, trial)
		require.False(t, u.trial, name)
		h.core.Tick(h.now)
		h.now = h.now.Add(maxAvoidance)
		_, actions = h.arrive("/stream/1")
		h.sent(actions)
	}
}

// Guards against a hedge that still counts for a request whose caller left, and against one
// that counts no more while it has not ended.
func TestHedgeCountsUntilItEnds(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, _ := h.startStream()
	h.now = h.now.Add(silentFor)
	h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	inFlight := func() int { return h.core.upstreams["a"].inFlight + h.core.upstreams["b"].inFlight }
	require.Equal(t, 2, inFlight())
	h.core.AttemptResumed(h.now, ticket)
	require.Equal(t, 2, inFlight())
	h.core.Cancel(h.now, ticket)
	require.Zero(t, inFlight())
	require.Zero(t, h.core.Waiting())
}

// Guards against a hedge that is paid for twice, and against a retry that is free because a
// hedge of the request was paid for.
func TestHedgePaysForOneRetry(t *testing.T) {
	v := view(replica("a", 1), replica("b", 1), replica("c", 1))
	v.Config.Routes[0].MaxAttempts = 3
	v.Config.Index()
	h := newHarness(t, v)
	ticket, _ := h.startStream()
	h.now = h.now.Add(silentFor)
	budget := retry.NewWindow(retry.WindowLimits{Reserve: minProcesses, Window: 10 * time.Second}, h.now)
	h.core.service(h.now, engine).retryBudget = budget
	h.hedged(h.core.AttemptSilent(h.now, ticket, h.afterEvent()))
	h.replaced(ticket, stalledAfterEvent)
	h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "8", Version: 1}))
}
