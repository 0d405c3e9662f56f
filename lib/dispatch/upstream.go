package dispatch

import (
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/quota"
)

const (
	// loadReportTTL is how long a load that an upstream reported is used.
	loadReportTTL = 1500 * time.Millisecond
	// peerLoadTTL is how long the loads and shares from other entries are used.
	peerLoadTTL = 500 * time.Millisecond
	// peerLoadDelay is how long it takes until an entry learns what others sent.
	// maxUnreportedFactor bounds the number of requests that all others are
	// assumed to send for each request sent here.
	peerLoadDelay       = 150 * time.Millisecond
	maxUnreportedFactor = 16
	// minAvoidance is how long an upstream is avoided after a failure. The time
	// doubles with each further failure, up to maxAvoidance.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 6 * time.Second
	// maxConsecutiveErrors is the number of consecutive server errors after which
	// an upstream counts as failing.
	maxConsecutiveErrors = 3
	// refusalPause is how long an upstream gets no requests after it refused one. The time
	// doubles with each refusal after such a pause, up to maxAvoidance, until the upstream
	// answers a request, unless it states that it is full.
	refusalPause = 150 * time.Millisecond
	// misdirectedPause is that time if the instance or its weights were not the
	// expected ones; the next view corrects this.
	misdirectedPause = 500 * time.Millisecond
	// maxDoublings bounds the doublings of minAvoidance.
	maxDoublings = 6
	// coldWindow is the span in which requests to a cold upstream are counted.
	coldWindow = time.Second
	// coldLimitFraction is the fraction of the limit on cold upstreams that is used,
	// because requests sent in different windows may arrive within one.
	coldLimitFraction = 0.8
	// maxSwitchTime is how long an engine is assumed to be loading new weights
	// after its loader reported it.
	maxSwitchTime = 6 * time.Second
	// averageDivisor is the reciprocal of the weight of a new value in a moving
	// average.
	averageDivisor = 8
)

// upstream is the state that an entry keeps for one upstream.
type upstream struct {
	*published.Upstream
	region fleet.Region
	// crashID identifies the crash of this start of the upstream.
	crashID poison.CrashID
	// version overrides the published version if a response named a newer one.
	version int64
	// inFlight counts the requests in flight from this entry, promptTokens the
	// prompt tokens of those whose response has not begun.
	inFlight     int
	promptTokens int
	// otherLoad is the number of requests from elsewhere that a response
	// reported at otherLoadAt. peerLoad is the load that other entries reported
	// at peerLoadAt.
	otherLoad   int
	otherLoadAt time.Time
	peerLoad    peering.Load
	peerLoadAt  time.Time
	// stated is the number of requests that a response stated last, at statedAt.
	stated   int
	statedAt time.Time
	// speed is what the upstream stated about its speed; nil if nothing.
	speed *speed
	// speedEffect is the effect of stated speeds at its service.
	speedEffect *speedEffect
	// failures counts the failures since the last success, up to maxDoublings.
	failures int
	// consecutiveErrors counts the server errors since the last success.
	consecutiveErrors int
	avoidUntil        time.Time
	// refusals counts the pauses for unexplained refusals since the last success, up to
	// maxDoublings; refusedUntil is the end of the last one. statedFull is whether the last
	// response stated that all slots are in use, which explains a refusal.
	refusals     int
	refusedUntil time.Time
	statedFull   bool
	// aliveAt is when the upstream last responded to a request. silentAt is when an
	// attempt there was last found silent that began after the silence before; zero once
	// the upstream has responded since. trial is set while one request tries out whether
	// it still is silent.
	aliveAt, silentAt time.Time
	trial             bool
	// resumedAt is when the upstream last responded after it had been found silent.
	resumedAt time.Time
	// acceptedAt is when the upstream last responded to a request that it accepted; zero if
	// it has refused one since. hedges counts the hedges of this entry there.
	acceptedAt time.Time
	hedges     int
	// coldUntil is when the upstream can take its full load.
	coldUntil time.Time
	// coldSends counts the sends in the last coldWindow. It is empty for services
	// without a limit for cold upstreams.
	coldSends quota.Window
	// recentSends counts the sends that other entries may not know yet.
	recentSends quota.Window
	// meanFirstByte is a moving average of the time to the first byte.
	meanFirstByte time.Duration
	// notice is the latest loader notice for its address.
	notice receivedNotice
	// updateSlot is when the upstream begins to load the target weights.
	updateSlot time.Time
	// affinity determines whether the upstream is a neighbor; see ownership.go.
	affinity float64
	// offset shifts the order of the entries in which remainders are divided.
	offset int
	// usable, neighbor, ownSlots and ownFraction are set by divideSlots: whether
	// the upstream counts, and how much of it this entry owns. knownFraction is the
	// same among all known entries, also those that are silent.
	usable        bool
	neighbor      bool
	ownSlots      int
	ownFraction   float64
	knownFraction float64
	// limit is this entry's part of the limit that the upstream states; nil if it
	// states none.
	limit *limitPart
	// coldLimit is how many requests this entry may send in each coldWindow, if
	// the service has a limit for cold upstreams.
	coldLimit int
}

// load estimates the number of requests at the upstream. Reports of other
// entries are preferred, as they are newer than the report of a response.
func (u *upstream) load(now time.Time) int {
	switch {
	case now.Sub(u.peerLoadAt) <= peerLoadTTL:
		return u.inFlight + u.peerLoad.Requests
	case now.Sub(u.otherLoadAt) <= loadReportTTL:
		return u.inFlight + u.otherLoad
	default:
		return u.inFlight
	}
}

