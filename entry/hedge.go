package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
)

const (
	// maxHedges bounds the hedges of one call, so that one which no upstream accepts does
	// not use up the retries of others.
	maxHedges = 4
	// hedgeRefusalPause is how long an upstream that refused a hedge of a call gets no
	// other hedge of it. Load reports are as old as this at most.
	hedgeRefusalPause = time.Second
)

// errOvertaken ends a silent attempt because a hedge got its response first.
var errOvertaken = errors.New("upstream is silent and another one has responded")

// errHedgeUnneeded ends a hedge because the silent attempt got its response first.
var errHedgeUnneeded = errors.New("the silent upstream has responded first")

// attemptSilent reports that an attempt was silent for a timeout and that no byte of
// a response has been passed on.
type attemptSilent struct{ attempt attempt }

// responseArrived reports that the response to a silent attempt or to a hedge arrived. The
// reply is false if another attempt of the call got its response before, so that this one
// must not be passed on.
type responseArrived struct {
	attempt attempt
	reply   *ring.Ring[bool]
}

func (attemptSilent) event()   {}
func (responseArrived) event() {}

// silentCall is a call with an attempt that was silent, and at most one hedge beside it.
// The attempts stay in progress until one of them gets its response, or ends by itself.
type silentCall struct {
	// first is the attempt that was silent, or the hedge that took its place after it
	// ended. hedge is the attempt beside it; nil if there is none.
	first, hedge *silentAttempt
	// lastNumber is the number of the last attempt of the call.
	lastNumber int
	// hedges counts the hedges of the call.
	hedges int
	// ends are those of the attempts that ended while another one was in progress.
	ends []attemptEnd
	// refusals tells when upstreams refused hedges of the call.
	refusals map[fleet.InstanceID]time.Time
	// passing is the number of the attempt whose response is passed on; 0 if there is
	// none yet.
	passing int
}

// silentAttempt is an attempt of a silentCall.
type silentAttempt struct {
	attempt
	silent bool
}

// silentCalls holds the calls with silent attempts by request ID. It is owned by the
// router.
type silentCalls map[string]*silentCall

// silence records that an attempt is silent.
func (c silentCalls) silence(a *attempt) {
	s := c[a.call.id]
	if s == nil {
		c[a.call.id] = &silentCall{
			first: &silentAttempt{attempt: *a, silent: true}, lastNumber: a.meta.Attempt,
			refusals: map[fleet.InstanceID]time.Time{},
		}
		return
	}
	if open, _ := s.find(a.meta.Attempt); open != nil {
		open.silent = true
	}
}

// pass reports whether the response to an attempt may be passed on. If it may, the other
// attempt of the call is ended.
func (c silentCalls) pass(a *attempt) bool {
	s := c[a.call.id]
	if s == nil {
		return true
	}
	if s.passing != 0 {
		return s.passing == a.meta.Attempt
	}
	s.passing = a.meta.Attempt
	switch _, other := s.find(a.meta.Attempt); other {
	case nil:
		delete(c, a.call.id)
	case s.hedge:
		other.end(errHedgeUnneeded)
	default:
		other.end(errOvertaken)
	}
	return true
}

// ended records the end of an attempt. It returns false if another attempt of the call
// is in progress or was passed on; otherwise the attempt stands for all attempts of the
// call.
func (c silentCalls) ended(now time.Time, a *attempt, end retry.End) bool {
	s := c[a.call.id]
	if s == nil {
		return true
	}
	_, other := s.find(a.meta.Attempt)
	s.first, s.hedge = other, nil
	if other == nil {
		delete(c, a.call.id)
	}
	switch {
	case s.passing == a.meta.Attempt:
		return true
	case s.passing != 0:
		// The one that was passed on needs no record any more.
		delete(c, a.call.id)
		return false
	case other == nil:
		s.standFor(a)
		return true
	}
	s.ends = append(s.ends, attemptEnd{end, a.upstream.ID})
	if end.NotRun() {
		s.refusals[a.upstream.ID] = now
	}
	return false
}

