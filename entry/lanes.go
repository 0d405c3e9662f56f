package entry

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/settings"
)

const (
	// waitTick is the time between two looks at waiting calls. Calls that end
	// are noticed at once; the tick covers deadlines and expired load reports.
	waitTick = 20 * time.Millisecond
	// costBytes is the size of a body that counts as one more unit of work.
	costBytes = 16 << 10
	// maxCost bounds the cost of one call.
	maxCost = 16
)

// laneKey names calls that wait for the same upstreams.
type laneKey struct {
	service fleet.Service
	// profile is set for calls that name a profile: they must not hold up
	// calls that any version of the service may answer.
	profile fleet.ProfileName
	// alone marks calls that must run alone on a replica.
	alone bool
}

// lanes are the queues of waiting calls. They are owned by the router.
type lanes struct {
	limits admission.Limits
	byKey  map[laneKey]*admission.Queue[attempt]
}

func newLanes(s *settings.Entry) lanes {
	return lanes{
		limits: admission.Limits{PerCustomer: s.MaxQueuedCustomerCalls, Total: s.MaxQueuedCalls},
		byKey:  map[laneKey]*admission.Queue[attempt]{},
	}
}

func (l *lanes) queue(key laneKey) *admission.Queue[attempt] {
	q := l.byKey[key]
	if q == nil {
		q = admission.New[attempt](l.limits)
		l.byKey[key] = q
	}
	return q
}

// length returns the number of waiting calls.
func (l *lanes) length() int {
	n := 0
	for _, q := range l.byKey {
		n += q.Len()
	}
	return n
}

func (r *router) laneOf(now time.Time, a *attempt) laneKey {
	key := laneKey{service: a.target.Service.Name}
	if a.target.ProfileRequested {
		key.profile = a.target.Profile.Name
	}
	key.alone = r.guard.Check(now, a.call.fingerprint) == retry.Suspected
	return key
}

func item(a attempt) admission.Item[attempt] {
	deadline := a.waitUntil
	if d, ok := a.call.ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	return admission.Item[attempt]{
		Customer: a.customer.Name,
		Weight:   a.customer.Weight,
		Priority: a.customer.Priority,
		Cost:     min(1+len(a.call.body)/costBytes, maxCost),
		Deadline: deadline,
		Value:    a,
	}
}

// admit sends a new call at once if none waits before it, and queues it otherwise.
func (r *router) admit(ctx context.Context, a attempt) {
	now := time.Now()
	q := r.lanes.queue(r.laneOf(now, &a))
	if q.Len() == 0 && r.try(ctx, a) {
		return
	}
	reason := q.Push(now, item(a))
	if reason == admission.CustomerFull || reason == admission.QueueFull {
		// Calls whose callers left make room.
		r.expire(ctx)
		reason = q.Push(now, item(a))
	}
	switch reason {
	case admission.Queued:
		r.drain(ctx)
	case admission.CustomerFull:
		r.refuse(ctx, a.call, overload(a.call, http.StatusTooManyRequests, string(reason), q.RetryAfter()))
	default:
		r.refuse(ctx, a.call, overload(a.call, http.StatusServiceUnavailable, string(reason), q.RetryAfter()))
	}
}

// requeue lets a call wait that was sent before. It goes before newer calls of
// its customer, and upstreams that it tried become acceptable again.
func (r *router) requeue(ctx context.Context, a attempt) {
	now := time.Now()
	a.tried = nil
	q := r.lanes.queue(r.laneOf(now, &a))
	it := item(a)
	if a.call.ctx.Err() != nil || !now.Before(it.Deadline) {
		r.giveUp(ctx, a, "no upstream had room in time", q.RetryAfter())
		return
	}
	q.PutBack(it)
}

// drain sends waiting calls while there is room.
func (r *router) drain(ctx context.Context) {
	now := time.Now()
	for key, q := range r.lanes.byKey {
		for it := q.Peek(); it != nil && r.place(ctx, it.Value); it = q.Peek() {
			q.Take(now)
		}
		if q.Len() > 0 {
			continue
		}
		if key.alone {
			r.table.Release(key.service)
		}
		delete(r.lanes.byKey, key)
	}
}

// place sends a waiting call, or drops it if its caller left. It returns false
// if the call must wait on.
func (r *router) place(ctx context.Context, a attempt) bool {
	if a.call.ctx.Err() != nil {
		r.giveUp(ctx, a, "the call ended while it waited", retryAfter)
		return true
	}
	return r.try(ctx, a)
}

// expire answers waiting calls whose time is over.
func (r *router) expire(ctx context.Context) {
	now := time.Now()
	for _, q := range r.lanes.byKey {
		after := q.RetryAfter()
		gone := func(a attempt) bool { return a.call.ctx.Err() != nil }
		for _, it := range q.Expire(now, gone) {
			r.giveUp(ctx, it.Value, "no upstream had room in time", after)
		}
	}
}
