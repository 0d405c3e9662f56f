package entry

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/settings"
)

const (
	// queueInterval is the time between two checks of the queues while calls
	// wait. The end of a call triggers a check at once; the interval is for
	// deadlines and expired load reports.
	queueInterval = 20 * time.Millisecond
	// bytesPerCost is the body size that adds 1 to the cost of a call.
	bytesPerCost = 16 << 10
	// maxCost is the maximum cost of a call.
	maxCost = 16
)

// queueKey identifies the queue of a call. Calls with the same key wait for the
// same upstreams.
type queueKey struct {
	service fleet.Service
	// profile is set for calls that request a profile, so that they do not block
	// calls that any version of the service may serve.
	profile fleet.ProfileName
	// exclusive is true for calls that must run alone on a replica.
	exclusive bool
}

// callQueues holds the queues of waiting calls. It is owned by the router.
type callQueues struct {
	limits admission.Limits
	byKey  map[queueKey]*admission.Queue[attempt]
}

func newCallQueues(s *settings.Entry) callQueues {
	return callQueues{
		limits: admission.Limits{PerCustomer: s.MaxQueuedCustomerCalls, Total: s.MaxQueuedCalls},
		byKey:  map[queueKey]*admission.Queue[attempt]{},
	}
}

func (q *callQueues) get(key queueKey) *admission.Queue[attempt] {
	queue := q.byKey[key]
	if queue == nil {
		queue = admission.New[attempt](q.limits)
		q.byKey[key] = queue
	}
	return queue
}

// length returns the number of waiting calls.
func (q *callQueues) length() int {
	n := 0
	for _, queue := range q.byKey {
		n += queue.Len()
	}
	return n
}

func (r *router) queueKeyOf(a *attempt) queueKey {
	key := queueKey{service: a.target.Service.Name}
	if a.target.ProfileRequested {
		key.profile = a.target.Profile.Name
	}
	key.exclusive = r.isSuspected(a.call)
	return key
}

func queueItem(a attempt) admission.Item[attempt] {
	deadline := a.queueDeadline
	if d, ok := a.call.ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	return admission.Item[attempt]{
		Customer: a.customer.Name,
		Weight:   a.customer.Weight,
		Priority: a.customer.Priority,
		Cost:     min(1+len(a.call.body)/bytesPerCost, maxCost),
		Deadline: deadline,
		Value:    a,
	}
}

// admit sends a new call immediately if no other call waits in its queue and an
// upstream has capacity. Otherwise it queues the call, or refuses it if it cannot
// be queued.
func (r *router) admit(ctx context.Context, a attempt) {
	now := time.Now()
	q := r.queues.get(r.queueKeyOf(&a))
	if q.Len() == 0 && r.trySend(ctx, a) {
		return
	}
	reason := q.Push(now, queueItem(a))
	if reason == admission.CustomerFull || reason == admission.QueueFull {
		// Calls whose callers have disconnected free capacity in the queue.
		r.expire(ctx)
		reason = q.Push(now, queueItem(a))
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

// requeue queues a call that was already sent, ahead of newer calls of its
// customer. The upstreams that the call has tried become eligible again.
func (r *router) requeue(ctx context.Context, a attempt) {
	now := time.Now()
	a.tried = nil
	q := r.queues.get(r.queueKeyOf(&a))
	item := queueItem(a)
	if a.call.ctx.Err() != nil || !now.Before(item.Deadline) {
		r.giveUp(ctx, a, "no upstream had room in time", q.RetryAfter())
		return
	}
	q.PutBack(item)
}

// drain sends waiting calls while upstreams have capacity. Hedges of calls whose upstreams
// are silent come before calls that were not sent yet.
func (r *router) drain(ctx context.Context) {
	r.hedgeSilent(ctx)
	now := time.Now()
	for key, q := range r.queues.byKey {
		for item := q.Peek(); item != nil && r.sendQueued(ctx, key, item.Value); item = q.Peek() {
			q.Take(now)
		}
		if q.Len() > 0 {
			continue
		}
		if key.exclusive {
			r.table.Release(key.service)
		}
		delete(r.queues.byKey, key)
	}
}

// sendQueued sends a waiting call, drops it if its context has ended or if it must
// not run any more, or moves it to another queue. It returns false if the call must
// continue to wait.
func (r *router) sendQueued(ctx context.Context, key queueKey, a attempt) bool {
	if a.call.ctx.Err() != nil {
		r.giveUp(ctx, a, "the call ended while it waited", retryAfter)
		return true
	}
	return r.blockIfConvicted(ctx, a) || r.refuseTooLate(ctx, a) || r.moveQueued(key, a) || r.trySend(ctx, a)
}

// expire responds to waiting calls whose deadline has passed, whose caller has
// disconnected or that cannot end before this process does, and removes them.
func (r *router) expire(ctx context.Context) {
	now := time.Now()
	for _, q := range r.queues.byKey {
		after := q.RetryAfter()
		abandoned := func(a attempt) bool { return a.call.ctx.Err() != nil || r.isTooLate(now, &a) }
		for _, item := range q.Expire(now, abandoned) {
			detail := "no upstream had room in time"
			if r.isTooLate(now, &item.Value) {
				detail = stoppingDetail
			}
			r.giveUp(ctx, item.Value, detail, after)
		}
	}
}
