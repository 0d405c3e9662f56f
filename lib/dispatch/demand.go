package dispatch

import (
	"math"
	"time"
)

const (
	// rateTimeConstant and steadyTimeConstant are the time constants of the exponential
	// averages of the demand for a service.
	rateTimeConstant   = 2 * time.Second
	steadyTimeConstant = 8 * time.Second
	// A steady demand follows its average once that differs by more than steadyChange
	// of it and steadyMargin requests per second.
	steadyChange = 0.25
	steadyMargin = 0.5
)

// rate is an exponential moving average of events per second.
type rate struct {
	timeConstant time.Duration
	value        float64
	last         time.Time
}

// decay ages the average to now.
func (r *rate) decay(now time.Time) {
	if !r.last.IsZero() {
		r.value *= math.Exp(-now.Sub(r.last).Seconds() / r.timeConstant.Seconds())
	}
	r.last = now
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.decay(now)
	r.value += 1 / r.timeConstant.Seconds()
}

// perSecond returns the events per second, rounded to tenths.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return math.Round(10*r.value) / 10
}

// steadyRate is a rate that changes in steps.
type steadyRate struct {
	rate
	startedAt time.Time
	step      float64
}

// add counts an event.
func (s *steadyRate) add(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.rate.add(now)
}

// perSecond returns the events per second as of the last step.
func (s *steadyRate) perSecond(now time.Time) float64 {
	mean := s.rate.perSecond(now)
	// The average starts at 0 and approaches the rate with its time constant.
	if age := now.Sub(s.startedAt).Seconds(); age > 0 {
		mean /= 1 - math.Exp(-age/s.timeConstant.Seconds())
	}
	if math.Abs(mean-s.step) > steadyChange*s.step+steadyMargin {
		s.step = math.Round(10*mean) / 10
	}
	return s.step
}

// rejectionWindow is how long a rejection for lack of capacity counts as a sign
// of contention.
const rejectionWindow = time.Second

// rejectedRecently reports whether this entry rejected a new request within
// rejectionWindow.
func (s *service) rejectedRecently(now time.Time) bool {
	return !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < rejectionWindow
}

// contended reports whether new requests wait or are rejected at any entry.
func (s *service) contended(now time.Time) bool {
	if s.rejectedRecently(now) || s.newRequests.length() > 0 {
		return true
	}
	return s.share.Contended && now.Sub(s.shareAt) <= peerLoadTTL
}
