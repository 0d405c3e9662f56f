package gossip

import (
	"time"

	"rattanspur.example/lib/poison"
)

// AddCrashes adds evidence of the process's role about crashes of upstreams. A new
// crash is pushed to several members immediately. Other news is pushed at most every
// urgentPushInterval, because after the loss of a failure domain each answer is news.
func (c *Core) AddCrashes(now time.Time, reports []poison.Report) []Action {
	known := c.detector.Crashes()
	switch changed := c.mergeCrashes(now, reports); {
	case c.detector.Crashes() > known:
		return c.push(now, pushFanout)
	case changed:
		return c.pushUrgent(now)
	default:
		return nil
	}
}

// mergeCrashes adds evidence and reports whether it was new.
func (c *Core) mergeCrashes(now time.Time, reports []poison.Report) bool {
	before := c.detector.Revision()
	c.detector.Merge(now, reports)
	return c.detector.Revision() != before
}

// Crashes returns all evidence about crashes of upstreams. The caller must not
// modify the suspects.
func (c *Core) Crashes(now time.Time) []poison.Report { return c.detector.All(now) }

// Suspicions returns the traits of requests that are suspected or convicted of
// crashing upstreams.
func (c *Core) Suspicions(now time.Time) []poison.Decision { return c.detector.Suspicions(now) }
