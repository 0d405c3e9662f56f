package dispatch

import (
	"math"
	"time"

	"rattanspur.example/lib/fleet"
)

// rateTime is the time over which a rate is averaged.
const rateTime = 2 * time.Second

// rate is a moving average of events a second.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) decay(now time.Time) {
	if !r.last.IsZero() {
		r.value *= math.Exp(-now.Sub(r.last).Seconds() / rateTime.Seconds())
	}
	r.last = now
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.decay(now)
	r.value += 1 / rateTime.Seconds()
}

// perSecond returns the events a second, rounded to tenths.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return math.Round(10*r.value) / 10
}

// shortTime is how long a refusal for lack of room counts as a sign that there
// is little.
const shortTime = time.Second

// short reports whether new requests were refused here lately.
func (s *service) short(now time.Time) bool {
	return !s.refused.IsZero() && now.Sub(s.refused) < shortTime
}

// contended reports whether new requests wait or are refused at any entry.
func (s *service) contended(now time.Time) bool {
	if s.short(now) || s.fresh.length() > 0 {
		return true
	}
	return s.share.Contended && now.Sub(s.sharedAt) <= toldLife
}

// quota returns how many slots of an upstream this entry may use. While the
// service is contended, the entries divide the slots of each upstream exactly
// among themselves: what others have there is known too late to share them
// freely, and whoever has many requests at an upstream would always be the
// first to see one end.
func (s *service) quota(now time.Time, u *upstream) int {
	if !s.contended(now) || s.share.High <= s.share.Low {
		return u.Slots
	}
	offset := float64(fleet.RendezvousWeight("quota", string(u.ID))%quotaSteps) / quotaSteps
	slots := float64(u.Slots)
	return int(s.share.High*slots+offset) - int(s.share.Low*slots+offset)
}

// quotaSteps is the number of offsets by which the parts of entries are
// rounded differently at each upstream.
const quotaSteps = 64
