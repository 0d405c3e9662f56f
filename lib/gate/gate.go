// Package gate decides at the agent whether a call may reach its upstream.
// The core is pure and is the last check, since entries may act on an old view.
package gate

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// Reason says why a call was refused.
type Reason string

// The reasons of a refusal. In each of them the request was not run.
const (
	Admitted     Reason = ""
	NoConfig     Reason = "no configuration adopted yet"
	DomainOut    Reason = "failure domain is out"
	Leaving      Reason = "instance is leaving"
	WrongVersion Reason = "version is not served here"
	PastDeadline Reason = "deadline passed"
	AtLimit      Reason = "upstream is at its limit"
	NotHealthy   Reason = "upstream does not answer"
	TurnedCold   Reason = "upstream became cold after the call was admitted"
	Paused       Reason = "agent was paused and its view may be old"
	Exclusive    Reason = "a suspected request runs alone"
)

// Options bound how old the gate's knowledge may be.
type Options struct {
	// StaleAfter is the age of the last health check at which the upstream
	// counts as not answering.
	StaleAfter time.Duration
	// PauseAfter is the gap between two inputs that counts as a pause of the
	// process. The owner calls Tick several times within it.
	PauseAfter time.Duration
	// WakeHold is how long calls are refused after a pause. It covers one
	// exchange of configuration with a peer, since a failure domain may have
	// been taken out in the meantime.
	WakeHold time.Duration
	// ReserveFor is how long other calls are refused so that a suspected one
	// can run alone; ReserveEvery is the least time between two such periods.
	ReserveFor, ReserveEvery time.Duration
}

// Call is what the gate needs to know of a call.
type Call struct {
	Root        fleet.Digest
	Deadline    time.Time
	Fingerprint string
}

// Ticket stands for a call that was counted in. Each ticket is given back
// exactly once, by Done, Release or a Recheck that refuses.
type Ticket struct {
	Call
	epoch   uint64
	suspect bool
}

// Suspect reports whether the call's content was in flight at a crash.
func (t Ticket) Suspect() bool { return t.suspect }

// Gate is the state of one upstream's admission.
type Gate struct {
	options  Options
	domainIn bool
	known    bool
	leaving  bool
	plain    bool
	upstream Upstream
	lostAt   time.Time
	limits   config.Limits
	limit    int
	// completed counts completions since the limit last changed.
	completed int
	// epoch counts the returns to cold start.
	epoch     uint64
	inFlight  int
	byRoot    map[fleet.Digest]int
	suspects  map[string]bool
	exclusive bool
	reserved  reservation
	crash     crashLog
	seen      time.Time
	heldUntil time.Time
}

// New returns a gate that refuses all calls until it has a configuration and
// a health check.
func New(o Options) *Gate {
	return &Gate{options: o, byRoot: map[fleet.Digest]int{}, crash: newCrashLog()}
}

// Configure takes in the service and the state of the own failure domain.
func (g *Gate) Configure(s *config.Service, domainIn bool) {
	g.known = s != nil
	g.domainIn = domainIn
	if s == nil {
		return
	}
	cold := g.limit <= g.limits.Cold
	g.plain = s.Kind == config.KindPlain
	g.limits = s.Limits
	if cold {
		g.limit = s.Limits.Cold
	}
	g.limit = min(max(g.limit, s.Limits.Cold), s.Limits.Warm)
}

// SetSuspects replaces the fingerprints whose calls run alone.
func (g *Gate) SetSuspects(fingerprints []string) {
	g.suspects = make(map[string]bool, len(fingerprints))
	for _, f := range fingerprints {
		g.suspects[f] = true
	}
}

// Leave refuses all further calls.
func (g *Gate) Leave() { g.leaving = true }

// reservation keeps other calls out until a suspected one can run alone.
type reservation struct {
	fingerprint string
	until, next time.Time
}

func (r *reservation) against(now time.Time, c Call) bool {
	return now.Before(r.until) && c.Fingerprint != r.fingerprint
}

// Reserve keeps other calls out for a while, so that a suspected call that was
// refused as Exclusive can be admitted. It returns the end of that time; ok is
// false if the call is not suspected or another reservation was too recent.
func (g *Gate) Reserve(now time.Time, c Call) (until time.Time, ok bool) {
	if !g.suspects[c.Fingerprint] || now.Before(g.reserved.next) {
		return now, false
	}
	g.reserved = reservation{
		fingerprint: c.Fingerprint,
		until:       now.Add(g.options.ReserveFor),
		next:        now.Add(g.options.ReserveEvery),
	}
	return g.reserved.until, true
}

