package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
)

// longPrompt takes 150 ms to read at the usual speed of the engines of these tests.
const longPrompt = 1500

// engineView returns a view of engines that generate 5 tokens between two prompts.
func engineView(ids ...string) *published.View {
	var list []*published.Upstream
	for _, id := range ids {
		u := replica(id, 1)
		u.Slots = 12
		list = append(list, u)
	}
	v := view(list...)
	v.Config.Services[engine].Engine.TokensPerPass = 5
	return v
}

// arriveWithPrompt lets a request with a number of prompt tokens arrive.
func (h *harness) arriveWithPrompt(path string, promptTokens int) []Action {
	h.next++
	return h.core.Arrive(h.now, h.next, Call{
		ID: "id", Host: "h", Path: path, Key: "key", Model: model, PromptTokens: promptTokens, MaxAnswerTokens: 50, TimeBudget: 6 * time.Second,
	})
}

// Load: long prompts at engines that are slow for a moment. Guards against a prompt that makes all
// streams of a slow engine pause for longer than their callers bear, although another engine,
// with more requests, reads at its usual speed.
func TestLongPromptAvoidsASlowEngine(t *testing.T) {
	h := newHarness(t, engineView("slow", "usual"))
	h.core.upstreams["slow"].observeSpeed(h.now, 2.5)
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"slow": {Requests: 1}, "usual": {Requests: 8}}, nil)
	require.Equal(t, fleet.InstanceID("usual"), h.sent(h.arriveWithPrompt("/stream/", longPrompt)).Upstream)
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"slow": {Requests: 1}, "usual": {Requests: 8}}, nil)
	require.Equal(t, fleet.InstanceID("slow"), h.sent(h.arriveWithPrompt("/stream/", 10)).Upstream, "a short prompt holds up nobody")
}

// Load: long prompts beside short ones. Guards against a short prompt that is sent behind a long
// one while another engine reads nothing, although that has more requests.
func TestShortPromptAvoidsUnreadLongOnes(t *testing.T) {
	h := newHarness(t, engineView("a", "b"))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"b": {Requests: 2}}, nil)
	require.Equal(t, fleet.InstanceID("a"), h.sent(h.arriveWithPrompt("/stream/", longPrompt)).Upstream)
	require.Equal(t, fleet.InstanceID("b"), h.sent(h.arriveWithPrompt("/stream/", 100)).Upstream)
}

// Guards against a service without goals for the interval between events whose requests are
// placed by pauses.
func TestNoGapGoalMeansNoPauseCost(t *testing.T) {
	v := engineView("a")
	for i := range v.Config.Routes {
		v.Config.Routes[i].GapGoal = 0
	}
	h := newHarness(t, v)
	s, u := h.core.services[engine], h.core.upstreams["a"]
	require.Zero(t, s.pauseCostOf(h.now, &request{Call: Call{PromptTokens: longPrompt}}, u, longPrompt))
}
