package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// longConfig returns the configuration of config with a timeout of a minute for all
// routes.
func longConfig() *published.Config {
	c := config()
	for i := range c.Routes {
		c.Routes[i].Timeout = time.Minute
	}
	return c
}

func longView(upstreams ...*published.Upstream) *published.View {
	v := view(upstreams...)
	v.Config = longConfig()
	return v
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

// answer sends requests on a path that are all answered after the same time.
func (h *harness) answer(n int, path string, after time.Duration) {
	for range n {
		ticket, actions := h.arrive(path)
		h.sent(actions)
		h.advance(after)
		h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, Started: true, FirstByte: after})
	}
}

// Guards against an unrepeatable request that is sent late in a planned stop and gets no
// answer, although it could have been rejected as not run.
func TestStopRejectsUnrepeatableRequestsThatMayOutlastIt(t *testing.T) {
	h := newHarness(t, longView(deskUpstream("a", "north-a")))
	require.Empty(t, h.core.Stop(h.now, h.now.Add(3500*time.Millisecond)))
	_, actions := h.arrive("/once/1")
	r := h.refused(actions)
	require.Equal(t, NotRun, r.Verdict)
	require.Equal(t, stopRetryAfter, r.RetryAfter)
	require.Zero(t, h.core.Waiting())
}

