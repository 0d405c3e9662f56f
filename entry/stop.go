package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
)

const (
	// defaultDrainTimeout bounds a graceful stop if the settings do not.
	defaultDrainTimeout = time.Minute
	// maxAnswerMargin limits the time at the end of the grace period in which calls
	// that still run are answered. In a short grace period that is its part
	// answerMarginDivisor.
	maxAnswerMargin     = time.Second
	answerMarginDivisor = 40
	// answerTimes is the number of answers of a service whose times are kept.
	answerTimes = 32
)

// errStopping ends a call that still runs when the grace period is over.
var errStopping = errors.New("entry is stopping")

// stoppingDetail is the detail of a refusal because the entry stops.
const stoppingDetail = "entry is stopping"

// phase is a moment of a graceful stop. Its context ends when the moment comes.
type phase struct {
	reached context.Context
	reach   context.CancelFunc
}

func newPhase() phase {
	p := phase{}
	p.reached, p.reach = context.WithCancel(context.Background())
	return p
}

func (p phase) isReached() bool { return p.reached.Err() != nil }

// gracePeriod tells handlers and duties how far a graceful stop has come. Its
// phases follow each other: the stop begins, calls that still run are ended, and
// handlers that got no response by then answer themselves.
type gracePeriod struct {
	begun, callsEnd, handlersEnd phase
	// length is the time from the begin to the end of calls, and callsEndAt that
	// end, in nanoseconds since 1970; 0 before the begin.
	length     time.Duration
	callsEndAt atomic.Int64
	// drainTimeout is the time from the begin to the end of the process.
	drainTimeout time.Duration
}

func newGracePeriod(drainTimeout time.Duration) *gracePeriod {
	if drainTimeout <= 0 {
		drainTimeout = defaultDrainTimeout
	}
	return &gracePeriod{
		begun: newPhase(), callsEnd: newPhase(), handlersEnd: newPhase(),
		drainTimeout: drainTimeout,
		length:       drainTimeout - min(drainTimeout/answerMarginDivisor, maxAnswerMargin),
	}
}

// begin starts the grace period. It returns when its phases are scheduled.
func (g *gracePeriod) begin(now time.Time) {
	g.callsEndAt.Store(now.Add(g.length).UnixNano())
	g.begun.reach()
	time.AfterFunc(g.length, g.callsEnd.reach)
	time.AfterFunc((g.length+g.drainTimeout)/2, g.handlersEnd.reach)
}

// endNow ends the grace period at once, since no duty answers calls any more.
func (g *gracePeriod) endNow() {
	g.callsEnd.reach()
	g.handlersEnd.reach()
}

// fits reports whether a call that takes an expected time can end before the grace
// period does. If that time is not known, it is taken to be half of the period.
func (g *gracePeriod) fits(now time.Time, expected time.Duration) bool {
	end := g.callsEndAt.Load()
	if end == 0 {
		return true
	}
	if expected == 0 {
		expected = g.length / 2
	}
	return now.Add(expected).UnixNano() <= end
}

// endOn returns a context that also ends when a phase is reached, with errStopping as
// its cause.
func (p phase) endOn(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(p.reached, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// serviceTimes holds the times of the last complete answers of each service. It is
// owned by the router.
type serviceTimes map[fleet.Service]*lastTimes

type lastTimes struct {
	times [answerTimes]time.Duration
	next  int
}

func (t serviceTimes) record(s fleet.Service, d time.Duration) {
	last := t[s]
	if last == nil {
		last = &lastTimes{}
		t[s] = last
	}
	last.times[last.next] = d
	last.next = (last.next + 1) % answerTimes
}

// longest returns the longest time of the last answers of a service, or 0 if there
// was none.
func (t serviceTimes) longest(s fleet.Service) time.Duration {
	longest := time.Duration(0)
	if last := t[s]; last != nil {
		for _, d := range last.times {
			longest = max(longest, d)
		}
	}
	return longest
}

// isTooLate reports whether a call cannot be expected to end before this process
// does.
func (r *router) isTooLate(now time.Time, a *attempt) bool {
	return !r.entry.grace.fits(now, r.answered.longest(a.target.Service.Name))
}

// refuseTooLate gives up a call that is not running and cannot be expected to end
// before this process does. It returns false if the call may run.
func (r *router) refuseTooLate(ctx context.Context, a attempt) bool {
	if !r.isTooLate(time.Now(), &a) {
		return false
	}
	r.giveUp(ctx, a, stoppingDetail, retryAfter)
	return true
}

// stop announces that the process is leaving, lets calls in progress complete and
// stops the duties. Calls that cannot complete within the drain timeout are answered
// before it ends: those that have not run with a refusal, the others with an unknown
// outcome.
func (e *Entry) stop(ctx context.Context, server *http.Server, g *duty.Group) error {
	startedAt := time.Now()
	grace := e.grace.drainTimeout
	e.grace.begin(startedAt)
	if g.Context().Err() != nil {
		e.grace.endNow()
	} else {
		e.node.Leave()
		_ = duty.Sleep(g.Context(), min(e.settings.LeaveDelay, grace/2)-time.Since(startedAt))
	}
	stopCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), startedAt.Add(grace))
	defer cancel()
	err := server.Shutdown(stopCtx)
	if err != nil {
		// Shutdown looks for busy connections up to half a second apart. The second
		// call looks once more.
		err = server.Shutdown(stopCtx)
	}
	if err != nil {
		e.closeAll(server, err)
	}
	g.Stop()
	if werr := g.Wait(); werr != nil {
		return werr
	}
	return eris.Wrap(err, "graceful stop")
}
