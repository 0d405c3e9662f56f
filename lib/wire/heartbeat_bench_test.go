package wire

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/timeline"
)

// expectedProcesses is the number of processes in a fleet of the expected size.
const expectedProcesses = 5060

// BenchmarkExchange measures the work of one process in one second without
// pushes: one tick with its message encoded, one heartbeat received, answered and
// encoded, and one change of a member.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{8, 100, 1000, expectedProcesses} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkExchange(b, n) })
	}
}

func benchmarkExchange(b *testing.B, n int) {
	now := time.UnixMilli(1_000_000)
	list := make([]fleet.Instance, n)
	for i := range list {
		region := fmt.Sprintf("region-%d", i%6)
		list[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("agent-%05d", i)), Role: fleet.RoleAgent, Service: "advisory",
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), FailureDomain: fleet.FailureDomain(region),
			Region: fleet.Region(region), State: fleet.StateLive, Serving: fleet.Digest{byte(i)},
		}
	}
	core := gossip.New(gossip.Options{Self: list[0], Incarnation: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1))})
	core.SetInstanceList(now, list, 1)
	bytes := 0
	encode := func(h *gossip.Heartbeat) []byte {
		data, err := EncodeHeartbeat(h, timeline.Stamp{Wall: now.UnixMilli()})
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
		return data
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second)
		var request []byte
		for _, a := range core.Tick(now) {
			if s, ok := a.(gossip.Send); ok {
				request = encode(&s.Message)
			}
		}
		h, _, err := DecodeHeartbeat(request)
		if err != nil {
			b.Fatal(err)
		}
		changed := 1 + i%(n-1)
		h.From = gossip.Member{Instance: list[changed], Version: gossip.Version{Incarnation: 2, Sequence: uint64(i + 1)}}
		answer, _ := core.HandleHeartbeat(now, h)
		encode(&answer)
		_ = core.Members()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/op-messages")
}
