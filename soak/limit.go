package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// limitWindow is the span in which the requests to a replica that names a limit are
	// counted. It may get as many as the limit allows times limitOverrun, and limitSlack
	// more.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// limits verifies that replicas which named a limit did not run more requests than that
// allows, all gateways together, from undisturbedTime after they named it. Requests of
// gateways that were disturbed meanwhile do not count.
func (v *verification) limits() {
	byReplica := map[string][]replicaRun{}
	for _, runs := range v.records.runs {
		for _, run := range runs {
			byReplica[run.replica] = append(byReplica[run.replica], run)
		}
	}
	for _, c := range v.changes {
		if c.category != "limit" {
			continue
		}
		var id string
		var perSecond float64
		if _, err := fmt.Sscan(c.value, &id, &perSecond); err != nil {
			v.violations = append(v.violations, "LIMIT: unreadable record "+c.value)
			continue
		}
		v.limit(&c, id, perSecond, byReplica[id])
	}
}

// limit verifies the runs of one replica while it named a limit.
func (v *verification) limit(c *change, id string, perSecond float64, runs []replicaRun) {
	allowed := int(limitOverrun*perSecond*limitWindow.Seconds()) + limitSlack
	from := c.from.Add(undisturbedTime + clockSlack)
	var times []time.Time
	for i := range runs {
		at := runs[i].startedAt
		if at.Before(from) || !c.to.IsZero() && at.After(c.to) {
			continue
		}
		if v.undisturbed(v.requests[runs[i].attempt].gateway, at.Add(-limitWindow), at) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := range times {
		if first := i - allowed; first >= 0 && times[i].Sub(times[first]) < limitWindow {
			v.violations = append(v.violations, fmt.Sprintf("LIMIT: %s ran more than %d requests in %s, with a limit of %v a second, %s after it named that",
				id, allowed, limitWindow, perSecond, times[i].Sub(c.from).Round(time.Millisecond)))
			return
		}
	}
}
