package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/published"
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
			cores[i].SetProcesses(entries)
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
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), bound)
		}
	})
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