// Guards against a stop that rejects what can be served: a request whose deadline is
// before its end, and an unrepeatable one whose route answers fast.
func TestStopServesRequestsThatEndInTime(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a")))
	h.core.Stop(h.now, h.now.Add(3500*time.Millisecond))
	_, actions := h.arrive("/once/1")
	require.Equal(t, h.now.Add(time.Second), h.sent(actions).Deadline, "the timeout of the route")

	h = newHarness(t, longView(deskUpstream("a", "north-a")))
	h.answer(minAnswers, "/once/1", 100*time.Millisecond)
	end := h.now.Add(3500 * time.Millisecond)
	h.core.Stop(h.now, end)
	_, actions = h.arrive("/once/1")
	require.Equal(t, end, h.sent(actions).Deadline)
	h.advance(3400 * time.Millisecond)
	_, actions = h.arrive("/once/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict)
}

// Guards against an estimate from few or fast answers that lets an unrepeatable request
// begin although answers often take longer.
func TestStopJudgesUnrepeatableRequestsByAnUpperBound(t *testing.T) {
	a := answerTime{}
	for range minAnswers {
		a.add(100 * time.Millisecond)
		a.add(900 * time.Millisecond)
	}
	require.Greater(t, a.upperBound(), 1500*time.Millisecond)
	h := newHarness(t, longView(deskUpstream("a", "north-a")))
	h.answer(minAnswers-1, "/once/1", time.Millisecond)
	h.core.Stop(h.now, h.now.Add(3500*time.Millisecond))
	_, actions := h.arrive("/once/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict)
}

// Guards against a repeatable request that begins although its engine, or its route,
// is known to need longer than the rest of the stop.
func TestStopRejectsRepeatableRequestsByTheirExpectedTime(t *testing.T) {
	h := newHarness(t, longView(replica("a", 1), deskUpstream("b", "north-a")))
	h.answer(minAnswers, "/read/1", 2*time.Second)
	h.core.Stop(h.now, h.now.Add(5*time.Second))
	_, actions := h.arrive("/stream/1")
	h.sent(actions)
	h.advance(1400 * time.Millisecond)
	_, actions = h.arrive("/stream/1")
	h.sent(actions)
	h.advance(100 * time.Millisecond)
	_, actions = h.arrive("/stream/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict, "twice 0.76 s, and 2 s in which its engine may be silent, of 3.5 s")
	h.advance(1900 * time.Millisecond)
	_, actions = h.arrive("/read/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict, "2 s of 1.6 s")
}

// Guards against requests that wait for capacity beyond the time in which they could
// still end, be it that they waited when the stop began or came during it.
func TestStopRejectsWaitingRequestsInTime(t *testing.T) {
	h := newHarness(t, longView(deskUpstream("a", "north-a")))
	h.answer(minAnswers, "/read/1", 100*time.Millisecond)
	for range 4 {
		_, actions := h.arrive("/read/1")
		h.sent(actions)
	}
	before, actions := h.arrive("/read/1")
	require.Empty(t, actions)
	once, actions := h.arrive("/once/1")
	require.Empty(t, actions)
	end := h.now.Add(500 * time.Millisecond)
	r := h.refused(h.core.Stop(h.now, end))
	require.Equal(t, once, r.Ticket, "its deadline is after the end")
	during, actions := h.arrive("/read/1")
	require.Empty(t, actions)
	h.advance(390 * time.Millisecond)
	require.Empty(t, h.core.Tick(h.now))
	h.advance(5 * time.Millisecond)
	var tickets []Ticket
	for _, a := range h.core.Tick(h.now) {
		r := a.(Refuse)
		require.Equal(t, NotRun, r.Verdict)
		require.Equal(t, stopRetryAfter, r.RetryAfter)
		tickets = append(tickets, r.Ticket)
	}
	require.ElementsMatch(t, []Ticket{before, during}, tickets, "an answer is expected to take 107 ms")
	require.Zero(t, h.core.Waiting())
}

// Guards against running requests that end with the process and without an answer, that
// are interrupted twice, or that are sent again afterwards.
func TestStopInterruptsWhatStillRuns(t *testing.T) {
	h := newHarness(t, longView(deskUpstream("a", "north-a"), deskUpstream("b", "north-a")))
	once, actions := h.arrive("/once/1")
	h.sent(actions)
	read, actions := h.arrive("/read/1")
	h.sent(actions)
	h.core.Stop(h.now, h.now.Add(time.Second))
	h.advance(time.Second - 1)
	require.Empty(t, h.core.Tick(h.now))
	h.advance(1)
	require.ElementsMatch(t, []Action{Interrupt{Ticket: once}, Interrupt{Ticket: read}}, h.core.Tick(h.now))
	require.Empty(t, h.core.Tick(h.now))
	r := h.refused(h.core.AttemptEnded(h.now, once, AttemptResult{End: retry.Stalled}))
	require.Equal(t, OutcomeUnknown, r.Verdict)
	require.Contains(t, r.Reason, interruptedReason)
	r = h.refused(h.core.AttemptEnded(h.now, read, AttemptResult{End: retry.Stalled}))
	require.Equal(t, OutcomeUnknown, r.Verdict)
	require.Zero(t, r.RetryAfter)
}

// Guards against a stop that calls a request not run although it may have run, and
// against one that throws a whole answer away.
func TestStopKeepsWhatIsKnownAtItsEnd(t *testing.T) {
	for _, c := range []struct {
		result AttemptResult
		want   Action
	}{
		{AttemptResult{End: retry.Busy}, Refuse{Verdict: NotRun}},
		{AttemptResult{End: retry.Unreachable}, Refuse{Verdict: NotRun}},
		{AttemptResult{End: retry.Lost}, Refuse{Verdict: OutcomeUnknown}},
		{AttemptResult{End: retry.Answered, ServerError: true, Held: true}, Deliver{}},
		{AttemptResult{End: retry.Answered, Started: true}, Finish{}},
	} {
		h := newHarness(t, longView(deskUpstream("a", "north-a"), deskUpstream("b", "north-a")))
		ticket, actions := h.arrive("/read/1")
		h.sent(actions)
		h.core.Stop(h.now, h.now.Add(time.Second))
		h.advance(time.Second)
		h.core.Tick(h.now)
		actions = h.core.AttemptEnded(h.now, ticket, c.result)
		require.Len(t, actions, 1)
		require.IsType(t, c.want, actions[0])
		if want, ok := c.want.(Refuse); ok {
			require.Equal(t, want.Verdict, actions[0].(Refuse).Verdict, c.result.End.String())
		}
	}
}

// Guards against a retry late in the stop that cannot end in time, and against a stream
// that is not resumed although time is left.
func TestStopBoundsRetries(t *testing.T) {
	h := newHarness(t, longView(replica("a", 1), replica("b", 1)))
	fresh, actions := h.arrive("/stream/1")
	h.sent(actions)
	begun, actions := h.arrive("/stream/2")
	h.sent(actions)
	h.core.Stop(h.now, h.now.Add(time.Second))
	h.advance(500 * time.Millisecond)
	r := h.refused(h.core.AttemptEnded(h.now, fresh, AttemptResult{End: retry.Lost}))
	require.Equal(t, OutcomeUnknown, r.Verdict, "0.76 s of 0.5 s")
	lost := AttemptResult{End: retry.Lost, Started: true, LastEventID: "1", Version: 1, FirstByte: time.Millisecond}
	require.Equal(t, begun, h.sent(h.core.AttemptEnded(h.now, begun, lost)).Ticket)
	h.advance(500 * time.Millisecond)
	require.Equal(t, []Action{Interrupt{Ticket: begun}}, h.core.Tick(h.now))
	require.Equal(t, OutcomeUnknown, h.refused(h.core.AttemptEnded(h.now, begun, lost)).Verdict)
}

// Guards against a configuration that is replaced during a stop and ends it, or leaves a
// request of a removed route without an end.
func TestStopOutlastsAChangeOfTheConfiguration(t *testing.T) {
	h := newHarness(t, longView(deskUpstream("a", "north-a")))
	running, actions := h.arrive("/once/1")
	h.sent(actions)
	for range 3 {
		_, actions := h.arrive("/read/1")
		h.sent(actions)
	}
	waiting, actions := h.arrive("/read/1")
	require.Empty(t, actions)
	h.core.Stop(h.now, h.now.Add(time.Second))
	other := longView()
	other.Config.Routes = other.Config.Routes[:1]
	other.Config.Services = map[fleet.Service]*published.Service{}
	other.Config.Index()
	require.Empty(t, h.core.Update(h.now, other))
	h.advance(time.Second)
	actions = h.core.Update(h.now, longView(deskUpstream("a", "north-a")))
	require.Contains(t, actions, Action(Interrupt{Ticket: running}))
	require.True(t, slices.ContainsFunc(actions, func(a Action) bool {
		r, ok := a.(Refuse)
		return ok && r.Ticket == waiting && r.Verdict == NotRun
	}))
	_, actions = h.arrive("/read/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict)
}

// Guards against a stop before the first configuration that takes requests.
func TestStopBeforeTheFirstView(t *testing.T) {
	h := &harness{t: t, core: New(settings()), now: start}
	require.Empty(t, h.core.Stop(h.now, h.now.Add(time.Second)))
	_, actions := h.arrive("/once/1")
	require.Equal(t, NotRun, h.refused(actions).Verdict)
	h.advance(time.Second)
	require.Empty(t, h.core.Tick(h.now))
}

// Guards against an order of events in a stop that leaves a request without an end or
// with two, calls one not run that may have run, or sends one after the end.
func TestStopEndsEveryRequestOnce(t *testing.T) {
	paths := []string{"/once/1", "/read/1", "/stream/1", "/home/1"}
	ends := []retry.End{retry.Answered, retry.Busy, retry.Unreachable, retry.Lost, retry.Stalled, retry.TimedOut}
	hedgeEnds := []retry.End{retry.Busy, retry.Unreachable, retry.Lost, retry.Stalled, retry.Canceled}
	rapid.Check(t, func(rt *rapid.T) {
		upstreams := []*published.Upstream{replica("a", 1), replica("b", 1), deskUpstream("c", "north-a"), deskUpstream("d", "south-a")}
		h := newHarness(t, longView(upstreams...))
		open, running, mayHaveRun := map[Ticket]bool{}, map[Ticket]bool{}, map[Ticket]bool{}
		hedged := map[Ticket]bool{}
		end := time.Time{}
		apply := func(actions []Action) {
			for _, a := range actions {
				var done Ticket
				switch a := a.(type) {
				case Send:
					require.Equal(rt, a.Hedge, running[a.Ticket])
					require.True(rt, open[a.Ticket] && !hedged[a.Ticket])
					hedged[a.Ticket] = a.Hedge
					require.True(rt, end.IsZero() || h.now.Before(end) && !a.Deadline.After(end), "sent after the end")
					running[a.Ticket] = true
				case Interrupt:
					require.True(rt, running[a.Ticket])
				case Refuse:
					require.False(rt, a.Verdict == NotRun && mayHaveRun[a.Ticket], "may have run")
					done = a.Ticket
				case Finish:
					done = a.Ticket
				}
				if done != 0 {
					require.True(rt, open[done] && !running[done])
					delete(open, done)
				}
			}
		}
		endAttempt := func(ticket Ticket, e retry.End) {
			delete(running, ticket)
			delete(hedged, ticket)
			mayHaveRun[ticket] = mayHaveRun[ticket] || !e.NotRun()
			apply(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: e, Started: e == retry.Answered}))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			h.advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1:
				open[h.next+1] = true
				_, actions := h.arrive(rapid.SampledFrom(paths).Draw(rt, "path"))
				apply(actions)
			case 2:
				if tickets := slices.Sorted(maps.Keys(running)); len(tickets) > 0 {
					endAttempt(rapid.SampledFrom(tickets).Draw(rt, "ticket"), rapid.SampledFrom(ends).Draw(rt, "end"))
				}
			case 3:
				apply(h.core.Tick(h.now))
			case 4:
				apply(h.core.Update(h.now, longView(upstreams[rapid.IntRange(0, 3).Draw(rt, "first"):]...)))
			case 5:
				if end.IsZero() {
					end = h.now.Add(time.Second)
					apply(h.core.Stop(h.now, end))
				}
			case 6:
				if tickets := slices.Sorted(maps.Keys(running)); len(tickets) > 0 {
					silence := Silence{Since: h.now.Add(-time.Second), Started: true, LastEventID: "1", Version: 1}
					apply(h.core.AttemptSilent(h.now, rapid.SampledFrom(tickets).Draw(rt, "ticket"), silence))
				}
			case 7:
				if tickets := slices.Sorted(maps.Keys(running)); len(tickets) > 0 {
					apply(h.core.AttemptResumed(h.now, rapid.SampledFrom(tickets).Draw(rt, "ticket")))
				}
			case 8:
				if tickets := slices.Sorted(maps.Keys(running)); len(tickets) > 0 {
					ticket, e := rapid.SampledFrom(tickets).Draw(rt, "ticket"), rapid.SampledFrom(hedgeEnds).Draw(rt, "end")
					mayHaveRun[ticket] = mayHaveRun[ticket] || hedged[ticket] && !e.NotRun()
					hedged[ticket] = false
					apply(h.core.HedgeEnded(h.now, ticket, AttemptResult{End: e}))
				}
			case 9:
				if tickets := slices.Sorted(maps.Keys(running)); len(tickets) > 0 {
					ticket, e := rapid.SampledFrom(tickets).Draw(rt, "ticket"), rapid.SampledFrom(ends[1:]).Draw(rt, "end")
					mayHaveRun[ticket] = mayHaveRun[ticket] || hedged[ticket] && !e.NotRun()
					hedged[ticket] = false
					apply(h.core.AttemptReplaced(h.now, ticket, AttemptResult{End: e, Started: true, LastEventID: "1", Version: 1}))
				}
			}
		}
		if end.IsZero() {
			end = h.now
			apply(h.core.Stop(h.now, end))
		}
		h.now = end.Add(time.Millisecond)
		apply(h.core.Tick(h.now))
		for ticket := range open {
			require.True(rt, running[ticket], "waits after the end")
		}
		for _, ticket := range slices.Sorted(maps.Keys(running)) {
			endAttempt(ticket, retry.Stalled)
		}
		require.Empty(rt, open)
		for _, u := range h.core.upstreams {
			require.Zero(rt, u.inFlight, "counts a request that has ended")
			require.Zero(rt, u.hedges, "counts a hedge that has ended")
		}
	})
}