// Tick takes in the time. A gap since the last input means that the process
// was paused, and calls are refused until its view can have been renewed.
func (g *Gate) Tick(now time.Time) {
	if !g.seen.IsZero() && now.Sub(g.seen) > g.options.PauseAfter {
		g.heldUntil = now.Add(g.options.WakeHold)
	}
	g.seen = now
}

// Admit counts a call in if it may run now.
func (g *Gate) Admit(now time.Time, c Call) (Ticket, Reason) {
	if r := g.Check(now, c); r != Admitted {
		return Ticket{}, r
	}
	t := Ticket{Call: c, epoch: g.epoch, suspect: g.suspects[c.Fingerprint]}
	switch {
	case g.exclusive, t.suspect && g.inFlight > 0, g.reserved.against(now, c):
		return Ticket{}, Exclusive
	case g.inFlight >= g.limit:
		return Ticket{}, AtLimit
	}
	if t.suspect {
		g.exclusive = true
		g.reserved.until = now
	}
	g.inFlight++
	g.byRoot[c.Root]++
	g.crash.started(c.Fingerprint)
	return t, Admitted
}

// Recheck repeats what can change between admission and hand-over, because the
// process may have been paused in between. A refused ticket is given back.
func (g *Gate) Recheck(now time.Time, t Ticket) Reason {
	r := g.Check(now, t.Call)
	if r == Admitted && t.epoch != g.epoch {
		r = TurnedCold
	}
	if r != Admitted {
		g.Release(t)
	}
	return r
}

// Check says whether a call might run now, without regard to the limit.
func (g *Gate) Check(now time.Time, c Call) Reason {
	g.Tick(now)
	switch {
	case !g.known:
		return NoConfig
	case !g.domainIn:
		return DomainOut
	case g.leaving:
		return Leaving
	case now.Before(g.heldUntil):
		return Paused
	case !g.healthy(now):
		return NotHealthy
	case !g.plain && (c.Root.IsZero() || c.Root != g.upstream.Root):
		return WrongVersion
	case !now.Before(c.Deadline):
		return PastDeadline
	default:
		return Admitted
	}
}

// Outcome says how a call ended at the upstream.
type Outcome uint8

// The outcomes of a call.
const (
	// Completed means that the upstream answered in full.
	Completed Outcome = iota
	// Failed means an error answer, a cancelled call or no progress.
	Failed
	// Overloaded means that the upstream itself refused the call.
	Overloaded
	// Lost means that the connection broke after the call was handed over.
	Lost
	// Unreached means that no connection to the upstream was made.
	Unreached
)

// Done counts a call out. Completed calls raise the limit of a warming upstream.
func (g *Gate) Done(now time.Time, t Ticket, o Outcome) {
	g.Tick(now)
	g.countOut(t)
	if o == Lost || o == Unreached {
		// Until the next health check it is open whether the upstream
		// restarted, and a restarted one is cold.
		g.lostAt = now
	}
	if o == Lost {
		g.crash.lose(t.Fingerprint)
	}
	if t.epoch != g.epoch {
		return
	}
	switch o {
	case Completed:
		g.ramp()
	case Overloaded:
		g.completed = 0
		g.limit = max(g.limit/2, g.limits.Cold)
	}
}

// Release counts out a call that was not handed to the upstream.
func (g *Gate) Release(t Ticket) { g.countOut(t) }

func (g *Gate) countOut(t Ticket) {
	g.inFlight--
	if g.byRoot[t.Root]--; g.byRoot[t.Root] == 0 {
		delete(g.byRoot, t.Root)
	}
	if t.suspect {
		g.exclusive = false
	}
	g.crash.ended(t.Fingerprint)
}

func (g *Gate) ramp() {
	if !g.upstream.Warm || g.limit >= g.limits.Warm {
		return
	}
	g.completed++
	if g.completed >= g.limits.RampStep {
		g.completed = 0
		g.limit = min(2*g.limit, g.limits.Warm)
	}
}

// InFlight returns the number of calls that are counted in.
func (g *Gate) InFlight() int { return g.inFlight }

// InFlightOf returns the number of calls counted in for a root.
func (g *Gate) InFlightOf(root fleet.Digest) int { return g.byRoot[root] }

// Limit returns the number of calls that may be in flight now.
func (g *Gate) Limit() int { return g.limit }

// Warm reports whether the upstream is out of cold start.
func (g *Gate) Warm() bool { return g.upstream.Warm && g.limit >= g.limits.Warm }
