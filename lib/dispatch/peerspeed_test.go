package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
)

// tellSpeed lets an engine state a slowdown in the response to a request that goes on.
func (h *harness) tellSpeed(slowdown float64) {
	h.t.Helper()
	ticket, actions := h.arrive("/stream/1")
	h.sent(actions)
	h.core.Observe(h.now, ticket, stating(slowdown))
	h.core.ResponseStarted(h.now, ticket)
}

// speedAfter returns the speed that the entry passes on after some time.
func (h *harness) speedAfter(d time.Duration) peering.Speed {
	h.now = h.now.Add(d)
	return h.core.Loads(h.now)["a"].Speed
}

// Pattern: a slow engine of which most responses go to another entry. Guards against an
// entry that learns only from its own requests there which engine is slow.
func TestSpeedStatedToAnotherEntryCounts(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Speed: peering.Speed{Percent: 250, AgeMS: 100}}}, nil)
	_, actions := h.arrive("/stream/1")
	require.Equal(t, fleet.InstanceID("b"), h.sent(actions).Upstream)
	u := h.core.upstreams["a"]
	require.InDelta(t, 1+1.5*7/8, u.speed.slowdown(h.now), 1e-9, "the age counts from the statement")
	require.False(t, h.core.Loads(h.now)["a"].Speed.Known(), "it is not passed on again")

	u.observeSpeed(h.now, 1)
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Speed: peering.Speed{Percent: 250, AgeMS: 1}}}, nil)
	require.InDelta(t, 1, u.speed.slowdown(h.now), 0, "its own newer figure counts")

	old := peering.Speed{Percent: 250, AgeMS: int(maxSpeedTTL / time.Millisecond)}
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"b": {Speed: old}}, nil)
	require.Nil(t, h.core.upstreams["b"].speed)
}

// Guards against messages that grow although all engines work as usual, and against
// entries that never learn that a slow engine is as fast as usual again.
func TestOnlySpeedsThatMatterAreTold(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.tellSpeed(0)
	require.Equal(t, peering.Speed{}, h.speedAfter(0), "none is stated")
	h.tellSpeed(1)
	require.Equal(t, peering.Speed{}, h.speedAfter(0))
	h.core.upstreams["a"].observeSpeed(h.now, 2.5)
	require.Equal(t, peering.Speed{Percent: 250, AgeMS: 40}, h.speedAfter(40*time.Millisecond))
	h.core.upstreams["a"].observeSpeed(h.now, 1)
	require.Equal(t, peering.Speed{Percent: 100, AgeMS: 10}, h.speedAfter(10*time.Millisecond), "it replaces the slow one")
	require.Equal(t, peering.Speed{}, h.speedAfter(minSpeedTTL))
	h.core.upstreams["a"].observeSpeed(h.now.Add(maxSpeedTTL), 1)
	require.Equal(t, peering.Speed{}, h.speedAfter(maxSpeedTTL), "nobody counts the slow one any more")
}

// Pattern: hundreds of engines that are slow at once. Guards against messages that are too
// large to be sent, so that entries know nothing of each other.
func TestSpeedsInAMessageAreBounded(t *testing.T) {
	var list []*published.Upstream
	for i := range 3 * peering.MaxSpeeds {
		list = append(list, replica(fmt.Sprintf("engine-%04d", i), 1))
	}
	h := newHarness(t, view(list...))
	for i, p := range list {
		u := h.core.upstreams[p.ID]
		u.inFlight = 1
		u.observeSpeed(h.now.Add(time.Duration(i)*time.Millisecond), 2.5)
	}
	h.now = h.now.Add(time.Duration(len(list)) * time.Millisecond)
	told := 0
	for id, l := range h.core.Loads(h.now) {
		if l.Speed.Known() {
			told++
			assert.LessOrEqual(t, l.Speed.AgeMS, peering.MaxSpeeds, "%s: the latest are told", id)
		}
	}
	require.Equal(t, peering.MaxSpeeds, told)
}
