package dispatch

import (
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
)

const (
	// loadLife is how long a report of an upstream's load counts.
	loadLife = 1500 * time.Millisecond
	// toldLife is how long the counts of other entries are used.
	toldLife = 500 * time.Millisecond
	// hearAfter is how long it takes until an entry has heard what others sent,
	// and unheardMost bounds the requests that others are taken to send for each
	// own one.
	hearAfter   = 150 * time.Millisecond
	unheardMost = 16
	// avoidFirst is how long an upstream is avoided after a failure; the time
	// doubles with each further one up to avoidMost.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 6 * time.Second
	// errorsInARow is the number of server errors after which an upstream counts
	// as failing.
	errorsInARow = 3
	// fullPause is how long an upstream gets nothing after it refused a request.
	fullPause = 150 * time.Millisecond
	// mismatchPause is that time if it turned out to be another upstream or to
	// hold other weights, which the next view tells.
	mismatchPause = 500 * time.Millisecond
	// maxStrikes bounds the doublings of avoidFirst.
	maxStrikes = 6
	// coldWindow is the span in which requests to a cold upstream are counted.
	coldWindow = time.Second
	// coldMargin is the part of the bound on cold upstreams that is used.
	// Requests that were sent apart may arrive within one window.
	coldMargin = 0.8
	// switchMost is how long an engine is taken to be busy with new weights
	// after its loader said so.
	switchMost = 6 * time.Second
	// averageWeight is the weight of the past in a moving average.
	averageWeight = 8
)

// upstream is what an entry knows of one upstream.
type upstream struct {
	*published.Upstream
	region fleet.Region
	// version overrides the published version if an answer named a newer one.
	version int64
	// mine counts the requests in flight from here, prompt the prompt tokens of
	// those that have no answer yet.
	mine   int
	prompt int
	// others is the load from elsewhere as an answer said at reported, told that
	// which other entries said at toldAt.
	others   int
	reported time.Time
	told     peering.Load
	toldAt   time.Time
	strikes  int
	// errors counts the server errors in a row.
	errors int
	avoid  time.Time
	// coldUntil is when the upstream bears its full load.
	coldUntil time.Time
	// sent holds the times of the latest sends, for the bound while cold.
	sent []time.Time
	// recent holds the times of sends that other entries may not have heard of.
	recent []time.Time
	// firstByte is a moving average of the time to the first byte.
	firstByte time.Duration
	// notice is the latest word of the loader at its address.
	notice noticed
	// turn is when the upstream begins to take the wanted weights.
	turn time.Time
}

// load estimates the requests at the upstream. What other entries tell is
// newer than what an answer said.
func (u *upstream) load(now time.Time) int {
	switch {
	case now.Sub(u.toldAt) <= toldLife:
		return u.mine + u.told.Requests
	case now.Sub(u.reported) <= loadLife:
		return u.mine + u.others
	default:
		return u.mine
	}
}

// unheard estimates what other entries have sent to the upstream and not told
// yet: they see the same loads as this one, and send as it does.
func (u *upstream) unheard(now time.Time, s *service) float64 {
	for len(u.recent) > 0 && now.Sub(u.recent[0]) >= hearAfter {
		u.recent = u.recent[1:]
	}
	part := s.share.High - s.share.Low
	if part <= 0 || now.Sub(s.sharedAt) > toldLife {
		return 0
	}
	return float64(len(u.recent)) * min(1/part-1, unheardMost)
}

// unread estimates the prompt tokens that wait to be read at the upstream.
func (u *upstream) unread(now time.Time) int {
	if now.Sub(u.toldAt) <= toldLife {
		return u.prompt + u.told.PromptTokens
	}
	return u.prompt
}

func (u *upstream) observe(now time.Time, o Observation) {
	if o.Load != nil {
		u.others = max(o.Load.Running+o.Load.Waiting-u.mine, 0)
		u.reported = now
	}
	if o.Version > u.version {
		u.version = o.Version
	}
	if o.ColdLeft > 0 {
		u.coldUntil = now.Add(o.ColdLeft)
	}
}

func (u *upstream) succeeded(firstByte time.Duration) {
	u.strikes, u.errors = 0, 0
	u.avoid = time.Time{}
	if firstByte > 0 {
		u.firstByte += (firstByte - u.firstByte) / averageWeight
	}
}

// erred takes in a server error. One alone may belong to its request.
func (u *upstream) erred(now time.Time) {
	u.errors++
	if u.errors >= errorsInARow {
		u.failed(now)
	}
}

func (u *upstream) failed(now time.Time) {
	until := now.Add(min(avoidFirst<<u.strikes, avoidMost))
	if until.After(u.avoid) {
		u.avoid = until
	}
	u.strikes = min(u.strikes+1, maxStrikes)
}

func (u *upstream) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(u.avoid) {
		u.avoid = until
	}
}

// pauseOver ends a pause that was not caused by failures.
func (u *upstream) pauseOver(now time.Time) {
	if u.strikes == 0 && now.Before(u.avoid) {
		u.avoid = now
	}
}

// superseded reports whether the engine at the address has started anew since
// the entry was published. The entry of the earlier start lapses soon; after
// that the address may belong to another upstream.
func (u *upstream) superseded(now time.Time) bool {
	return u.StartTime > 0 && u.notice.Born > u.StartTime && now.Sub(u.notice.at) < noticeLife
}

// serves returns the version of a model that the upstream serves whole, or 0.
// The word of its loader is ahead of what it publishes.
func (u *upstream) serves(now time.Time, model string, layers int) int64 {
	if u.superseded(now) {
		return 0
	}
	v := published.CompleteVersion(u.Copies, model, layers)
	if n := &u.notice; n.Born == u.StartTime && n.Model == model && v <= n.Was {
		switch {
		case n.Version > 0:
			return max(n.Version, u.version)
		case now.Sub(n.at) < switchMost:
			return 0
		}
	}
	if v == 0 {
		return 0
	}
	return max(v, u.version)
}

// bears reports whether one more request keeps the bound on a cold upstream.
func (u *upstream) bears(now time.Time, bound int) bool {
	if bound <= 0 {
		return true
	}
	for len(u.sent) > 0 && now.Sub(u.sent[0]) >= coldWindow {
		u.sent = u.sent[1:]
	}
	return len(u.sent) < bound
}

// take counts a request in.
func (u *upstream) take(now time.Time, bounded bool) {
	u.mine++
	u.recent = append(u.recent, now)
	if bounded {
		u.sent = append(u.sent, now)
	}
}
