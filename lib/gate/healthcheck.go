package gate

import (
	"sort"
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
	// Crashed holds the fingerprints of calls that were in flight when the
	// upstream crashed.
	Crashed []string
}

// Observe applies the result of a health check. The limit returns to its cold
// value if the upstream restarted, serves a new version or reports cold start.
func (g *Gate) Observe(now time.Time, check HealthCheck) Change {
	g.Tick(now)
	old := g.lastCheck
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
	var c Change
	switch {
	case restarted:
		c.Crashed = g.crashes.recordRestart()
	case !check.Healthy:
		c.Crashed = g.crashes.recordUnreachable()
	default:
		g.crashes.recordAlive()
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

// crashLog finds the calls that were in flight when the upstream crashed.
type crashLog struct {
	// inFlight counts the calls in flight by fingerprint.
	inFlight map[string]int
	// connectionLost holds the fingerprints of calls whose connection broke,
	// until a health check shows whether the upstream crashed.
	connectionLost map[string]bool
	// reported holds the fingerprints already reported for the current crash.
	reported map[string]bool
}

func newCrashLog() crashLog {
	return crashLog{inFlight: map[string]int{}, connectionLost: map[string]bool{}, reported: map[string]bool{}}
}

func (c *crashLog) recordStart(fingerprint string) {
	if fingerprint != "" {
		c.inFlight[fingerprint]++
	}
}

func (c *crashLog) recordEnd(fingerprint string) {
	if c.inFlight[fingerprint]--; c.inFlight[fingerprint] <= 0 {
		delete(c.inFlight, fingerprint)
	}
}

func (c *crashLog) recordLost(fingerprint string) {
	if fingerprint != "" {
		c.connectionLost[fingerprint] = true
	}
}

// recordAlive records that the upstream answered and has not restarted.
func (c *crashLog) recordAlive() {
	clear(c.connectionLost)
	clear(c.reported)
}

// recordUnreachable records that the upstream does not answer and returns the
// fingerprints of calls to report. Calls that are still in flight may yet be
// answered, so only those whose connection broke are returned.
func (c *crashLog) recordUnreachable() []string {
	var list []string
	for f := range c.connectionLost {
		if !c.reported[f] {
			c.reported[f] = true
			list = append(list, f)
		}
	}
	clear(c.connectionLost)
	sort.Strings(list)
	return list
}

// recordRestart records a restart of the upstream and returns the fingerprints
// of calls to report. A restart ends every call in flight.
func (c *crashLog) recordRestart() []string {
	for f := range c.inFlight {
		c.connectionLost[f] = true
	}
	list := c.recordUnreachable()
	clear(c.reported)
	return list
}