// unreportedSends estimates how many requests other entries have sent to the
// upstream and not reported yet. It assumes that they see the same loads as this
// entry and send at the same rate in proportion to their shares, apart from what
// this entry owns.
func (u *upstream) unreportedSends(now time.Time, s *service) float64 {
	recent := u.recentSends.Count(now, peerLoadDelay)
	slotShare := s.share.High - s.share.Low
	if slotShare <= 0 || now.Sub(s.shareAt) > peerLoadTTL {
		return 0
	}
	return float64(recent) * min(1/slotShare-1, maxUnreportedFactor) * (1 - u.ownFraction)
}

// pendingPromptTokens estimates the prompt tokens that the upstream has yet to
// read.
func (u *upstream) pendingPromptTokens(now time.Time) int {
	if now.Sub(u.peerLoadAt) <= peerLoadTTL {
		return u.promptTokens + u.peerLoad.PromptTokens
	}
	return u.promptTokens
}

// observe applies what a response of the upstream reported.
func (u *upstream) observe(now time.Time, o Observation) {
	u.acceptedAt = now
	if o.Refused {
		u.acceptedAt = time.Time{}
	}
	u.statedFull = o.Load != nil && u.full(o.Load)
	if o.Load != nil {
		u.observeLoad(now, o.Load)
	}
	if o.Version > u.version {
		u.version = o.Version
	}
	if o.ColdRemaining > 0 {
		u.coldUntil = now.Add(o.ColdRemaining)
	}
}

// full reports whether a load states that all slots are in use. The published slots count if
// the load does not state them readably.
func (u *upstream) full(l *Load) bool {
	slots := l.Slots
	if slots == UnknownCount {
		slots = u.Slots
	}
	return l.Running != UnknownCount && l.Running >= slots
}

// observeLoad applies the load that a response reported. A load without all its counts
// never lowers the estimate of the requests from elsewhere.
func (u *upstream) observeLoad(now time.Time, l *Load) {
	u.observeSpeed(now, l.Slowdown)
	n, all := l.requests()
	u.stated, u.statedAt = n, now
	others := max(n-u.inFlight, 0)
	if !all && (others == 0 || others <= u.otherLoad && now.Sub(u.otherLoadAt) <= loadReportTTL) {
		return
	}
	u.otherLoad, u.otherLoadAt = others, now
}

func (u *upstream) recordSuccess(firstByte time.Duration) {
	u.failures, u.consecutiveErrors, u.refusals = 0, 0, 0
	u.avoidUntil, u.refusedUntil = time.Time{}, time.Time{}
	if firstByte > 0 {
		u.meanFirstByte += (firstByte - u.meanFirstByte) / averageDivisor
	}
}

// recordServerError counts a server error. A single one may be the fault of its
// request, so only consecutive errors count as a failure.
func (u *upstream) recordServerError(now time.Time) {
	u.consecutiveErrors++
	if u.consecutiveErrors >= maxConsecutiveErrors {
		u.recordFailure(now)
	}
}

func (u *upstream) recordFailure(now time.Time) {
	u.pause(now, min(minAvoidance<<u.failures, maxAvoidance))
	u.failures = min(u.failures+1, maxDoublings)
}

// recordRefusal avoids the upstream after it refused a request that was sent at a time. An
// upstream that refuses all requests has no load, so that each request would go there first.
// Requests that were on their way together are refused for one reason and count once.
func (u *upstream) recordRefusal(now, sentAt time.Time) {
	if u.statedFull {
		u.pause(now, refusalPause)
		return
	}
	if sentAt.Before(u.refusedUntil) {
		return
	}
	d := min(refusalPause<<u.refusals, maxAvoidance)
	u.refusals = min(u.refusals+1, maxDoublings)
	u.refusedUntil = now.Add(d)
	u.pause(now, d)
}

// pause avoids the upstream for at least d.
func (u *upstream) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(u.avoidUntil) {
		u.avoidUntil = until
	}
}

// endPause ends a pause that was not caused by failures.
func (u *upstream) endPause(now time.Time) {
	if u.failures == 0 && now.Before(u.avoidUntil) {
		u.avoidUntil = now
	}
}

// superseded reports whether the engine at the address has restarted since this
// upstream was published. The published upstream of the earlier start expires soon.
// A notice is ignored after noticeTTL, because the address may belong to another
// upstream by then.
func (u *upstream) superseded(now time.Time) bool {
	return u.StartTime > 0 && u.notice.StartTime > u.StartTime && now.Sub(u.notice.receivedAt) < noticeTTL
}

// servedVersion returns the version of a model that the upstream serves with all
// layers, or 0. A loader notice is newer than the published version.
func (u *upstream) servedVersion(now time.Time, model string, layers int) int64 {
	if u.superseded(now) {
		return 0
	}
	v := published.CompleteVersion(u.Copies, model, layers)
	if n := &u.notice; n.StartTime == u.StartTime && n.Model == model && v <= n.PreviousVersion {
		switch {
		case n.Version > 0:
			return max(n.Version, u.version)
		case now.Sub(n.receivedAt) < maxSwitchTime:
			return 0
		}
	}
	if v == 0 {
		return 0
	}
	return max(v, u.version)
}

// withinColdLimit reports whether one more request keeps within this entry's limit
// for a cold upstream. The limit applies at all times, not only until coldUntil.
func (u *upstream) withinColdLimit(now time.Time) bool {
	return u.coldSends.Count(now, coldWindow) < u.coldLimit
}

// recordSend counts a request as in flight. Its time is kept for the limit on
// cold upstreams if limited is set.
func (u *upstream) recordSend(now time.Time, limited bool) {
	u.inFlight++
	u.recentSends.Add(now)
	if limited {
		u.coldSends.Add(now)
	}
}
