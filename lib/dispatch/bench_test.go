package dispatch

import (
	"fmt"
	"testing"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/quota"
	"rattanspur.example/lib/ratelimit"
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
	v.Desired[model] = published.DesiredVersion{Model: model, Version: 2, Published: published.At(start), Previous: []published.PreviousVersion{{Version: 1}}}
	c := New(settings())
	c.SetPlace(quota.Place{Position: 0, Processes: 20})
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

// BenchmarkDivideLimits measures one division of the limits that seven tenths of the
// engines state, among the gateways of a large site and those of the expected size.
func BenchmarkDivideLimits(b *testing.B) {
	for i, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := benchmarkCore(n)
			sharing := peering.Sharing{Self: "gateway", Settled: true}
			for peer := range []int{21, 760}[i] - 1 {
				sharing.Peers = append(sharing.Peers, peering.Sharer{
					Name: fmt.Sprint("gateway-", peer), Demands: map[fleet.Service]peering.Demand{engine: {Steady: 40}},
				})
			}
			for j := range n * 7 / 10 {
				u := c.upstreams[fleet.InstanceID(fmt.Sprintf("engine-%04d", j))]
				c.limits.table.Observe(start, start, u.startKey(), ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: 4})
			}
			now := start
			c.SetSharing(now, sharing)
			for b.Loop() {
				// One in twenty gateways changes its demand between two divisions.
				for j := range len(sharing.Peers) / 20 {
					p := &sharing.Peers[(int(now.Unix())+j*20)%len(sharing.Peers)]
					p.Demands = map[fleet.Service]peering.Demand{engine: {Steady: 30 + float64(now.Unix()%20)}}
				}
				now = now.Add(divisionInterval)
				c.SetSharing(now, sharing)
			}
		})
	}
}

// BenchmarkSilentAttempts measures one round of searches for 5000 silent attempts at a
// twentieth of the engines, none of which finds a place.
func BenchmarkSilentAttempts(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := benchmarkCore(n)
			now := start
			var list []*published.Upstream
			for i := range n {
				u := replica(fmt.Sprintf("engine-%04d", i), 1)
				u.Slots = 5000
				list = append(list, u)
			}
			c.Update(now, view(list[:n/20]...))
			for ticket := Ticket(1); ticket <= 5000; ticket++ {
				c.Arrive(now, ticket, Call{Host: "h", Path: "/stream/1", Key: "key", TimeBudget: time.Hour, Model: model})
				c.ResponseStarted(now, ticket)
			}
			for _, u := range list {
				u.Slots = 0
			}
			c.Update(now, view(list...))
			now = now.Add(silentFor)
			for ticket := Ticket(1); ticket <= 5000; ticket++ {
				c.AttemptSilent(now, ticket, Silence{Since: start, Started: true, LastEventID: "7", Version: 1})
			}
			for b.Loop() {
				c.hedgedAt = time.Time{}
				c.Tick(now)
			}
			b.ReportMetric(float64(len(c.silent)), "silent")
		})
	}
}
