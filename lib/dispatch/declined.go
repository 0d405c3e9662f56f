package dispatch

import (
	"maps"
	"time"

	"rattanspur.example/lib/ratelimit"
)

// leavingTTL is how long it is remembered that a start of an upstream is leaving. It
// covers the time in which the upstream still serves others, and views that lose its
// registration and get it back.
const leavingTTL = 10 * time.Minute

// declinedStarts holds until when starts of upstreams want no requests from this entry,
// because they said so in an answer. A later start is another upstream.
type declinedStarts map[ratelimit.Key]time.Time

// startKey identifies the start of the upstream.
func (u *upstream) startKey() ratelimit.Key {
	return ratelimit.Key{ID: u.ID, StartTime: u.StartTime}
}

// observe applies what an answer says.
func (d declinedStarts) observe(now time.Time, k ratelimit.Key, o Observation) {
	until := now.Add(o.RetryAfter)
	if o.Leaving {
		until = now.Add(leavingTTL)
	}
	if until.After(now) && until.After(d[k]) {
		d[k] = until
	}
}

// contains reports whether a start of an upstream wants no requests now.
func (d declinedStarts) contains(now time.Time, k ratelimit.Key) bool {
	return len(d) > 0 && now.Before(d[k])
}

// expire forgets starts that accept requests again.
func (d declinedStarts) expire(now time.Time) {
	maps.DeleteFunc(d, func(_ ratelimit.Key, until time.Time) bool { return !now.Before(until) })
}
