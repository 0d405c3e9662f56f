package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// playRefusals sends 100 requests a second for 10 s to upstreams of which the first refusing
// ones refuse everything at once. It returns how many requests were answered and how many
// were refused by an upstream.
func playRefusals(t *testing.T, sound, refusing int) (answered, refused int) {
	var upstreams []*published.Upstream
	for i := range sound + refusing {
		upstreams = append(upstreams, deskUpstream(string(rune('a'+i)), "north-a"))
	}
	isSound := map[string]bool{}
	for _, u := range upstreams[refusing:] {
		isSound[string(u.ID)] = true
	}
	h := newHarness(t, longView(upstreams...))
	for range 1000 {
		h.advance(10 * time.Millisecond)
		ticket, actions := h.arrive("/once/1")
		for len(actions) == 1 {
			send, ok := actions[0].(Send)
			if !ok {
				break
			}
			result := AttemptResult{End: retry.Busy}
			if isSound[string(send.Upstream)] {
				result = AttemptResult{End: retry.Answered, Started: true, FirstByte: time.Millisecond}
				answered++
			} else {
				refused++
			}
			actions = h.core.AttemptEnded(h.now, ticket, result)
		}
		h.core.Tick(h.now)
	}
	return answered, refused
}

// Guards against upstreams that refuse everything at once, and thus seem to have no load, to
// which all requests go first until the budget for retries is used up.
func TestUpstreamsThatOnlyRefuseAreAskedLessAndLess(t *testing.T) {
	answered, refused := playRefusals(t, 2, 8)
	require.Equal(t, 1000, answered)
	require.Less(t, refused, 100)
}

// Guards against a full upstream that is avoided for seconds because many requests were on
// their way when it became full, and against one that answers again and stays avoided.
func TestRefusalsTogetherCountOnce(t *testing.T) {
	u := &upstream{}
	now := time.Unix(1000, 0)
	for range 20 {
		u.recordRefusal(now, now.Add(-time.Millisecond))
	}
	require.Equal(t, now.Add(refusalPause), u.avoidUntil)
	now = u.avoidUntil
	u.recordRefusal(now.Add(time.Millisecond), now)
	require.Equal(t, now.Add(time.Millisecond+2*refusalPause), u.avoidUntil)
	u.recordSuccess(time.Millisecond)
	require.Zero(t, u.avoidUntil)
	u.recordRefusal(now, now)
	require.Equal(t, now.Add(refusalPause), u.avoidUntil)
	for range 20 {
		now = u.avoidUntil
		u.recordRefusal(now, now)
	}
	require.Equal(t, now.Add(maxAvoidance), u.avoidUntil)
}

// Guards against a sound upstream that is avoided for seconds in an overload, in which it
// refuses what goes beyond its slots and says so.
func TestRefusalOfAFullUpstreamIsExplained(t *testing.T) {
	u := &upstream{}
	now := time.Unix(1000, 0)
	for range 20 {
		u.observe(now, Observation{Load: &Load{Running: 4, Slots: 4}})
		u.recordRefusal(now, now)
		require.Equal(t, now.Add(refusalPause), u.avoidUntil)
		now = u.avoidUntil
	}
	u.observe(now, Observation{Load: &Load{Running: 1, Slots: 4}})
	for range 3 {
		u.recordRefusal(now, now)
		now = u.avoidUntil
	}
	require.Equal(t, 3, u.refusals)
}
