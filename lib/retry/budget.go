// Package retry decides whether a call may be tried again. The core is pure.
package retry

import "rattanspur.example/lib/fleet"

const (
	// successShare is what one success adds to a budget: retries may be 10 %
	// of successes.
	successShare = 0.1
	// budgetCapacity bounds a budget. It covers the repeatable calls in flight
	// at one replica that dies, so that they can be sent elsewhere at once.
	budgetCapacity = 64
)

// Budgets are the token buckets of all customers and upstreams of an entry.
type Budgets struct {
	customers map[fleet.Customer]*bucket
	upstreams map[fleet.InstanceID]*bucket
}

// bucket holds the retries that are still allowed.
type bucket struct{ tokens float64 }

// NewBudgets returns budgets that are full for everyone.
func NewBudgets() *Budgets {
	return &Budgets{customers: map[fleet.Customer]*bucket{}, upstreams: map[fleet.InstanceID]*bucket{}}
}

// Succeeded adds to the budgets of a customer and of the upstream that answered.
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

// Retain forgets customers and upstreams for which the functions return false.
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

func (b *bucket) add() { b.tokens = min(b.tokens+successShare, budgetCapacity) }

func bucketOf[K comparable](m map[K]*bucket, key K) *bucket {
	b := m[key]
	if b == nil {
		b = &bucket{tokens: budgetCapacity}
		m[key] = b
	}
	return b
}
