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
)

// Call is what the gate needs to know of a call.
type Call struct {
	Root     fleet.Digest
	Deadline time.Time
}

// Gate is the state of one upstream's admission.
type Gate struct {
	domainIn  bool
	known     bool
	leaving   bool
	plain     bool
	healthy   bool
	serving   fleet.Digest
	bootID    string
	limits    config.Limits
	limit     int
	completed int
	inFlight  int
}

// New returns a gate that refuses all calls until it has a configuration.
func New() *Gate { return &Gate{} }

// Configure takes in the service and the state of the own failure domain.
func (g *Gate) Configure(s *config.Service, domainIn bool) {
	g.known = s != nil
	g.domainIn = domainIn
	if s == nil {
		return
	}
	g.plain = s.Kind == config.KindPlain
	g.limits = s.Limits
	g.limit = min(max(g.limit, s.Limits.Cold), s.Limits.Warm)
}

// Leave refuses all further calls.
func (g *Gate) Leave() { g.leaving = true }

// Serve names the root that calls may ask for.
func (g *Gate) Serve(root fleet.Digest) {
	if root != g.serving {
		g.serving = root
		g.Cold()
	}
}

// Health takes in whether the upstream answers and which start of it. A new
// start is in cold start again. It reports whether the upstream turned cold.
func (g *Gate) Health(healthy, warm bool, bootID string) bool {
	restarted := g.bootID != "" && bootID != "" && bootID != g.bootID
	g.healthy = healthy
	if bootID != "" {
		g.bootID = bootID
	}
	if restarted || (healthy && !warm && g.limit > g.limits.Cold) {
		g.Cold()
		return true
	}
	return false
}

// Cold returns the limit to what an upstream in cold start can bear.
func (g *Gate) Cold() {
	g.limit = g.limits.Cold
	g.completed = 0
}

// Admit counts a call in if it may run now.
func (g *Gate) Admit(now time.Time, c Call) Reason {
	if r := g.Check(now, c); r != Admitted {
		return r
	}
	if g.inFlight >= g.limit {
		return AtLimit
	}
	g.inFlight++
	return Admitted
}

// Check repeats what can change between admission and hand-over, because the
// process may have been paused in between.
func (g *Gate) Check(now time.Time, c Call) Reason {
	switch {
	case !g.known:
		return NoConfig
	case !g.domainIn:
		return DomainOut
	case g.leaving:
		return Leaving
	case !g.healthy:
		return NotHealthy
	case !g.plain && (c.Root.IsZero() || c.Root != g.serving):
		return WrongVersion
	case !now.Before(c.Deadline):
		return PastDeadline
	default:
		return Admitted
	}
}

// Done counts a call out. Completed calls raise the limit of a cold upstream.
func (g *Gate) Done(completed bool) {
	g.inFlight--
	if !completed || g.limits.RampStep == 0 {
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

// Limit returns the number of calls that may be in flight now.
func (g *Gate) Limit() int { return g.limit }
