package gate

import (
	"sort"
	"time"

	"rattanspur.example/lib/fleet"
)

// Upstream is the result of one health check.
type Upstream struct {
	// Asked is when the check began.
	Asked time.Time
	// Healthy says that the upstream answered.
	Healthy bool
	// Warm is false while the upstream itself reports cold start.
	Warm bool
	// Overloaded says that calls wait inside the upstream.
	Overloaded bool
	// BootID names the start of the upstream; empty if it reports none.
	BootID string
	// Root is the version that calls may ask for; zero for none.
	Root fleet.Digest
}

// Change says what a health check changed.
type Change struct {
	// Cold says that the upstream returned to cold start.
	Cold bool
	// Crashed holds the fingerprints of calls that were in flight at a crash.
	Crashed []string
}

// Observe takes in a health check. A new start of the upstream, a new version
// and a report of cold start return the limit to the cold one.
func (g *Gate) Observe(now time.Time, u Upstream) Change {
	g.Tick(now)
	old := g.upstream
	if u.Asked.Before(g.lostAt) {
		// The check began before a connection broke, so it may describe the
		// start of the upstream that has ended since.
		u.Healthy = false
		u.BootID = old.BootID
		u.Root = old.Root
		g.upstream = u
		return Change{}
	}
	if u.BootID == "" {
		u.BootID = old.BootID
	}
	restarted := old.BootID != "" && u.BootID != old.BootID
	g.upstream = u
	var c Change
	switch {
	case restarted:
		c.Crashed = g.crash.restarted()
	case !u.Healthy:
		c.Crashed = g.crash.unreachable()
	default:
		g.crash.alive()
	}
	if u.Overloaded {
		g.completed = 0
	}
	newRoot := !u.Root.IsZero() && u.Root != old.Root
	turnedCold := u.Healthy && !u.Warm && g.limit > g.limits.Cold
	if restarted || newRoot || turnedCold {
		c.Cold = restarted || turnedCold
		g.cold()
	}
	return c
}

// Connected takes in which start of the upstream a new connection leads to and
// whether it is warm, and reports whether the gate knows that already. If not,
// calls are refused until the next health check.
func (g *Gate) Connected(now time.Time, bootID string, warm bool) bool {
	if bootID == g.upstream.BootID && (warm || !g.upstream.Warm) {
		return true
	}
	g.lostAt = now
	return false
}

// cold returns the limit to what an upstream in cold start can bear. Calls that
// were admitted before and not handed over yet are refused at their recheck.
func (g *Gate) cold() {
	g.limit = g.limits.Cold
	g.completed = 0
	g.epoch++
}

// healthy reports whether the last check is recent and no connection broke since.
func (g *Gate) healthy(now time.Time) bool {
	u := g.upstream
	return u.Healthy && !u.Asked.Before(g.lostAt) && now.Sub(u.Asked) <= g.options.StaleAfter
}

// crashLog relates calls in flight to crashes of the upstream.
type crashLog struct {
	inFlight map[string]int
	// lost holds fingerprints of calls whose connection broke, until a health
	// check tells a crash from a broken connection.
	lost map[string]bool
	// reported holds what was reported for the present crash.
	reported map[string]bool
}

func newCrashLog() crashLog {
	return crashLog{inFlight: map[string]int{}, lost: map[string]bool{}, reported: map[string]bool{}}
}

func (c *crashLog) started(fingerprint string) {
	if fingerprint != "" {
		c.inFlight[fingerprint]++
	}
}

func (c *crashLog) ended(fingerprint string) {
	if c.inFlight[fingerprint]--; c.inFlight[fingerprint] <= 0 {
		delete(c.inFlight, fingerprint)
	}
}

func (c *crashLog) lose(fingerprint string) {
	if fingerprint != "" {
		c.lost[fingerprint] = true
	}
}

// alive takes in that the upstream answered in the same start.
func (c *crashLog) alive() {
	clear(c.lost)
	clear(c.reported)
}

// unreachable takes in that the upstream does not answer. Calls that are still
// in flight may yet be answered, so only lost ones count.
func (c *crashLog) unreachable() []string {
	var list []string
	for f := range c.lost {
		if !c.reported[f] {
			c.reported[f] = true
			list = append(list, f)
		}
	}
	clear(c.lost)
	sort.Strings(list)
	return list
}

// restarted takes in a new start of the upstream: every call in flight is lost.
func (c *crashLog) restarted() []string {
	for f := range c.inFlight {
		c.lost[f] = true
	}
	list := c.unreachable()
	clear(c.reported)
	return list
}
