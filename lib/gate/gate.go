// Package gate implements admission control at an agent: it decides whether a
// call may reach the agent's upstream. It is the last check before the upstream
// and is needed because entries may act on an outdated view. The core is pure: it
// has no clock and starts no goroutine.
package gate

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
)

// Reason is the reason for refusing a call; it is empty for an admitted call.
type Reason string

// The reasons for a refusal. A refused request was not run.
const (
	Admitted     Reason = ""
	NoConfig     Reason = "no configuration adopted yet"
	DomainOut    Reason = "failure domain is out"
	Leaving      Reason = "instance is leaving"
	WrongVersion Reason = "version is not served here"
	PastDeadline Reason = "deadline passed"
	AtLimit      Reason = "upstream is at its limit"
	NotHealthy   Reason = "upstream does not answer"
	BecameCold   Reason = "upstream became cold after the call was admitted"
	Paused       Reason = "agent was paused and its view may be old"
	Exclusive    Reason = "a suspected request runs alone"
)

// Options set the time limits of a gate.
type Options struct {
	// StaleAfter is the age of the last health check at which the upstream
	// counts as not answering.
	StaleAfter time.Duration
	// PauseAfter is the gap between two inputs above which the process counts
	// as having been paused. The owner must call Tick several times within it.
	PauseAfter time.Duration
	// PauseHold is how long calls are refused after a pause. It must be long
	// enough to exchange the configuration with a peer once, since a failure
	// domain may have been taken out during the pause.
	PauseHold time.Duration
	// ReservationTime is how long other calls are refused so that a suspected
	// call can run alone. ReservationInterval is the minimum time from the start
	// of one reservation to the start of the next.
	ReservationTime, ReservationInterval time.Duration
}

// Call holds the properties of a call that admission depends on.
type Call struct {
	// Root identifies the version of the weights that the call asks for.
	Root     fleet.Digest
	Deadline time.Time
	// Traits are those of the request.
	Traits []poison.Trait
	// Suspect is the trait for which the call must run alone, because it may crash
	// the upstream; zero if there is none.
	Suspect poison.Trait
}

// Ticket represents an admitted call, which counts as in flight. Each ticket is
// released exactly once, by Done, by Release or by a Recheck that refuses.
type Ticket struct {
	Call
	epoch  uint64
	number uint64
}

// Gate is the admission state of one upstream. It is not safe for concurrent
// use.
type Gate struct {
	options      Options
	domainIn     bool
	configured   bool
	leaving      bool
	plainService bool
	lastCheck    HealthCheck
	// healthySince is the first health check that succeeded after one that failed.
	healthySince     time.Time
	connectionLostAt time.Time
	limits           config.Limits
	limit            int
	// completed counts completed calls since the limit last changed.
	completed int
	// epoch counts how often the limit was reset to its cold value.
	epoch    uint64
	inFlight int
	byRoot   map[fleet.Digest]int
	// tickets counts the admitted calls.
	tickets     uint64
	exclusive   bool
	reservation reservation
	crashes     crashLog
	lastInput   time.Time
	// holdUntil is when PauseHold after the last pause ends.
	holdUntil time.Time
}

// New returns a gate that refuses all calls until it has a configuration and
// the result of a health check.
func New(o Options) *Gate {
	return &Gate{options: o, byRoot: map[fleet.Digest]int{}, crashes: newCrashLog()}
}

// Configure applies the configuration of the service and of the agent's own
// failure domain. A nil service means that no configuration is adopted yet.
func (g *Gate) Configure(s *config.Service, domainIn bool) {
	g.configured = s != nil
	g.domainIn = domainIn
	if s == nil {
		return
	}
	wasCold := g.limit <= g.limits.Cold
	g.plainService = s.Kind == config.KindPlain
	g.limits = s.Limits
	if wasCold {
		g.limit = s.Limits.Cold
	}
	g.limit = min(max(g.limit, s.Limits.Cold), s.Limits.Warm)
}

// Leave refuses all further calls.
func (g *Gate) Leave() { g.leaving = true }

// reservation excludes other calls so that a suspected call can run alone.
type reservation struct {
	suspect            poison.Trait
	until, nextAllowed time.Time
}

func (r *reservation) excludes(now time.Time, c Call) bool {
	return now.Before(r.until) && c.Suspect != r.suspect
}

// Reserve excludes other calls for ReservationTime, so that a suspected call
// that was refused as Exclusive can be admitted. It returns the end of the
// reservation; ok is false if the call is not suspected or if the last
// reservation started less than ReservationInterval ago.
func (g *Gate) Reserve(now time.Time, c Call) (until time.Time, ok bool) {
	if c.Suspect == 0 || now.Before(g.reservation.nextAllowed) {
		return now, false
	}
	g.reservation = reservation{
		suspect:     c.Suspect,
		until:       now.Add(g.options.ReservationTime),
		nextAllowed: now.Add(g.options.ReservationInterval),
	}
	return g.reservation.until, true
}

