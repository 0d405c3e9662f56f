// Package admission queues waiting calls. Customers share the service in
// proportion to their weights, and the calls of one customer are ordered by
// priority. The core is pure: it has no clock and starts no goroutine.
package admission

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// quantum is the cost credited to a customer of weight 1 in each round.
const quantum = 1

// Reason is the reason why a call was not queued.
type Reason string

// The results of Push. Queued means that the call was queued.
const (
	Queued       Reason = ""
	CustomerFull Reason = "the customer has as many calls waiting as it may"
	QueueFull    Reason = "as many calls wait as the queue holds"
	PastDeadline Reason = "the deadline passed"
)

// Bounds of the result of RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Limits bound the length of a queue.
type Limits struct {
	// PerCustomer and Total are the largest numbers of waiting calls of one
	// customer and of all customers.
	PerCustomer int
	Total       int
}

// Item is a waiting call.
type Item[T any] struct {
	Customer fleet.Customer
	// Weight is the customer's relative share; values below 1 count as 1.
	Weight int
	// Priority orders the calls of one customer; the greatest goes first.
	Priority int
	// Cost is the estimated work of the call in units that the user of the
	// queue chooses; values below 1 count as 1.
	Cost     int
	Deadline time.Time
	Value    T

	// sequence numbers the calls in the order of their arrival.
	sequence uint64
}

// Queue is a deficit round robin queue over customers. It is not safe for
// concurrent use: the goroutine of one duty owns it.
type Queue[T any] struct {
	limits Limits
	// flows holds the customers with waiting calls, active their round robin
	// order, and next the position of the round in active.
	flows        map[fleet.Customer]*flow[T]
	active       []*flow[T]
	next         int
	length       int
	arrivals     uint64
	takeInterval intervalAverage
}

// flow holds the waiting calls of one customer.
type flow[T any] struct {
	customer fleet.Customer
	weight   int
	deficit  int
	// credited is set once the flow got its quantum in the current round.
	credited bool
	waiting  []Item[T]
}

// New returns an empty queue.
func New[T any](l Limits) *Queue[T] {
	return &Queue[T]{limits: l, flows: map[fleet.Customer]*flow[T]{}}
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.length }

// Check returns what Push would return for a call, and does not add it.
func (q *Queue[T]) Check(now time.Time, it *Item[T]) Reason {
	if !now.Before(it.Deadline) {
		return PastDeadline
	}
	if f := q.flows[it.Customer]; f != nil && len(f.waiting) >= q.limits.PerCustomer {
		return CustomerFull
	}
	if q.length >= q.limits.Total && !q.mayExceedTotal(it.Customer) {
		return QueueFull
	}
	return Queued
}

// Push adds a call behind the calls of the same customer and priority. It returns
// Queued, or the reason why the call was not added.
func (q *Queue[T]) Push(now time.Time, it Item[T]) Reason {
	if reason := q.Check(now, &it); reason != Queued {
		return reason
	}
	q.arrivals++
	it.sequence = q.arrivals
	q.insert(it)
	return Queued
}

// Ahead estimates how many waiting calls are taken before a call of a customer with a
// priority: those of that customer which go before it, and as many of each other one.
func (q *Queue[T]) Ahead(c fleet.Customer, priority int) int {
	own := 0
	if f := q.flows[c]; f != nil {
		for i := range f.waiting {
			if f.waiting[i].Priority < priority {
				break
			}
			own++
		}
	}
	ahead := own
	for _, f := range q.active {
		if f.customer != c {
			ahead += min(len(f.waiting), own+1)
		}
	}
	return ahead
}

// PutBack puts back a call that was taken but could not be sent. The call keeps
// its position, its cost is credited to its customer again, and limits do not
// apply.
func (q *Queue[T]) PutBack(it Item[T]) {
	q.insert(it)
	q.flows[it.Customer].deficit += it.cost()
}

