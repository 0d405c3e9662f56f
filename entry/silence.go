package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/routing"
)

// maxSilence is how long an attempt may be silent before its response begins, as a
// multiple of the timeout after which it goes on elsewhere as soon as it can.
const maxSilence = 2

// errMoved ends a silent attempt whose call goes on at another upstream.
var errMoved = errors.New("upstream is silent and the call goes on at another one")

// attemptSilent reports that an attempt was silent for a timeout and that no byte of
// a response has been passed on.
type attemptSilent struct{ attempt attempt }

// attemptResumed reports that the response to a silent attempt arrived. The reply is
// false if the call goes on elsewhere, so that the response must not be passed on.
type attemptResumed struct {
	attempt attempt
	reply   *ring.Ring[bool]
}

func (attemptSilent) event()  {}
func (attemptResumed) event() {}

// silentCalls holds the calls whose attempts are silent, by request ID. It is owned by
// the router.
type silentCalls struct {
	// waiting are those for which no other upstream has capacity.
	waiting map[string]attempt
	// moving are those whose attempts were ended, with their next upstreams, at which
	// they are counted.
	moving map[string]routing.Choice
}

func newSilentCalls() silentCalls {
	return silentCalls{waiting: map[string]attempt{}, moving: map[string]routing.Choice{}}
}

// move ends a silent attempt if its call may be sent again and another upstream has
// capacity for it. Otherwise the attempt goes on: its upstream may go on too.
func (r *router) move(a attempt) {
	action := retry.Decide(retry.Attempt{
		End: retry.Stalled, Failures: a.failures + 1, Placements: a.placements + 1,
		Once: a.meta.Once || r.isSuspected(a.call),
	}, func() bool { return true })
	now := time.Now()
	if action != retry.Resend || a.call.ctx.Err() != nil || r.isTooLate(now, &a) || r.decide(a.call).Verdict == poison.Blocked {
		return
	}
	a.tried = append(a.tried[:len(a.tried):len(a.tried)], a.upstream.ID)
	choice, ok := r.pick(now, &a, rand.IntN)
	if !ok {
		return
	}
	if !r.budgets.Spend(a.meta.Customer, a.upstream.ID) {
		r.table.Done(choice.Instance.ID)
		return
	}
	delete(r.silent.waiting, a.call.id)
	r.silent.moving[a.call.id] = choice
	a.end(errMoved)
}

// moveSilent ends the silent attempts whose calls can go on elsewhere.
func (r *router) moveSilent() {
	for _, a := range r.silent.waiting {
		r.move(a)
	}
}

// handleResumed replies whether the response to a silent attempt may be passed on.
func (r *router) handleResumed(ctx context.Context, ev attemptResumed) {
	_, moving := r.silent.moving[ev.attempt.call.id]
	delete(r.silent.waiting, ev.attempt.call.id)
	_ = ev.reply.Put(ctx, !moving)
}

// takeMove returns where the call of an attempt that ended goes on. If the attempt
// ended for another reason than the move, the place is given up and ok is false.
func (r *router) takeMove(a attempt, res result) (choice routing.Choice, ok bool) {
	delete(r.silent.waiting, a.call.id)
	choice, ok = r.silent.moving[a.call.id]
	delete(r.silent.moving, a.call.id)
	if ok && (res.end != retry.Stalled || a.call.ctx.Err() != nil) {
		r.table.Done(choice.Instance.ID)
		ok = false
	}
	return choice, ok
}

// The states of an exchange. Silence and the begin of a response exclude each other:
// whichever comes first decides whether the router has to be asked.
const (
	// exchangeOpen means that no byte was passed on and no timeout has passed.
	exchangeOpen int32 = iota
	// exchangeSilent means that the first timeout for silence has passed.
	exchangeSilent
	// exchangeBegun means that bytes are passed on, or that the exchange is over.
	exchangeBegun
)

// watchSilence is called when an attempt has been silent for a timeout. At the first
// time the router looks for another upstream, and the attempt goes on meanwhile. At
// the second time callers bear no more, and the attempt ends. Once bytes were passed
// on, the call cannot go on elsewhere, and the attempt ends at once.
func (x *exchange) watchSilence(ctx context.Context, end context.CancelCauseFunc) {
	if !x.state.CompareAndSwap(exchangeOpen, exchangeSilent) {
		end(errStalled)
		return
	}
	x.watchdog.Reset((maxSilence - 1) * x.timeout())
	_ = x.entry.inbox.Put(ctx, attemptSilent{attempt: x.attempt})
	close(x.announced)
}

// endWatch stops the watchdog. If the router was told of a silence, it has the message
// when endWatch returns, before it hears of the end of the attempt.
func (x *exchange) endWatch() {
	x.watchdog.Stop()
	if !x.state.CompareAndSwap(exchangeOpen, exchangeBegun) && x.state.Load() == exchangeSilent {
		<-x.announced
	}
}

// timeout returns the timeout for silence in the present part of the exchange.
func (x *exchange) timeout() time.Duration {
	if x.headReceived.Load() {
		return x.entry.settings.ProgressTimeout
	}
	return x.entry.settings.FirstByteTimeout
}

// mayPassOn reports whether a response that arrived may be passed on. After a silence
// the router may have sent the call elsewhere.
func (x *exchange) mayPassOn(ctx context.Context) bool {
	if x.state.CompareAndSwap(exchangeOpen, exchangeBegun) {
		return true
	}
	<-x.announced
	ev := attemptResumed{attempt: x.attempt, reply: ring.New[bool](1, ring.Refuse)}
	if x.entry.inbox.Put(ctx, ev) != nil {
		return false
	}
	may, err := ev.reply.Take(ctx)
	x.state.Store(exchangeBegun)
	return err == nil && may
}
