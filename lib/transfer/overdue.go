package transfer

import (
	"maps"
	"slices"
	"time"
)

// overdueRequest identifies a request that takes longer than the overdue delay. Its chunk
// may be requested from another peer as well; whichever arrives first counts.
type overdueRequest struct {
	index  int
	source Source
}

// markOverdue marks the requests to peers that take too long and whose chunk another peer
// has, once there is no other chunk left to request.
func (c *Core) markOverdue(now time.Time) {
	if c.limits.OverdueDelay == 0 {
		return
	}
	delay := max(c.limits.OverdueDelay, takeoverChunkTimes*c.chunkTime)
	for _, index := range slices.Sorted(maps.Keys(c.requests)) {
		pending := c.requests[index]
		if pending.source.Kind != FromPeer || now.Sub(pending.sentAt) < delay || c.have.Has(index) {
			continue
		}
		if c.hasUnrequested() {
			return
		}
		if !c.availableElsewhere(now, index) {
			continue
		}
		delete(c.requests, index)
		c.inFlight.Remove(index)
		c.overdue[overdueRequest{index, pending.source}] = pending
	}
}

// hasUnrequested reports whether a chunk is missing for which there is no request.
func (c *Core) hasUnrequested() bool {
	overdue := map[int]bool{}
	for r := range c.overdue {
		overdue[r.index] = true
	}
	for i := range c.options.Chunks {
		if c.needed(i) && !overdue[i] {
			return true
		}
	}
	return false
}

// availableElsewhere reports whether a peer of the region has a chunk and may get one more
// request. The peer that a request in flight was sent to is not among them, since it has
// reached its limit.
func (c *Core) availableElsewhere(now time.Time, index int) bool {
	for _, p := range c.followed {
		if !p.remote && p.have.Has(index) && c.usable(now, p.source(), c.limits.MaxInFlightPerPeer) {
			return true
		}
	}
	return false
}

// takeRequest removes the request that ended and returns it; ok is false if there is none.
func (c *Core) takeRequest(e ChunkEnded) (pending pendingRequest, ok bool) {
	pending, ok = c.requests[e.Index]
	if ok && pending.source == e.Source {
		delete(c.requests, e.Index)
		c.inFlight.Remove(e.Index)
		return pending, true
	}
	key := overdueRequest{e.Index, e.Source}
	pending, ok = c.overdue[key]
	delete(c.overdue, key)
	return pending, ok
}

// inFlightCount returns the number of requests in flight.
func (c *Core) inFlightCount() int { return len(c.requests) + len(c.overdue) }
