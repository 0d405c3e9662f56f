package dispatch

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential average of a rate.
const rateTimeConstant = 2 * time.Second

// rate is an exponential moving average of events per second.
type rate struct {
	value float64
	last  time.Time
}

// decay ages the average to now.
func (r *rate) decay(now time.Time) {
	if !r.last.IsZero() {
		r.value *= math.Exp(-now.Sub(r.last).Seconds() / rateTimeConstant.Seconds())
	}
	r.last = now
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.decay(now)
	r.value += 1 / rateTimeConstant.Seconds()
}

// perSecond returns the events per second, rounded to tenths.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return math.Round(10*r.value) / 10
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
