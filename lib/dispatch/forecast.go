package dispatch

import (
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/quota"
)

const (
	// forecastSpan is the span over which the rate of sends is measured.
	forecastSpan = time.Second
	// minForecastTime is how long requests must have waited until a forecast is made, and
	// the time without a waiting request after which that begins anew.
	minForecastTime = 200 * time.Millisecond
	// forecastMargin is the factor by which a forecast must exceed the time that a request
	// may wait. Capacity often becomes free for several requests at once.
	forecastMargin = 2
)

// progress measures how fast requests of one kind are sent while some of them wait.
type progress struct {
	sends quota.Window
	// busySince is since when requests wait, with interruptions of less than
	// minForecastTime; zero if none do. lastBusy is when one last waited.
	busySince, lastBusy time.Time
}

// update notes whether requests wait.
func (p *progress) update(now time.Time, waiting int) {
	if waiting == 0 {
		return
	}
	if now.Sub(p.lastBusy) > minForecastTime {
		p.busySince = now
	}
	p.lastBusy = now
}

// wait returns how long a request with a number of others ahead of it is likely to wait,
// or 0 if that is not known yet.
func (p *progress) wait(now time.Time, ahead int) time.Duration {
	if now.Sub(p.lastBusy) > minForecastTime || now.Sub(p.busySince) < minForecastTime {
		return 0
	}
	sent := max(p.sends.Count(now, forecastSpan), 1)
	return time.Duration(float64(ahead+1) / float64(sent) * float64(forecastSpan))
}

// wouldExpire reports whether a request is likely to wait for longer than it may. Its caller
// is better off if it learns so at once.
func (s *service) wouldExpire(now time.Time, it *admission.Item[*request]) bool {
	r := it.Value
	if r.suspect != 0 {
		return false
	}
	ahead := s.rankedBefore(r)
	if q := s.queuesFor(r)[r.queueKey()]; q != nil {
		ahead += q.Ahead(it.Customer, it.Priority)
	} else if ahead == 0 {
		return false
	}
	forecast := s.progressOf(r).wait(now, ahead)
	return forecast > time.Duration(forecastMargin*float64(it.Deadline.Sub(now)))
}

// updateProgress notes which requests wait.
func (s *service) updateProgress(now time.Time) {
	s.newProgress.update(now, s.newRequests.length())
	s.returningProgress.update(now, s.returningRequests.length())
}

// progressOf returns the progress of the requests that wait together with one.
func (s *service) progressOf(r *request) *progress {
	if r.returningStream() {
		return &s.returningProgress
	}
	return &s.newProgress
}
