package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// speedInterval is how long an engine that shares its machine keeps a speed.
const speedInterval = 600 * time.Millisecond

// stating returns what a response of an upstream without further load reports.
func stating(slowdown float64) Observation {
	return Observation{Load: &Load{Running: 1, Slots: 4, Slowdown: slowdown}}
}

// serve sends a request to the only suitable upstream and ends it; the response reports o.
func (h *harness) serve(o Observation) Send {
	h.t.Helper()
	ticket, actions := h.arrive("/stream/1")
	s := h.sent(actions)
	h.core.Observe(h.now, ticket, o)
	h.core.ResponseStarted(h.now, ticket)
	h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered})
	return s
}

// Pattern: engines whose speed changes several times a second. Guards against a figure that
// counts in full until it is replaced: an engine that was slow once would get no requests,
// and so never state that it is fast again.
func TestSlowdownFadesWithItsAge(t *testing.T) {
	var s *speed
	require.InDelta(t, 1, s.slowdown(start), 0, "nothing was stated")
	s = &speed{}
	s.observe(start, 2.5)
	require.InDelta(t, 2.5, s.slowdown(start), 0)
	last := s.slowdown(start)
	for age := 100 * time.Millisecond; age < minSpeedTTL; age += 100 * time.Millisecond {
		now := s.slowdown(start.Add(age))
		require.Less(t, now, last)
		require.Greater(t, now, 1.0)
		last = now
	}
	require.InDelta(t, 1, s.slowdown(start.Add(minSpeedTTL)), 0)
	require.InDelta(t, 1, s.slowdown(start.Add(time.Hour)), 0)

	s.observe(start, 1)
	require.InDelta(t, 1, s.slowdown(start), 0)
}

// Guards against a figure that arrives late and replaces a newer one.
func TestOlderStatementDoesNotReplaceANewerOne(t *testing.T) {
	s := &speed{}
	s.observe(start, 1)
	s.observe(start.Add(-time.Millisecond), 2.5)
	require.InDelta(t, 1, s.slowdown(start), 0)
}

// Pattern: an engine that stays slow. Guards against requests that are sent to it again and
// again because what it stated fades as fast as a speed that changes all the time, and
// against an engine that has recovered and is never tried again.
func TestSpeedThatLastsCountsLonger(t *testing.T) {
	s := &speed{}
	now := start
	for range 20 {
		s.observe(now, 2.5)
		now = now.Add(speedInterval / 2)
	}
	require.Greater(t, s.slowdown(now.Add(minSpeedTTL)), 1.5)
	require.InDelta(t, 1, s.slowdown(now.Add(maxSpeedTTL)), 0)

	s.observe(now, 1)
	s.observe(now.Add(speedInterval), 2.5)
	require.InDelta(t, 1, s.slowdown(now.Add(speedInterval+minSpeedTTL)), 0, "a new level is not known to last")
}

// Guards against an engine that gets all requests, or none for good, because of an
// impossible speed.
func TestSlowdownsAreBounded(t *testing.T) {
	s := &speed{}
	s.observe(start, 1e6)
	require.InDelta(t, maxSlowdown, s.slowdown(start), 0)
	s.observe(start, 1e-6)
	require.InDelta(t, minSlowdown, s.slowdown(start), 0)
}

// Pattern: some of the engines slow for a moment. Guards against requests that go to a slow
// engine while one that works as fast as usual would serve them earlier, and against a slow
// engine that gets nothing although the others are far busier.
func TestRequestsAvoidASlowEngine(t *testing.T) {
	for slowdown, to := range map[float64][]fleet.InstanceID{
		1:   {"a", "b", "a", "b"},
		2.5: {"b", "b", "a", "b"},
	} {
		h := newHarness(t, view(replica("a", 1), replica("b", 1)))
		require.Equal(t, fleet.InstanceID("a"), h.serve(stating(slowdown)).Upstream)
		var got []fleet.InstanceID
		for range to {
			ticket, actions := h.arrive("/stream/1")
			got = append(got, h.sent(actions).Upstream)
			h.core.ResponseStarted(h.now, ticket)
		}
		require.Equal(t, to, got, "slowdown %v", slowdown)
	}
}

// Pattern: overload of engines of which some are slow. Guards against a slow engine whose
// slots are all filled, so that each prompt takes too long there, and against one that gets
// no request at all and so never states its speed again.
func TestSlowEngineBearsFewerRequests(t *testing.T) {
	for slowdown, want := range map[float64]int{0: 4, 1: 4, 0.5: 4, 2.5: 2, 9: 1} {
		h := newHarness(t, view(replica("a", 1)))
		h.serve(stating(slowdown))
		sent := 0
		for range 6 {
			ticket, actions := h.arrive("/stream/1")
			if len(actions) > 0 {
				h.sent(actions)
				sent++
				h.core.ResponseStarted(h.now, ticket)
			}
		}
		assert.Equal(t, want, sent, "slowdown %v", slowdown)
	}
}

// Pattern: a slow engine with unread prompts. Guards against a further prompt that a slow
// engine cannot read within the goal, and against minVersion that expects the first token
// as soon as at the usual speed.
func TestPromptsTakeLongerOnASlowEngine(t *testing.T) {
	e := &published.Engine{PromptTokensPerSecond: 1000}
	u := &upstream{Upstream: &published.Upstream{}}
	require.Equal(t, time.Second, u.promptTime(start, e, 1000))
	u.observeSpeed(start, 2.5)
	require.Equal(t, 2500*time.Millisecond, u.promptTime(start, e, 1000))
	require.Equal(t, time.Second, u.promptTime(start.Add(minSpeedTTL), e, 1000))

	for slowdown, fits := range map[float64]bool{0: true, 1: true, 2.5: false} {
		h := newHarness(t, view(replica("a", 1)))
		h.serve(stating(slowdown))
		call := Call{ID: "id", Host: "h", Path: "/stream/1", Key: "key", Model: model, PromptTokens: 500, TimeBudget: 6 * time.Second}
		h.next++
		h.sent(h.core.Arrive(h.now, h.next, call))
		h.next++
		require.Equal(t, fits, len(h.core.Arrive(h.now, h.next, call)) > 0, "slowdown %v", slowdown)
	}
}

// Guards against decisions that change for upstreams that state no speed or the usual one.
func TestUsualSpeedChangesNothing(t *testing.T) {
	play := func(slowdown float64) []Send {
		h := newHarness(t, view(replica("a", 1), replica("b", 1), replica("c", 1)))
		var out []Send
		for i := range 40 {
			if i%10 == 0 {
				h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: i % 4}}, nil)
			}
			ticket, actions := h.arrive("/stream/1")
			if len(actions) == 0 {
				h.now = h.now.Add(200 * time.Millisecond)
				h.core.Tick(h.now)
				continue
			}
			s := h.sent(actions)
			out = append(out, s)
			h.core.Observe(h.now, ticket, stating(slowdown))
			h.now = h.now.Add(30 * time.Millisecond)
			h.core.ResponseStarted(h.now, ticket)
			if i%3 != 0 {
				h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, FirstByte: 30 * time.Millisecond})
			}
		}
		return out
	}
	require.Equal(t, play(0), play(1))
}

// Guards against the speed of an engine that counts for the next start of it.
func TestSpeedIsForgottenAtARestart(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.serve(stating(2.5))
	restarted := replica("a", 1)
	restarted.StartTime = 2
	h.core.Update(h.now, view(restarted))
	require.InDelta(t, 1, h.core.upstreams["a"].speed.slowdown(h.now), 0)
}
