package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
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
	// No kind of request and no customer is served less than starvedShare times as often as
	// all requests. minExpectedServed is how many of its calls must be served at the share of
	// all requests, so that chance does not bring it below.
	starvedShare      = 0.25
	minExpectedServed = 40
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

// newCallerGroup starts the usual callers, and as many clients whose requests must not be
// served.
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

func (g *callerGroup) start(c *caller) {
	c.env, c.balancer = g.env, g.balancer
	g.group.Go(c.name, c.run)
}

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
	random := rand.New(rand.NewPCG(f.env.options.Seed, 5))
	f.add(time.Duration(random.Int64N(int64(length))), "a burst of requests", f.callers.startBurst)
	if pauseLength > 0 {
		f.add(length+time.Duration(random.Int64N(int64(pauseLength))), "a burst of requests", f.callers.startBurst)
	}
}

// burstShare is how many calls were made in a burst, and how many of them were served.
type burstShare struct{ calls, served int }

// burstShares returns the shares of all calls in a burst, under "", and of each kind and
// customer. A call is served if one of its attempts is. Those that their callers ended do not
// count.
func (r *records) burstShares(burst *change) map[string]burstShare {
	// served says for each call, by its id, whether it was served.
	served, groups := map[string]bool{}, map[string][]string{}
	for attempt, sent := range r.requests {
		a := r.answers[attempt]
		if sent.sentAt.Before(burst.from) || sent.sentAt.After(burst.to) || a.left {
			continue
		}
		call, _, _ := strings.Cut(attempt, ".")
		served[call] = served[call] || a.status == http.StatusOK
		groups[call] = []string{"", sent.kind.String(), sent.customer}
	}
	shares := map[string]burstShare{}
	for call, ok := range served {
		for _, name := range groups[call] {
			s := shares[name]
			s.calls++
			if ok {
				s.served++
			}
			shares[name] = s
		}
	}
	return shares
}

// shares verifies that no kind of request and no customer starved in a burst without other
// faults.
func (v *verification) shares() {
	for i := range v.changes {
		if v.changes[i].category != "burst" {
			continue
		}
		shares := v.burstShares(&v.changes[i])
		all := shares[""]
		for _, name := range slices.Sorted(maps.Keys(shares)) {
			s := shares[name]
			expected := float64(s.calls) * float64(all.served) / float64(all.calls)
			if expected >= minExpectedServed && float64(s.served) < starvedShare*expected {
				v.violations = append(v.violations, fmt.Sprintf("STARVED: %s was served %d of %d times in a burst, all requests %d of %d times",
					name, s.served, s.calls, all.served, all.calls))
			}
		}
	}
}
