package dispatch

import (
	"fmt"
	"testing"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// benchmarkSizes are the numbers of engines: those of a large site, and those of the
// expected size.
var benchmarkSizes = []int{204, 4300}

// benchmarkCore returns a core with a number of engines, a twentieth of which it owns,
// and its view. A new version of the weights is published.
func benchmarkCore(engines int) (*Core, *published.View) {
	var list []*published.Upstream
	for i := range engines {
		list = append(list, replica(fmt.Sprintf("engine-%04d", i), 1))
	}
	v := view(list...)
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2, FirstSeen: start, Previous: []published.PreviousVersion{{Version: 1}}}
	c := New(settings())
	c.SetProcesses(0, 20)
	c.Update(start, v)
	c.SetPeerLoads(start, nil, map[fleet.Service]peering.Share{engine: {High: 0.05, KnownHigh: 0.05}})
	return c, v
}

// BenchmarkUpdate measures one change of the view.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, v := benchmarkCore(n)
			for b.Loop() {
				c.Update(start, v)
			}
		})
	}
}

// BenchmarkDivideSlots measures the division of slots, which follows each exchange of
// messages with peers.
func BenchmarkDivideSlots(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := benchmarkCore(n)
			for b.Loop() {
				c.divideSlots(start)
			}
		})
	}
}

// BenchmarkSend measures the choice of an upstream for one request and its end.
func BenchmarkSend(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := benchmarkCore(n)
			now, ticket := start, Ticket(0)
			for b.Loop() {
				now = now.Add(time.Microsecond)
				ticket++
				c.Arrive(now, ticket, Call{Host: "h", Path: "/stream/1", Key: "key", TimeBudget: 6 * time.Second, Model: model})
				c.AttemptEnded(now, ticket, AttemptResult{End: retry.Answered})
			}
		})
	}
}
