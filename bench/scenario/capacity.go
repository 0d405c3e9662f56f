package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// The expected size of the fleet, for the figures in docs/CAPACITY.md.
const (
	expectedReplicas = 4300
	expectedRegions  = 6
	expectedDomains  = 16
)

// memberSizes are the numbers of members at which gossip is measured; the last
// one is the expected size.
var memberSizes = []int{506, 1265, 2530, fleetSize}

// replicaSizes are the numbers of replicas at which routing is measured.
var replicaSizes = []int{12, 300, expectedReplicas}

// Capacity measures the decision logic of the libraries inside this process, at
// sizes that real processes on one machine cannot reach.
func Capacity(_ context.Context, env Env) error {
	steps := []func(Env) error{capacityGossip, capacityConfig, capacityRouting, capacityTransfer, capacityChunk, capacityOnce}
	for _, step := range steps {
		if err := step(env); err != nil {
			return err
		}
	}
	return nil
}

// fleetOf returns n instances with the expected ratio of entries to agents.
func fleetOf(n int) []fleet.Instance {
	list := make([]fleet.Instance, n)
	for i := range list {
		domain := i % expectedDomains
		list[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("agent-%05d", i)), Role: fleet.RoleAgent, Service: "advisory",
			Address:       fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%d", domain)),
			Region:        fleet.Region(fmt.Sprintf("region-%d", domain%expectedRegions)),
			State:         fleet.StateLive, Serving: fleet.Digest{1},
		}
		if i*expectedReplicas/fleetSize != (i+1)*expectedReplicas/fleetSize {
			continue
		}
		list[i].Role, list[i].Service, list[i].Serving = fleet.RoleEntry, "", fleet.Digest{}
	}
	return list
}

// retainedHeap returns the number of heap bytes that the result of build keeps
// alive.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// microsPerCall returns the mean time of one call of f in microseconds.
func microsPerCall(f func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(result.NsPerOp()) / float64(time.Microsecond)
}

// slope returns the least-squares slope of y over x.
func slope(x []int, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		v := float64(x[i])
		sx, sy, sxx, sxy = sx+v, sy+y[i], sxx+v*v, sxy+v*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// capacityGossip measures the time and bytes of one exchange of heartbeats and
// the heap of the member table.
func capacityGossip(env Env) error {
	var heap, spent, sent []float64
	for _, n := range memberSizes {
		list := fleetOf(n)
		heap = append(heap, retainedHeap(func() any { return newGossip(list) }))
		micros, bytes, err := exchangeCost(list)
		if err != nil {
			return err
		}
		spent = append(spent, micros)
		sent = append(sent, bytes)
		env.Report.Add(fmt.Sprintf("capacity.gossip_exchange_us.n%d", n), micros, "us", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.gossip_message_bytes.n%d", n), bytes, "B", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.gossip_heap_mb.n%d", n), heap[len(heap)-1]/1e6, "MB", figure.NoBound)
	}
	env.Report.Add("capacity.gossip_exchange_us.slope", slope(memberSizes, spent), "us/member", figure.NoBound)
	env.Report.Add("capacity.gossip_heap_bytes.slope", slope(memberSizes, heap), "B/member", figure.NoBound)
	env.Report.Add("capacity.gossip_message_bytes.slope", slope(memberSizes, sent), "B/member", figure.NoBound)
	return nil
}

func newGossip(list []fleet.Instance) *gossip.Core {
	now := time.UnixMilli(1)
	core := gossip.New(gossip.Options{Self: list[0], Incarnation: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1))})
	core.SetInstanceList(now, list, 1)
	return core
}

// exchangeCost returns the mean time in microseconds and the mean message bytes
// of one exchange: a tick with the message that it sends, and one received and
// answered heartbeat that carries one changed member.
func exchangeCost(list []fleet.Instance) (micros, bytes float64, err error) {
	core := newGossip(list)
	now := time.UnixMilli(1)
	total, count := 0, 0
	micros = microsPerCall(func() {
		count++
		now = now.Add(gossip.HeartbeatInterval)
		var request []byte
		for _, a := range core.Tick(now) {
			if s, ok := a.(gossip.Send); ok {
				request, err = wire.EncodeHeartbeat(&s.Message, timeline.Stamp{Wall: now.UnixMilli()})
				total += len(request)
			}
		}
		h, _, derr := wire.DecodeHeartbeat(request)
		if derr != nil {
			err = derr
			return
		}
		h.From = gossip.Member{
			Instance: list[1+count%(len(list)-1)],
			Version:  gossip.Version{Incarnation: 2, Sequence: uint64(count)},
		}
		answer, _ := core.HandleHeartbeat(now, h)
		encoded, eerr := wire.EncodeHeartbeat(&answer, timeline.Stamp{})
		if eerr != nil {
			err = eerr
		}
		total += len(encoded)
	})
	return micros, float64(total) / float64(count), err
}

// capacityConfig measures the time to decode and validate a document.
func capacityConfig(env Env) error {
	sizes := []int{50, 200, 800}
	var micros, kilobytes []float64
	for _, customers := range sizes {
		data, err := documentOf(customers)
		if err != nil {
			return err
		}
		spent := microsPerCall(func() { _, err = config.Accept(data) })
		if err != nil {
			return err
		}
		micros = append(micros, spent)
		kilobytes = append(kilobytes, float64(len(data))/1000)
		env.Report.Add(fmt.Sprintf("capacity.config_accept_us.customers%d", customers), spent, "us", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.config_kb.customers%d", customers), float64(len(data))/1000, "KB", figure.NoBound)
	}
	perKB := (micros[2] - micros[0]) / (kilobytes[2] - kilobytes[0])
	env.Report.Add("capacity.config_accept_us.slope", perKB, "us/KB", figure.NoBound)
	return nil
}

// documentOf returns an encoded document with the expected failure domains and
// the given number of customers.
func documentOf(customers int) ([]byte, error) {
	var b strings.Builder
	b.WriteString(`{"generation":1,"profiles":[],"services":[],"failure_domains":[`)
	for i := range expectedDomains {
		fmt.Fprintf(&b, `%s{"name":"domain-%d","region":"region-%d","state":"in"}`, comma(i), i, i%expectedRegions)
	}
	b.WriteString(`],"customers":[`)
	for i := range customers {
		fmt.Fprintf(&b, `%s{"name":"customer-%d","key_sha256":"%064x","weight":1}`, comma(i), i, i+1)
	}
	b.WriteString(`]}`)
	data := []byte(b.String())
	_, err := config.Accept(data)
	return data, err
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}
