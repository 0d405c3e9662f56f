package entry

import (
	"context"
	"errors"
	"time"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
)

// maxSilence is how long an attempt may be silent before its response begins, as a
// multiple of the timeout after which a hedge may begin.
const maxSilence = 2

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
// time the router looks for an upstream for a hedge, and the attempt goes on. At the
// second time callers bear no more, and the attempt ends. Once bytes were passed on,
// the call cannot go on elsewhere, and the attempt ends at once.
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
// there may be another attempt of the call, and of a hedge there always was one: the
// router lets the first response pass.
func (x *exchange) mayPassOn(ctx context.Context) bool {
	if x.state.CompareAndSwap(exchangeOpen, exchangeBegun) {
		if !x.attempt.hedge {
			return true
		}
	} else {
		<-x.announced
	}
	ev := responseArrived{attempt: x.attempt, reply: ring.New[bool](1, ring.Refuse)}
	if x.entry.inbox.Put(ctx, ev) != nil {
		return false
	}
	may, err := ev.reply.Take(ctx)
	x.state.Store(exchangeBegun)
	return err == nil && may
}

// overtaken sets the result of an attempt whose response must not be passed on.
func (x *exchange) overtaken(res *result) {
	res.end, res.detail = retry.Stalled, errOvertaken.Error()
	if errors.Is(context.Cause(x.ctx), errHedgeUnneeded) {
		res.end, res.detail = retry.Canceled, errHedgeUnneeded.Error()
	}
}
