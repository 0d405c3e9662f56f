package routing

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// reportTTL is how long a load report is used. A replica that was reported
	// full is tried again afterwards, even if no response came since.
	reportTTL = time.Second
	// firstPenalty is how long a replica is avoided after a failure. Each
	// further failure doubles the time, up to maxPenalty.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 15 * time.Second
	// refusalPause is how long a replica gets no calls after it refused one for
	// another reason than load. The views of entry and agent differ then;
	// without the pause, a waiting call would be sent and refused in a loop.
	refusalPause = 250 * time.Millisecond
	// firstBusyPause is how long a replica gets no calls after a refusal for
	// lack of capacity. Consecutive refusals double it, up to maxBusyPause:
	// other entries compete for the same slots, and every attempt costs the
	// agent work.
	firstBusyPause = 20 * time.Millisecond
	maxBusyPause   = 500 * time.Millisecond
	// silentAfter is how long a replica must have given no sign, and silentCalls how
	// many calls it must have got meanwhile, to count as silent. Single long calls
	// without a sign are usual.
	silentAfter = time.Second
	silentCalls = 4
)

// Load is the load that an agent reports for its replica.
type Load struct {
	// Limit is the number of calls that may be in flight at the replica.
	Limit int
	// InFlight is the number of calls in flight from all entries.
	InFlight int
}

// candidate is the state that an entry keeps for a replica.
type candidate struct {
	fleet.Instance
	// ownInFlight is the number of calls in flight from this entry.
	ownInFlight int
	// limit is the last known limit of calls in flight at the replica.
	limit int
	// otherInFlight estimates the calls in flight from other entries: those that
	// the last report counted in addition to this entry's own calls.
	otherInFlight int
	reportedAt    time.Time
	failures      int
	avoidUntil    time.Time
	// pausedUntil is the end of the pause after a refusal. busyRefusals counts
	// the consecutive refusals for lack of capacity.
	pausedUntil  time.Time
	busyRefusals int
	// unanswered counts the calls that the replica got since its last sign, and
	// unansweredSince is when it got the first of them.
	unanswered      int
	unansweredSince time.Time
	// reserved is set while the replica is kept for one exclusive call.
	reserved bool
	// exclusive is set while that call is in flight.
	exclusive bool
	// removed is set if the replica is not in the table's pools; it is kept only
	// to count its calls in flight.
	removed bool
}

// configure applies the limits of the service. Until its first report, a replica
// is assumed to be in cold start.
func (c *candidate) configure(l config.Limits) {
	if c.limit == 0 {
		c.limit = l.Cold
	}
	c.limit = min(max(c.limit, 1), max(l.Warm, 1))
}

// report applies a load report, which includes this entry's own calls.
func (c *candidate) report(now time.Time, l Load) {
	c.limit = max(l.Limit, 1)
	c.otherInFlight = max(l.InFlight-c.ownInFlight, 0)
	c.reportedAt = now
	c.gaveSign()
}

// inFlight estimates the calls in flight at the replica.
func (c *candidate) inFlight(now time.Time) int {
	if now.Sub(c.reportedAt) > reportTTL {
		return c.ownInFlight
	}
	return c.ownInFlight + c.otherInFlight
}

// hasCapacity reports whether the replica is expected to accept another call.
func (c *candidate) hasCapacity(now time.Time) bool { return c.inFlight(now) < c.limit }

// loadAfterCall returns the estimated fraction of the limit that is in use after
// one more call.
func (c *candidate) loadAfterCall(now time.Time) float64 {
	return float64(c.inFlight(now)+1) / float64(c.limit)
}

// sent counts a call as in flight.
func (c *candidate) sent(now time.Time) {
	c.ownInFlight++
	if c.unanswered == 0 {
		c.unansweredSince = now
	}
	c.unanswered++
}

// gaveSign records that the replica responded to a call.
func (c *candidate) gaveSign() { c.unanswered = 0 }

// silent reports whether the replica has given no sign for a while although it got
// calls. It gets further calls only if no other replica has capacity.
func (c *candidate) silent(now time.Time) bool {
	return c.unanswered >= silentCalls && now.Sub(c.unansweredSince) >= silentAfter
}

// failed records a failure and avoids the replica for a while. Failures while it
// is avoided do not count: the calls in flight at a replica that restarts fail
// together, and their number does not indicate how long it will be unavailable.
func (c *candidate) failed(now time.Time) {
	if c.avoided(now) {
		return
	}
	penalty := firstPenalty << min(c.failures, 10)
	c.avoidUntil = now.Add(min(penalty, maxPenalty))
	c.failures++
}

func (c *candidate) avoided(now time.Time) bool { return now.Before(c.avoidUntil) }
