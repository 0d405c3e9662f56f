package dispatch

import (
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

const (
	// streamWait is the part of a stream's goal that a request may wait for
	// room; the rest is the time to its first event.
	streamWait = 0.3
	// plainWait is that part of the time to the deadline for other requests.
	plainWait = 0.5
	// backWait is that part for a stream whose caller comes back: its goal is
	// over.
	backWait = 0.1
	// promptCost and answerCost are the tokens that count as one unit of work.
	promptCost = 1024
	answerCost = 128
	// retryShare is the part of the time left after which a refused caller is
	// asked to come back; callers wait for a third of it at most.
	retryShare = 0.3
	// retryLeast is the shortest time that is named.
	retryLeast = 100 * time.Millisecond
)

// enqueue lets a request wait for room, or refuses it at once if none can be
// had in time.
func (c *Core) enqueue(now time.Time, s *service, r *request) []Action {
	until := c.waitUntil(now, r)
	if !c.reachable(now, s, r) {
		return c.giveUp(now, r, "no upstream can serve the request")
	}
	l := s.lanesOf(r)
	q := l[r.lane()]
	if q == nil {
		q = admission.New[*request](admission.Limits{PerCustomer: queueCustomer, Total: queueTotal})
		l[r.lane()] = q
	}
	reason := q.Push(now, admission.Item[*request]{
		Customer: r.customerName(),
		Priority: c.priority(r, until),
		Cost:     1 + r.Prompt/promptCost + r.Answer/answerCost,
		Deadline: until,
		Value:    r,
	})
	if reason != admission.Queued {
		return c.giveUp(now, r, string(reason))
	}
	return c.drain(now)
}

// lanesOf returns the queues that a request belongs to.
func (s *service) lanesOf(r *request) lanes {
	if r.returning && r.route.Kind == published.Streaming {
		return s.back
	}
	return s.fresh
}

// idle reports whether no request waits that goes before a new one.
func (s *service) idle(r *request) bool {
	if q := s.fresh[r.lane()]; q != nil && q.Len() > 0 {
		return false
	}
	q := s.lanesOf(r)[r.lane()]
	return q == nil || q.Len() == 0
}

// priority orders the waiting requests of one customer: by rank, and then by
// the end of their wait.
func (c *Core) priority(r *request, until time.Time) int {
	return -r.rank()*rankSpan - int(until.Sub(c.begun)/time.Millisecond)
}

// rankSpan is a difference in priority that no wait makes up for.
const rankSpan = 1 << 40

func (c *Core) waitUntil(now time.Time, r *request) time.Time {
	switch {
	case r.route.Kind == published.Streaming && r.returning:
		return now.Add(time.Duration(backWait * float64(r.deadline.Sub(now))))
	case r.route.Kind == published.Streaming:
		return r.arrived.Add(time.Duration(streamWait * float64(r.route.LatencyGoal)))
	}
	return now.Add(time.Duration(plainWait * float64(r.deadline.Sub(now))))
}

// reachable reports whether any upstream may get the request, now or when it
// has room.
func (c *Core) reachable(now time.Time, s *service, r *request) bool {
	if s.published == nil {
		return false
	}
	for _, u := range s.upstreams {
		if c.acceptable(now, s, r, u) {
			return true
		}
	}
	return false
}

// drain sends waiting requests while there is room and refuses those whose
// wait is over.
func (c *Core) drain(now time.Time) []Action {
	var actions []Action
	for _, s := range c.services {
		actions = c.drainLanes(now, s, s.fresh, actions)
		actions = c.drainLanes(now, s, s.back, actions)
	}
	return actions
}

func (c *Core) drainLanes(now time.Time, s *service, l lanes, actions []Action) []Action {
	for name, q := range l {
		actions = c.drainLane(now, s, q, actions)
		if q.Len() == 0 {
			delete(l, name)
		}
	}
	return actions
}

func (c *Core) drainLane(now time.Time, s *service, q *lane, actions []Action) []Action {
	for _, it := range q.Expire(now, c.abandoned) {
		if r := it.Value; !c.abandoned(r) {
			if !r.returning {
				s.refused = now
			}
			actions = append(actions, c.giveUp(now, r, "no upstream had room in time")...)
		}
	}
	for it := q.Peek(); it != nil; it = q.Peek() {
		if fresh := s.fresh[it.Value.lane()]; fresh != nil && fresh != q && fresh.Len() > 0 {
			break
		}
		send, ok := c.try(now, s, it.Value)
		if !ok {
			break
		}
		q.Take(now)
		actions = append(actions, send)
	}
	return actions
}

// abandoned reports whether a waiting request has ended.
func (c *Core) abandoned(r *request) bool { return c.requests[r.ticket] != r }

// giveUp ends a request that gets no answer of an upstream.
func (c *Core) giveUp(now time.Time, r *request, reason string) []Action {
	delete(c.requests, r.ticket)
	out := Refuse{Ticket: r.ticket, Reason: reason}
	left := r.deadline.Sub(now)
	switch {
	case r.ran > 0 && left <= 0:
		out.Verdict = Overdue
	case r.ran > 0:
		out.Verdict = Unknown
	default:
		out.Verdict = NotRun
		out.After = max(time.Duration(retryShare*float64(left)), retryLeast)
	}
	return []Action{out}
}

// End takes in how an attempt ended and returns what follows.
func (c *Core) End(now time.Time, ticket Ticket, e Ended) []Action {
	r := c.requests[ticket]
	if r == nil || r.at == nil {
		return nil
	}
	u := r.at
	r.begin()
	r.at = nil
	u.mine--
	c.learn(now, u, r, e)
	if !e.End.NotRun() {
		r.ran++
	}
	if e.Started && r.version == 0 {
		r.version = e.Version
	}
	actions := c.follow(now, r, u, e)
	return append(actions, c.drain(now)...)
}

// learn updates what is known of an upstream and of the request.
func (c *Core) learn(now time.Time, u *upstream, r *request, e Ended) {
	switch {
	case e.End == retry.Answered && e.Failed:
		u.erred(now)
	case e.End == retry.Answered:
		u.succeeded(e.FirstByte)
		c.guard.Succeeded(now, r.Fingerprint)
	case e.Misdirected:
		u.pause(now, mismatchPause)
	case e.End == retry.Busy || e.End == retry.Refused:
		u.pause(now, fullPause)
	case e.End.Failure():
		u.failed(now)
	}
	if e.End.Crash() {
		c.guard.Crashed(now, r.Fingerprint)
	}
	if e.End.Failure() || e.Failed || e.Misdirected {
		r.tried = append(r.tried, u.ID)
	}
}

// follow decides whether a request is done, is sent again, or is given up.
func (c *Core) follow(now time.Time, r *request, u *upstream, e Ended) []Action {
	s := c.service(now, r.service)
	whole := e.End == retry.Answered && (!e.Failed || !e.Held)
	switch {
	case whole || e.End == retry.CallerLeft:
		delete(c.requests, r.ticket)
		return []Action{Finish{Ticket: r.ticket}}
	case c.mayRepeat(now, s, r, e):
		if send, ok := c.try(now, s, r); ok {
			return []Action{send}
		}
		if e.End.NotRun() && r.ran == 0 {
			return c.enqueue(now, s, r)
		}
	}
	if e.Held {
		delete(c.requests, r.ticket)
		return []Action{Deliver{Ticket: r.ticket}}
	}
	return c.giveUp(now, r, "upstream "+string(u.ID)+" gave no answer: "+e.End.String())
}

// mayRepeat reports whether the request may be sent once more.
func (c *Core) mayRepeat(now time.Time, s *service, r *request, e Ended) bool {
	if !now.Before(r.deadline) {
		return false
	}
	if !e.End.NotRun() && (!r.route.Idempotent() || r.ran >= r.route.MaxAttempts) {
		return false
	}
	if e.Started && e.Resume == "" {
		return false
	}
	if c.guard.Check(now, r.Fingerprint) == retry.Blocked {
		return false
	}
	// An upstream that was not reached has not received the request.
	return e.End == retry.Unreachable || s.budget.Spend(now, c.processes)
}