// standFor gives an attempt the history of all attempts of the call.
func (s *silentCall) standFor(a *attempt) {
	for _, e := range s.ends {
		a.count(e)
	}
	a.meta.Attempt, a.hedge = s.lastNumber, false
}

// find returns the attempt with a number and the one beside it; nil stands for none.
func (s *silentCall) find(number int) (found, other *silentAttempt) {
	found, other = s.first, s.hedge
	if found.meta.Attempt != number {
		found, other = other, found
	}
	return found, other
}

// awaitsHedge reports whether a hedge of the call may begin.
func (s *silentCall) awaitsHedge() bool {
	return s.first.silent && s.hedge == nil && s.passing == 0 && s.hedges < maxHedges
}

// nextHedge returns the hedge that may follow, with the history that the call has if the
// silent attempt fails.
func (s *silentCall) nextHedge(now time.Time) attempt {
	a := s.first.attempt
	s.standFor(&a)
	a.count(attemptEnd{retry.Stalled, a.upstream.ID})
	for id, at := range s.refusals {
		if now.Sub(at) < hedgeRefusalPause {
			a.tried = append(slices.Clip(a.tried), id)
		}
	}
	return a
}

// uncertain returns the upstreams that have a hedge without a response and have reported
// no load for a while. Whether they accept another one is a guess, and a refused hedge
// costs a retry.
func (r *router) uncertain(now time.Time) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, s := range r.silent {
		if s.hedge != nil && s.passing == 0 && !r.table.KnowsLoad(now, s.hedge.upstream.ID) {
			ids = append(ids, s.hedge.upstream.ID)
		}
	}
	return ids
}

// hedgeSilent begins hedges of the calls whose attempts are silent, as far as upstreams
// have capacity.
func (r *router) hedgeSilent(ctx context.Context) {
	now := time.Now()
	uncertain := r.uncertain(now)
	for _, s := range r.silent {
		if s.awaitsHedge() && r.hedge(ctx, now, s, uncertain) && !r.table.KnowsLoad(now, s.hedge.upstream.ID) {
			uncertain = append(uncertain, s.hedge.upstream.ID)
		}
	}
}

// hedge sends a call with a silent attempt to another upstream as well, if it may run
// again and one has capacity, except those excluded. The silent attempt goes on: that the
// other upstream accepts the call is an estimate. It returns false if no hedge began.
func (r *router) hedge(ctx context.Context, now time.Time, s *silentCall, excluded []fleet.InstanceID) bool {
	next := s.nextHedge(now)
	if !r.mayHedge(now, &next) {
		return false
	}
	next.tried = append(slices.Clip(next.tried), excluded...)
	choice, ok := r.pick(now, &next, rand.IntN)
	if !ok {
		return false
	}
	if !r.budgets.Spend(next.meta.Customer, s.first.upstream.ID) {
		r.table.Done(choice.Instance.ID)
		return false
	}
	// A hedge has the history of the silent attempt. The end of the one that ends first is
	// added to the other.
	hedge := s.first.attempt
	hedge.hedge, hedge.target = true, next.target
	hedge.queueDeadline = hedge.queueDeadline.Add(now.Sub(hedge.startedAt))
	hedge.meta.Attempt = s.lastNumber
	if hedge, ok = r.sendTo(ctx, now, hedge, choice); !ok {
		return false
	}
	r.entry.metrics.retries.Inc()
	r.entry.metrics.hedges.Inc()
	s.hedge = &silentAttempt{attempt: hedge}
	s.lastNumber = hedge.meta.Attempt
	s.hedges++
	return true
}

// mayHedge reports whether a call may be sent beside a silent attempt, if that counts as
// failed.
func (r *router) mayHedge(now time.Time, a *attempt) bool {
	if a.call.ctx.Err() != nil || r.inFlight >= r.entry.settings.MaxCalls || r.isTooLate(now, a) {
		return false
	}
	if r.decide(a.call).Verdict == poison.Blocked {
		return false
	}
	return retry.Decide(retry.Attempt{
		End: retry.Stalled, Failures: a.failures, Placements: a.placements,
		Once: a.meta.Once || r.isSuspected(a.call),
	}, func() bool { return true }) == retry.Resend
}
