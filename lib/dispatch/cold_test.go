package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/quota"
	"rattanspur.example/lib/retry"
)

// Guards against several entries that overload a cold upstream together although
// each keeps its own limit. The limit must also hold if an entry restarts and
// loses its counts: in any second the upstream gets no more requests than the
// deployment allows.
func TestColdUpstreamUnderSeveralEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view(replica("a", 1))
		v.Upstreams[0].Slots = 1000
		service := v.Config.Services[engine]
		service.ColdPerSecond = float64(rapid.IntRange(8, 60).Draw(t, "rate"))
		service.Engine.PromptTokensPerSecond = 0
		entries := rapid.IntRange(1, 6).Draw(t, "entries")
		cores := make([]*Core, entries)
		for i := range cores {
			cores[i] = New(settings())
			cores[i].SetPlace(quota.Place{Position: i, Processes: entries})
			cores[i].Update(start, v)
		}
		now := start
		var sent []time.Time
		ticket := Ticket(0)
		for range rapid.IntRange(10, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			c := cores[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			ticket++
			for _, a := range c.Arrive(now, ticket, Call{Host: "h", Path: "/stream/1", Key: "key", Model: model}) {
				if _, ok := a.(Send); ok {
					sent = append(sent, now)
					c.AttemptEnded(now, ticket, AttemptResult{End: retry.Answered})
				}
			}
		}
		bound := service.ColdPerSecond*settings().ColdOverrun + settings().ColdSlack
		require.LessOrEqual(t, float64(mostWithin(sent, time.Second)), bound)
	})
}

// Guards against owners of a cold upstream that together exceed its limit with the
// entries that own nothing of it, also if some entries are cut off from the others
// and keep to the shares that they knew.
func TestColdUpstreamWithOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view(replica("a", 1), replica("b", 1), replica("c", 1))
		for _, u := range v.Upstreams {
			u.Slots = 1000
		}
		service := v.Config.Services[engine]
		service.ColdPerSecond = float64(rapid.IntRange(8, 60).Draw(t, "rate"))
		service.Engine.PromptTokensPerSecond = 0
		entries := rapid.IntRange(4, 12).Draw(t, "entries")
		cores := make([]*Core, entries)
		shares := make([]peering.Share, entries)
		low := 0.0
		for i := range cores {
			s := settings()
			s.Self = fmt.Sprint("entry-", i)
			cores[i] = New(s)
			cores[i].SetPlace(quota.Place{Position: i, Processes: entries})
			cores[i].Update(start, v)
			high := low + (1-low)*rapid.Float64Range(0, 1).Draw(t, "part")
			if i == entries-1 {
				high = 1
			}
			shares[i] = peering.Share{Low: low, High: high, KnownLow: low, KnownHigh: high}
			if rapid.IntRange(0, 4).Draw(t, "cut off") == 0 {
				shares[i].Low, shares[i].High = 0, 1
			}
			low = high
		}
		now := start
		sent := map[fleet.InstanceID][]time.Time{}
		for ticket := range Ticket(rapid.IntRange(10, 300).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			cores[i].SetPeerLoads(now, nil, map[fleet.Service]peering.Share{engine: shares[i]})
			for _, a := range cores[i].Arrive(now, ticket, Call{Host: "h", Path: "/stream/1", Key: "key", Model: model}) {
				if s, ok := a.(Send); ok {
					sent[s.Upstream] = append(sent[s.Upstream], now)
					cores[i].AttemptEnded(now, ticket, AttemptResult{End: retry.Answered})
				}
			}
		}
		bound := service.ColdPerSecond*settings().ColdOverrun + settings().ColdSlack
		for id, times := range sent {
			require.LessOrEqual(t, float64(mostWithin(times, time.Second)), bound, "%s", id)
		}
	})
}

// mostWithin returns the largest number of times within any span of that length.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against sends that contradict the current view: whatever changes, a
// request never goes to an upstream that is draining, out of service, or without
// the complete weights.
func TestNoSendAgainstTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{core: New(settings()), now: start}
		var current *published.View
		var running []Ticket
		check := func(actions []Action) {
			for _, a := range actions {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				running = append(running, s.Ticket)
				require.True(t, allowedByView(current, s), "%+v", s)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case current == nil || step == 0:
				current = drawView(t)
				check(h.core.Update(h.now, current))
			case step == 1 && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				ticket := running[i]
				running = append(running[:i], running[i+1:]...)
				end := rapid.SampledFrom([]retry.End{retry.Answered, retry.Busy, retry.Lost, retry.Unreachable, retry.Stalled}).Draw(t, "end")
				check(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: end}))
			case step == 2:
				check(h.core.Tick(h.now))
			default:
				path := rapid.SampledFrom([]string{"/stream/1", "/once/1", "/read/1", "/home/1"}).Draw(t, "path")
				_, actions := h.arrive(path)
				check(actions)
			}
		}
	})
}

func drawView(t *rapid.T) *published.View {
	var list []*published.Upstream
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "replica") {
			u := replica(id, 1)
			u.Copies[0].Layers = rapid.SampledFrom([]int{0, 16}).Draw(t, "layers")
			list = append(list, u)
		}
	}
	for _, id := range []string{"x", "y"} {
		u := deskUpstream(id, "north-a")
		if rapid.Bool().Draw(t, "south") {
			u.Domain = "south-a"
		}
		list = append(list, u)
	}
	for _, u := range list {
		u.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
	}
	v := view(list...)
	v.OutOfService["south-a"] = rapid.Bool().Draw(t, "out")
	return v
}

func allowedByView(v *published.View, s Send) bool {
	for _, u := range v.Upstreams {
		if u.ID != s.Upstream {
			continue
		}
		complete := u.Service != engine || u.Copies[0].Layers == 16
		return !u.Draining && !v.OutOfService[u.Domain] && complete
	}
	return false
}