// Tick updates the time. If more than PauseAfter has passed since the last
// input, the process was paused, and calls are refused for PauseHold so that
// the agent can update its view first.
func (g *Gate) Tick(now time.Time) {
	if !g.lastInput.IsZero() && now.Sub(g.lastInput) > g.options.PauseAfter {
		g.holdUntil = now.Add(g.options.PauseHold)
	}
	g.lastInput = now
}

// Admit admits a call if it may run now and counts it as in flight. The ticket
// is valid only if the reason is Admitted.
func (g *Gate) Admit(now time.Time, c Call) (Ticket, Reason) {
	if r := g.Check(now, c); r != Admitted {
		return Ticket{}, r
	}
	suspect := c.Suspect != 0
	switch {
	case g.exclusive, suspect && g.inFlight > 0, g.reservation.excludes(now, c):
		return Ticket{}, Exclusive
	case g.inFlight >= g.limit:
		return Ticket{}, AtLimit
	}
	if suspect {
		g.exclusive = true
		g.reservation.until = now
	}
	g.inFlight++
	g.byRoot[c.Root]++
	g.tickets++
	g.crashes.recordStart(g.tickets, c.Traits)
	return Ticket{Call: c, epoch: g.epoch, number: g.tickets}, Admitted
}

// Recheck repeats, immediately before the call is sent to the upstream, the
// checks whose result may have changed since admission, because the process may
// have been paused in between. If it refuses, it releases the ticket.
func (g *Gate) Recheck(now time.Time, t Ticket) Reason {
	r := g.Check(now, t.Call)
	if r == Admitted && t.epoch != g.epoch {
		r = BecameCold
	}
	if r != Admitted {
		g.Release(t)
	}
	return r
}

// Check returns why a call may not run now, or Admitted. It ignores the
// concurrency limit and the exclusive runs of suspected calls.
func (g *Gate) Check(now time.Time, c Call) Reason {
	g.Tick(now)
	switch {
	case !g.configured:
		return NoConfig
	case !g.domainIn:
		return DomainOut
	case g.leaving:
		return Leaving
	case now.Before(g.holdUntil):
		return Paused
	case !g.healthy(now):
		return NotHealthy
	case !g.plainService && (c.Root.IsZero() || c.Root != g.lastCheck.Root):
		return WrongVersion
	case !now.Before(c.Deadline):
		return PastDeadline
	default:
		return Admitted
	}
}

// Began records that the upstream began to answer a call.
func (g *Gate) Began(now time.Time, t Ticket) { g.crashes.recordBegan(now, t.number) }

// Survived records that the upstream survived a call, which therefore does not crash it: its
// answer has come to its end, or has gone on for long.
func (g *Gate) Survived(t Ticket) { g.crashes.recordEnd(t.number) }

// Outcome is how a call ended at the upstream.
type Outcome uint8

// The outcomes of a call.
const (
	// Completed means that the upstream sent a complete answer.
	Completed Outcome = iota
	// Failed means that the upstream answered with an error or made no
	// progress, or that the call was canceled.
	Failed
	// Overloaded means that the upstream itself refused the call.
	Overloaded
	// ConnectionLost means that the connection broke after the call was sent.
	ConnectionLost
	// Unreachable means that no connection to the upstream could be opened.
	Unreachable
)

// Done records the outcome of a call and releases its ticket. Completed calls
// raise the limit while the upstream warms up.
func (g *Gate) Done(now time.Time, t Ticket, o Outcome) {
	g.Tick(now)
	if o == ConnectionLost {
		g.crashes.recordLost(now, t.number)
	}
	g.remove(t)
	if o == ConnectionLost || o == Unreachable {
		// The upstream may have restarted, and a restarted one is cold. Refuse
		// calls until the next health check shows whether it did.
		g.connectionLostAt = now
	}
	if t.epoch != g.epoch {
		return
	}
	switch o {
	case Completed:
		g.raiseLimit()
	case Overloaded:
		g.completed = 0
		g.limit = max(g.limit/2, g.limits.Cold)
	}
}

// Release releases the ticket of a call that was not sent to the upstream.
func (g *Gate) Release(t Ticket) { g.remove(t) }

func (g *Gate) remove(t Ticket) {
	g.inFlight--
	if g.byRoot[t.Root]--; g.byRoot[t.Root] == 0 {
		delete(g.byRoot, t.Root)
	}
	if t.Suspect != 0 {
		g.exclusive = false
	}
	g.crashes.recordEnd(t.number)
}

func (g *Gate) raiseLimit() {
	if !g.lastCheck.Warm || g.limit >= g.limits.Warm {
		return
	}
	g.completed++
	if g.completed >= g.limits.RampStep {
		g.completed = 0
		g.limit = min(2*g.limit, g.limits.Warm)
	}
}

// InFlight returns the number of calls in flight.
func (g *Gate) InFlight() int { return g.inFlight }

// InFlightOf returns the number of calls in flight for a root.
func (g *Gate) InFlightOf(root fleet.Digest) int { return g.byRoot[root] }

// Limit returns the maximum number of calls that may be in flight now.
func (g *Gate) Limit() int { return g.limit }

// Warm reports whether the upstream reports itself warm and the limit has
// reached its warm value.
func (g *Gate) Warm() bool { return g.lastCheck.Warm && g.limit >= g.limits.Warm }
