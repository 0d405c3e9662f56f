// Package retry decides whether a call may be retried. It contains budgets that
// limit retries and a guard against requests that crash their upstreams. The
// core is pure: it has no clock and starts no goroutine.
package retry

import "rattanspur.example/lib/fleet"

const (
	// tokensPerSuccess is what one success adds to a budget: retries may reach
	// 10 % of successes.
	tokensPerSuccess = 0.1
	// budgetCapacity is the largest number of retries in a budget. It covers the
	// repeatable calls in flight at a replica that dies, so that they can all be
	// sent elsewhere at once.
	budgetCapacity = 64
)

// Budgets holds a token bucket for each customer and upstream of an entry.
type Budgets struct {
	customers map[fleet.Customer]*bucket
	upstreams map[fleet.InstanceID]*bucket
}

// bucket is a token bucket; each token allows one retry.
type bucket struct{ tokens float64 }

// NewBudgets returns budgets in which every bucket starts full.
func NewBudgets() *Budgets {
	return &Budgets{customers: map[fleet.Customer]*bucket{}, upstreams: map[fleet.InstanceID]*bucket{}}
}

// Succeeded adds to the budgets of a customer and of the upstream that responded.
func (b *Budgets) Succeeded(c fleet.Customer, upstream fleet.InstanceID) {
	bucketOf(b.customers, c).add()
	bucketOf(b.upstreams, upstream).add()
}

// Spend takes one retry from the budgets of a customer and of the upstream
// that failed. It returns false, and takes nothing, if either has none left.
func (b *Budgets) Spend(c fleet.Customer, failed fleet.InstanceID) bool {
	customer, upstream := bucketOf(b.customers, c), bucketOf(b.upstreams, failed)
	if customer.tokens < 1 || upstream.tokens < 1 {
		return false
	}
	customer.tokens--
	upstream.tokens--
	return true
}

// Retain removes the customers and upstreams for which the functions return
// false.
func (b *Budgets) Retain(customer func(fleet.Customer) bool, upstream func(fleet.InstanceID) bool) {
	for c := range b.customers {
		if !customer(c) {
			delete(b.customers, c)
		}
	}
	for u := range b.upstreams {
		if !upstream(u) {
			delete(b.upstreams, u)
		}
	}
}

func (b *bucket) add() { b.tokens = min(b.tokens+tokensPerSuccess, budgetCapacity) }

// bucketOf returns the bucket of a key; a missing one is created full.
func bucketOf[K comparable](m map[K]*bucket, key K) *bucket {
	b := m[key]
	if b == nil {
		b = &bucket{tokens: budgetCapacity}
		m[key] = b
	}
	return b
}
