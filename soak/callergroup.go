package soak

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/duty"
)

// customers are the names of the customers; the first one is large.
var customers = []string{"large", "small-1", "small-2"}

// customerOf returns the customer of a caller by its index. The large one has half of them.
func customerOf(i int) string {
	if i%2 == 0 {
		return customers[0]
	}
	return customers[1+i/2%(len(customers)-1)]
}

// customerKey returns the key of a customer. All customers change their keys at once.
func customerKey(customer, key string) string { return customer + "." + key }

// callerGroup runs callers.
type callerGroup struct {
	env      *environment
	group    *duty.Group
	balancer *balancer
	// served counts the requests of usual callers that were answered with 200, expected
	// those that should be. Neither counts canceled requests or those with a revoked key.
	served, expected atomic.Int64
	// bursts is the number of bursts so far.
	bursts int
}

// newCallerGroup starts the usual callers, and as many untrusted clients.
func newCallerGroup(env *environment) *callerGroup {
	g := &callerGroup{
		env: env, group: duty.NewGroup(env.group.Context()),
		balancer: &balancer{env: env, excluded: make([]atomic.Bool, len(env.gateways))},
	}
	g.group.Go("balancer", g.balancer.run)
	for i := range env.options.Callers {
		g.start(&caller{name: callerName(i), customer: customerOf(i), faithful: i%faithfulOneIn == 0, expected: &g.expected, served: &g.served})
		untrusted := &untrustedClient{fmt.Sprintf("untrusted-%d", i), g}
		g.group.Go(untrusted.name, untrusted.run)
	}
	return g
}

// start starts a caller.
func (g *callerGroup) start(c *caller) {
	c.env, c.balancer = g.env, g.balancer
	g.group.Go(c.name, c.run)
}

// waitServing waits until most requests are served and engines serve the target
// version of the weights. It reports false after the timeout.
func (g *callerGroup) waitServing(ctx context.Context, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		expectedBefore, servedBefore := g.expected.Load(), g.served.Load()
		_ = duty.Sleep(ctx, countInterval)
		n := g.expected.Load() - expectedBefore
		if n > 0 && float64(g.served.Load()-servedBefore) >= minServedShare*float64(n) && g.env.weightsCurrent() {
			return true
		}
	}
	return false
}
