package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
)

// oddSlots returns nine replicas with four slots and one that states many more.
func oddSlots() []*published.Upstream {
	odd := replica("0", 1)
	odd.Slots = 1 << 16
	out := []*published.Upstream{odd}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		out = append(out, replica(id, 1))
	}
	return out
}

// Guards against an upstream that states far more slots than the others of its service and
// gets all requests.
func TestOddSlotsDoNotAttractAllRequests(t *testing.T) {
	h := newHarness(t, view(oddSlots()...))
	to := map[fleet.InstanceID]int{}
	const requests = 34
	for range requests {
		_, actions := h.arrive("/stream/1")
		s := h.sent(actions)
		to[s.Upstream]++
		h.core.ResponseStarted(h.now, s.Ticket)
	}
	require.Len(t, to, 10, "all upstreams get requests: %v", to)
	require.Less(t, to["0"], requests*2/3)
}

// Guards against an upstream that states far more slots than the others of its service, so
// that most entries own nothing else while the service is contended.
func TestOddSlotsDoNotTakeAllShares(t *testing.T) {
	const entries = 4
	owners := 0
	for i := range entries {
		h := newHarness(t, view(oddSlots()...))
		h.core.SetPeerLoads(h.now, nil, map[fleet.Service]peering.Share{
			engine: {Low: float64(i) / entries, High: float64(i+1) / entries, Contended: true},
		})
		sound := 0
		for _, u := range h.core.services[engine].upstreams {
			if u.ID != "0" {
				sound += u.ownSlots
			}
		}
		if sound > 0 {
			owners++
		}
	}
	require.GreaterOrEqual(t, owners, entries/2, "entries that own a slot of a sound upstream")
}

// Guards against a service of upstreams of different sizes whose large ones are not used
// fully.
func TestSlotsOfLargeUpstreamsCount(t *testing.T) {
	large := replica("large", 1)
	large.Slots = 4 * maxSlotRatio
	empty := replica("empty", 1)
	empty.Slots = 0
	h := newHarness(t, view(replica("a", 1), empty, large))
	require.Equal(t, 4*maxSlotRatio, h.core.upstreams["large"].Slots)
	h = newHarness(t, view(empty))
	require.Zero(t, h.core.upstreams["empty"].Slots)
}

// Guards against a registration with the address of the entry itself: each request would
// come back as a new one until all slots of that upstream are taken.
func TestEntryIsNoUpstreamOfItsOwn(t *testing.T) {
	const self = "10.0.0.1:80"
	c := New(Settings{Self: self, Random: func(int) int { return 0 }})
	odd := deskUpstream("odd", "north-a")
	odd.Address = self
	odd.Slots = 16
	c.Update(start, view(odd, deskUpstream("sound", "north-a")))
	h := &harness{t: t, core: c, now: start}
	for range 4 {
		_, actions := h.arrive("/read/1")
		require.Equal(t, fleet.InstanceID("sound"), h.sent(actions).Upstream)
	}
}