// insert adds a call to its customer's flow in the order of before.
func (q *Queue[T]) insert(it Item[T]) {
	f := q.flows[it.Customer]
	if f == nil {
		f = &flow[T]{customer: it.Customer}
		q.flows[it.Customer] = f
		q.active = append(q.active, f)
	}
	f.weight = max(it.Weight, 1)
	at := len(f.waiting)
	for at > 0 && it.before(&f.waiting[at-1]) {
		at--
	}
	f.waiting = append(f.waiting, it)
	copy(f.waiting[at+1:], f.waiting[at:])
	f.waiting[at] = it
	q.length++
}

// before reports whether the item goes before another one of its customer.
func (it *Item[T]) before(o *Item[T]) bool {
	if it.Priority != o.Priority {
		return it.Priority > o.Priority
	}
	return it.sequence < o.sequence
}

func (it *Item[T]) cost() int { return max(it.Cost, 1) }

// mayExceedTotal reports whether a full queue accepts one more call of a
// customer. The calls of others never keep out a customer that has no call
// waiting. The queue exceeds its total by at most one call per such customer.
func (q *Queue[T]) mayExceedTotal(c fleet.Customer) bool { return q.flows[c] == nil }

// Peek returns the call that Take would remove, or nil if none waits.
func (q *Queue[T]) Peek() *Item[T] {
	f := q.nextFlow()
	if f == nil {
		return nil
	}
	return &f.waiting[0]
}

// Take removes and returns the next call, or returns false if none waits. It does
// not check deadlines; call Expire first.
func (q *Queue[T]) Take(now time.Time) (Item[T], bool) {
	f := q.nextFlow()
	if f == nil {
		return Item[T]{}, false
	}
	it := f.waiting[0]
	f.deficit -= it.cost()
	q.removeAt(f, 0)
	q.takeInterval.record(now)
	return it, true
}

// nextFlow advances the round to the customer whose first call may be taken and
// returns its flow, or nil if no call waits.
func (q *Queue[T]) nextFlow() *flow[T] {
	for q.length > 0 {
		q.next %= len(q.active)
		f := q.active[q.next]
		if !f.credited {
			f.credited = true
			f.deficit += f.weight * quantum
		}
		if f.waiting[0].cost() <= f.deficit {
			return f
		}
		f.credited = false
		q.next++
	}
	return nil
}

func (q *Queue[T]) removeAt(f *flow[T], i int) {
	copy(f.waiting[i:], f.waiting[i+1:])
	f.waiting[len(f.waiting)-1] = Item[T]{}
	f.waiting = f.waiting[:len(f.waiting)-1]
	q.length--
	if len(f.waiting) == 0 {
		q.removeFlow(f)
	}
}

// removeFlow removes the flow of a customer that has no call waiting, including
// its deficit: unused credit is not kept for later.
func (q *Queue[T]) removeFlow(f *flow[T]) {
	delete(q.flows, f.customer)
	for i, other := range q.active {
		if other != f {
			continue
		}
		q.active = append(q.active[:i], q.active[i+1:]...)
		if q.next > i {
			q.next--
		}
		return
	}
}

// Expire removes and returns the calls that are past their deadline or for which
// abandoned returns true.
func (q *Queue[T]) Expire(now time.Time, abandoned func(T) bool) []Item[T] {
	var out []Item[T]
	for _, f := range append([]*flow[T](nil), q.active...) {
		for i := len(f.waiting) - 1; i >= 0; i-- {
			it := f.waiting[i]
			if now.Before(it.Deadline) && !abandoned(it.Value) {
				continue
			}
			out = append(out, it)
			q.removeAt(f, i)
		}
	}
	return out
}

// RetryAfter estimates after what delay a rejected call would be served: the
// number of waiting calls times the mean interval between the last calls taken,
// bounded by minRetryAfter and maxRetryAfter.
func (q *Queue[T]) RetryAfter() time.Duration {
	return min(max(q.takeInterval.mean*time.Duration(q.length), minRetryAfter), maxRetryAfter)
}

// intervalAverage is a moving average of the time between events.
type intervalAverage struct {
	last time.Time
	mean time.Duration
}

// intervalDivisor is the reciprocal of the weight of the newest interval in the
// average.
const intervalDivisor = 8

func (a *intervalAverage) record(now time.Time) {
	if !a.last.IsZero() {
		a.mean += (now.Sub(a.last) - a.mean) / intervalDivisor
	}
	a.last = now
}
