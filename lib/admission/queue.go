// Package admission orders waiting calls fairly by customer and priority. The
// core is pure: it has no clock and starts no goroutine.
package admission

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// quantum is the cost that a customer of weight 1 may spend in one round.
const quantum = 1

// Reason says why a call was not queued.
type Reason string

// The reasons of a refusal.
const (
	Queued       Reason = ""
	CustomerFull Reason = "the customer has as many calls waiting as it may"
	QueueFull    Reason = "as many calls wait as the queue holds"
	PastDeadline Reason = "the deadline passed"
)

// Bounds of what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Limits bound a queue.
type Limits struct {
	// PerCustomer and Total are numbers of waiting calls.
	PerCustomer int
	Total       int
}

// Item is a waiting call.
type Item[T any] struct {
	Customer fleet.Customer
	// Weight is the customer's share; values below 1 count as 1.
	Weight int
	// Priority orders the calls of one customer; greater goes first.
	Priority int
	// Cost is the estimated work of the call; values below 1 count as 1.
	Cost     int
	Deadline time.Time
	Value    T

	arrived uint64
}

// Queue is a deficit round robin over customers. It is owned by one duty.
type Queue[T any] struct {
	limits  Limits
	flows   map[fleet.Customer]*flow[T]
	active  []*flow[T]
	next    int
	length  int
	counter uint64
	pace    pace
}

// flow holds the waiting calls of one customer.
type flow[T any] struct {
	customer fleet.Customer
	weight   int
	deficit  int
	// visited says that the flow got its quantum in the present round.
	visited bool
	waiting []Item[T]
}

// New returns an empty queue.
func New[T any](l Limits) *Queue[T] {
	return &Queue[T]{limits: l, flows: map[fleet.Customer]*flow[T]{}}
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a call behind the calls of the same customer and priority.
func (q *Queue[T]) Push(now time.Time, it Item[T]) Reason {
	if !now.Before(it.Deadline) {
		return PastDeadline
	}
	if f := q.flows[it.Customer]; f != nil && len(f.waiting) >= q.limits.PerCustomer {
		return CustomerFull
	}
	if q.length >= q.limits.Total && !q.makeRoom(it.Customer) {
		return QueueFull
	}
	q.counter++
	it.arrived = q.counter
	q.insert(it)
	return Queued
}

// Return puts back a call that was taken but could not be placed. It keeps its
// place and its customer gets the cost back, so limits do not apply.
func (q *Queue[T]) Return(it Item[T]) {
	q.insert(it)
	q.flows[it.Customer].deficit += it.cost()
}

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

func (it *Item[T]) before(o *Item[T]) bool {
	if it.Priority != o.Priority {
		return it.Priority > o.Priority
	}
	return it.arrived < o.arrived
}

func (it *Item[T]) cost() int { return max(it.Cost, 1) }

// makeRoom reports whether a full queue may take one more call of a customer.
// A customer with nothing waiting is never shut out by the calls of others;
// the queue exceeds its total by at most one call for each such customer.
func (q *Queue[T]) makeRoom(c fleet.Customer) bool { return q.flows[c] == nil }

// Peek returns the call that Take would remove, or nil if none waits.
func (q *Queue[T]) Peek() *Item[T] {
	f := q.head()
	if f == nil {
		return nil
	}
	return &f.waiting[0]
}

// Take removes the call that is next. It also returns calls past their
// deadline; Expire must be called before.
func (q *Queue[T]) Take(now time.Time) (Item[T], bool) {
	f := q.head()
	if f == nil {
		return Item[T]{}, false
	}
	it := f.waiting[0]
	f.deficit -= it.cost()
	q.removeAt(f, 0)
	q.pace.taken(now)
	return it, true
}

// head advances the round to the customer whose first call may be taken.
func (q *Queue[T]) head() *flow[T] {
	for q.length > 0 {
		q.next %= len(q.active)
		f := q.active[q.next]
		if !f.visited {
			f.visited = true
			f.deficit += f.weight * quantum
		}
		if f.waiting[0].cost() <= f.deficit {
			return f
		}
		f.visited = false
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
		q.drop(f)
	}
}

// drop forgets a customer with nothing waiting, including its deficit: credit
// is not saved for later.
func (q *Queue[T]) drop(f *flow[T]) {
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

// Expire removes and returns the calls that are past their deadline or that
// gone reports as abandoned.
func (q *Queue[T]) Expire(now time.Time, gone func(T) bool) []Item[T] {
	var out []Item[T]
	for _, f := range append([]*flow[T](nil), q.active...) {
		for i := len(f.waiting) - 1; i >= 0; i-- {
			it := f.waiting[i]
			if now.Before(it.Deadline) && !gone(it.Value) {
				continue
			}
			out = append(out, it)
			q.removeAt(f, i)
		}
	}
	return out
}

// RetryAfter estimates when a refused call would be served: the time that the
// waiting calls take at the pace of the last calls taken.
func (q *Queue[T]) RetryAfter() time.Duration {
	return min(max(q.pace.interval*time.Duration(q.length), minRetryAfter), maxRetryAfter)
}

// pace is a moving average of the time between two calls taken.
type pace struct {
	last     time.Time
	interval time.Duration
}

// paceShare is the weight of the newest interval, as a divisor.
const paceShare = 8

func (p *pace) taken(now time.Time) {
	if !p.last.IsZero() {
		p.interval += (now.Sub(p.last) - p.interval) / paceShare
	}
	p.last = now
}
