package scenario

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/bench/figure"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/once"
)

// keySizes are the numbers of keys at which once.Memory is measured.
var keySizes = []int{1000, 8000, 32000}

// keyCustomers is the number of customers that the keys are spread over, since
// one customer may fill only half of the memory.
const keyCustomers = 10

// capacityOnce measures once.Memory, the record of the requests that must not
// run twice: the time of one run and the heap per key.
func capacityOnce(env Env) error {
	var heap []float64
	for _, n := range keySizes {
		start := time.Now()
		var err error
		heap = append(heap, retainedHeap(func() any {
			m, ferr := fillKeys(n)
			err = ferr
			return m
		}))
		if err != nil {
			return err
		}
		micros := float64(time.Since(start).Microseconds()) / float64(n)
		env.Report.Add(fmt.Sprintf("capacity.once_run_us.keys%d", n), micros, "us", figure.NoBound)
		env.Report.Add(fmt.Sprintf("capacity.once_heap_mb.keys%d", n), heap[len(heap)-1]/1e6, "MB", figure.NoBound)
	}
	env.Report.Add("capacity.once_heap_bytes.slope", slope(keySizes, heap), "B/key", figure.NoBound)
	return nil
}

// fillKeys returns a memory in which n keys ran, without stored responses.
func fillKeys(n int) (*once.Memory, error) {
	const owner fleet.InstanceID = "agent-0"
	startedAt := time.UnixMilli(1_800_000_000_000)
	m := once.NewMemory(once.Start{Instance: owner, ID: "start-1", Secret: []byte("secret"), StartedAt: startedAt}, once.DefaultRules())
	m.Configure(config.Owners{
		Epochs: []config.OwnerEpoch{{Start: startedAt.Add(-time.Hour), Instances: []fleet.InstanceID{owner}}},
		Until:  startedAt.Add(time.Hour),
	})
	createdAt := startedAt.Add(time.Minute)
	now := once.Clock{Wall: createdAt, Elapsed: time.Minute}
	for i := range n {
		var random [10]byte
		binary.BigEndian.PutUint64(random[2:], uint64(i))
		v := m.Admit(now, once.Submission{
			Customer:    fleet.Customer(fmt.Sprintf("customer-%d", i%keyCustomers)),
			Key:         once.KeyAt(createdAt, random).String(),
			Fingerprint: fmt.Sprintf("%016x", i),
		})
		if v.Kind != once.Run {
			return nil, eris.Errorf("key %d was not admitted: %s", i, v.Reason)
		}
		if reason := m.Confirm(now, v.Ticket); reason != "" {
			return nil, eris.Errorf("key %d was not confirmed: %s", i, reason)
		}
		m.Finish(now, v.Ticket, once.Ran, nil)
	}
	return m, nil
}
