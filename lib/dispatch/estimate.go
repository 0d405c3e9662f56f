package dispatch

import (
	"strconv"
	"time"
)

// LoadEstimate is what a decision assumes about the load of an upstream, and on what it
// rests, for logs.
type LoadEstimate struct {
	// Requests is the number of requests assumed to be at the upstream. Own are those of this
	// entry, and Peers those that the other entries report; the upstream may have stated more.
	Requests, Own, Peers int
	// Stated is the number of requests that the upstream stated last, StatedAge how long
	// ago; it has stated none if StatedAge is 0.
	Stated    int
	StatedAge time.Duration
	// Slots is the published number of slots.
	Slots int
}

// String returns the estimate as logs show it: the requests and the slots, where the
// requests come from, and what the upstream stated.
func (e LoadEstimate) String() string {
	text := strconv.Itoa(e.Requests) + "/" + strconv.Itoa(e.Slots) +
		",own:" + strconv.Itoa(e.Own) + ",peers:" + strconv.Itoa(e.Peers) + ",stated:"
	if e.StatedAge <= 0 {
		return text + "none"
	}
	return text + strconv.Itoa(e.Stated) + "@" + e.StatedAge.Round(time.Millisecond).String()
}

// estimate describes the load of the upstream as a hedge sees it now.
func (u *upstream) estimate(now time.Time) LoadEstimate {
	e := LoadEstimate{Requests: u.statedLoad(now), Own: u.inFlight, Slots: u.Slots}
	if now.Sub(u.peerLoadAt) <= peerLoadTTL {
		e.Peers = u.peerLoad.Requests
	}
	if !u.statedAt.IsZero() {
		e.Stated, e.StatedAge = u.stated, max(now.Sub(u.statedAt), 1)
	}
	return e
}
