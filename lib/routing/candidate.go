package routing

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// reportLife bounds how long a load report counts. A replica that was
	// reported full is tried again after it, even if no answer came since.
	reportLife = time.Second
	// firstPenalty is how long a replica is avoided after a failure. Further
	// failures double it up to maxPenalty.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 15 * time.Second
	// refusedFor is how long a replica gets no calls after a refusal. The views
	// of entry and agent differ then; without the pause, a waiting call would
	// be sent and refused again in a loop.
	refusedFor = 250 * time.Millisecond
	// firstBusyPause is how long a replica gets no calls after a refusal for
	// lack of room. Refusals in a row double it up to maxBusyPause: other
	// entries compete for the same room, and every probe costs the agent work.
	firstBusyPause = 20 * time.Millisecond
	maxBusyPause   = 500 * time.Millisecond
)

// Load is what an agent reports of its gate.
type Load struct {
	// Limit is the number of calls that may be in flight at the replica.
	Limit int
	// InFlight is the number of calls in flight from all entries.
	InFlight int
}

// candidate is an upstream that calls may go to.
type candidate struct {
	fleet.Instance
	// mine is the number of calls in flight from this entry.
	mine int
	// limit is the last known limit of the gate.
	limit int
	// others estimates the calls in flight from other entries: what the last
	// report counted beyond this entry's own calls.
	others     int
	reportedAt time.Time
	failures   int
	avoidUntil time.Time
	// refusedUntil is the end of the pause after a refusal; busy counts the
	// refusals for lack of room in a row.
	refusedUntil time.Time
	busy         int
	// reserved says that the replica is kept for one call that must run alone.
	reserved bool
	// alone says that this call is in flight.
	alone bool
	// left says that the candidate is no longer in the table.
	left bool
}

// configure takes in the limits of the service. Before the first report, a
// replica is taken to be in cold start.
func (c *candidate) configure(l config.Limits) {
	if c.limit == 0 {
		c.limit = l.Cold
	}
	c.limit = min(max(c.limit, 1), max(l.Warm, 1))
}

// report takes in a load report. The report counts this entry's own calls too.
func (c *candidate) report(now time.Time, l Load) {
	c.limit = max(l.Limit, 1)
	c.others = max(l.InFlight-c.mine, 0)
	c.reportedAt = now
}

// inFlight estimates the calls in flight at the replica.
func (c *candidate) inFlight(now time.Time) int {
	if now.Sub(c.reportedAt) > reportLife {
		return c.mine
	}
	return c.mine + c.others
}

// hasRoom reports whether the replica would accept another call.
func (c *candidate) hasRoom(now time.Time) bool { return c.inFlight(now) < c.limit }

// load is the estimated share of the limit in use after one more call.
func (c *candidate) load(now time.Time) float64 {
	return float64(c.inFlight(now)+1) / float64(c.limit)
}

// failed avoids the replica. Failures while it is avoided do not count: the
// calls in flight at a replica that restarts fail together, and their number
// says nothing about how long it will be away.
func (c *candidate) failed(now time.Time) {
	if c.avoided(now) {
		return
	}
	penalty := firstPenalty << min(c.failures, 10)
	c.avoidUntil = now.Add(min(penalty, maxPenalty))
	c.failures++
}

func (c *candidate) avoided(now time.Time) bool { return now.Before(c.avoidUntil) }
