package soak

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// burstLength is how long the callers of a burst make new calls, and burstFactor the
	// number of those callers for each of the others.
	burstLength = 4 * time.Second
	burstFactor = 16
	// burstWork is how long each request of a burst makes its replica work, burstStream
	// how long a stream does.
	burstWork   = 300 * time.Millisecond
	burstStream = 800 * time.Millisecond
)

// startBurst starts callers that ask for more than the replicas can serve for burstLength.
func (g *callerGroup) startBurst() {
	g.bursts++
	for i := range burstFactor * g.env.options.Callers {
		g.start(&caller{
			name: fmt.Sprintf("burst-%d-%d", g.bursts, i), customer: customerOf(i), until: time.Now().Add(burstLength),
			expected: &atomic.Int64{}, served: &atomic.Int64{},
		})
	}
}

// runBurst runs a burst without other faults, in which the shares of kinds and customers are
// checked.
func (g *callerGroup) runBurst(ctx context.Context) {
	end := g.env.ledger.addChange("burst", "", time.Now())
	g.startBurst()
	_ = duty.Sleep(ctx, burstLength)
	end()
}

// planBursts plans a burst amid the faults and one amid the pauses, if there are any.
func (f *faultInjector) planBursts(length, pauseLength time.Duration) {
	random := f.source(burstPart)
	f.add(time.Duration(random.Int64N(int64(length))), "a burst of requests", f.callers.startBurst)
	if pauseLength > 0 {
		f.add(length+time.Duration(random.Int64N(int64(pauseLength))), "a burst of requests", f.callers.startBurst)
	}
}
