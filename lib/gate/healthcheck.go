package gate

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// HealthCheck is the result of one health check of the upstream.
type HealthCheck struct {
	// StartedAt is when the check was started.
	StartedAt time.Time
	// Healthy is whether the upstream answered.
	Healthy bool
	// Warm is false while the upstream itself reports cold start.
	Warm bool
	// Overloaded is whether calls are queued inside the upstream.
	Overloaded bool
	// BootID differs for each start of the upstream; empty if not reported.
	BootID string
	// Root is the version of the weights that calls may ask for; zero for none.
	Root fleet.Digest
}

// Change is what the result of a health check changed.
type Change struct {
	// BecameCold is whether the upstream returned to cold start.
	BecameCold bool
	// Start is the start of the upstream that Crashed and BrokenAt apply to.
	Start Start
	// Crashed holds the calls that were lost in a crash of the upstream before it had
	// survived them.
	Crashed []LostCall
	// BrokenAt is when the first connection broke of an upstream that did not
	// crash; zero if none broke.
	BrokenAt time.Time
}

// Start identifies a start of the upstream: by its boot ID, or, if it reports none,
// by the time since which it has been healthy.
type Start struct {
	BootID       string
	HealthySince time.Time
}

// Observe applies the result of a health check. The limit returns to its cold
// value if the upstream restarted, serves a new version or reports cold start.
func (g *Gate) Observe(now time.Time, check HealthCheck) Change {
	g.Tick(now)
	old := g.lastCheck
	c := Change{Start: g.Start()}
	if check.StartedAt.Before(g.connectionLostAt) {
		// The check was started before a connection broke, so the upstream may
		// have restarted since.
		check.Healthy = false
		check.BootID = old.BootID
		check.Root = old.Root
		g.lastCheck = check
		return Change{}
	}
	if check.BootID == "" {
		check.BootID = old.BootID
	}
	restarted := old.BootID != "" && check.BootID != old.BootID
	g.lastCheck = check
	switch {
	case restarted:
		c.Crashed = g.crashes.recordRestart(now)
	case !check.Healthy:
		c.Crashed = g.crashes.recordUnreachable()
	default:
		c.BrokenAt = g.crashes.recordAlive()
	}
	if check.Healthy && (restarted || !old.Healthy) {
		g.healthySince = check.StartedAt
	}
	if check.Overloaded {
		g.completed = 0
	}
	newRoot := !check.Root.IsZero() && check.Root != old.Root
	becameCold := check.Healthy && !check.Warm && g.limit > g.limits.Cold
	if restarted || newRoot || becameCold {
		c.BecameCold = restarted || becameCold
		g.resetToCold()
	}
	return c
}

// RecordConnection compares what the upstream reported on a new connection,
// its boot ID and whether it is warm, with the last health check. It returns
// false if the upstream restarted or became cold since then; calls are refused
// until the next health check in that case.
func (g *Gate) RecordConnection(now time.Time, bootID string, warm bool) bool {
	if bootID == g.lastCheck.BootID && (warm || !g.lastCheck.Warm) {
		return true
	}
	g.connectionLostAt = now
	return false
}

// Start returns the start of the upstream that the last health check found.
func (g *Gate) Start() Start {
	if g.lastCheck.BootID != "" {
		return Start{BootID: g.lastCheck.BootID}
	}
	return Start{HealthySince: g.healthySince}
}

// resetToCold returns the limit to its cold value and starts a new epoch. Calls
// that were admitted earlier and not yet sent are refused by Recheck.
func (g *Gate) resetToCold() {
	g.limit = g.limits.Cold
	g.completed = 0
	g.epoch++
}

// healthy reports whether the last check succeeded, is recent and no connection
// broke since it was started.
func (g *Gate) healthy(now time.Time) bool {
	check := g.lastCheck
	return check.Healthy && !check.StartedAt.Before(g.connectionLostAt) && now.Sub(check.StartedAt) <= g.options.StaleAfter
}
