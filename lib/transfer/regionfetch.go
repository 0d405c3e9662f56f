package transfer

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// fetchState holds what an agent fetches on behalf of its region.
type fetchState struct {
	// fetchers and region rank the fetchers and the other agents of the region.
	fetchers ranking
	region   ranking
	// own lists, in ascending order, the chunks for which the agent is the first
	// fetcher.
	own []int
	// parents holds, for each chunk of own, the region to fetch it from.
	parents []fleet.Region
	// next is the first position in own whose chunk may still be missing.
	next int
	// scannedAt is the time of the last scan of the chunks of other fetchers, and
	// cursor the chunk at which the next scan starts.
	scannedAt time.Time
	cursor    int
	// retainedTries counts, for each chunk, the retaining peers already tried.
	retainedTries map[int]int
	// availableSince is when each chunk was first available in another region. A
	// fetcher takes over only chunks that the first fetcher had time to fetch.
	availableSince []time.Time
}

const (
	// scanInterval is the time between two scans of the chunks of other fetchers.
	scanInterval = 250 * time.Millisecond
	// scanChunks is the largest number of chunks in one scan.
	scanChunks = 256
	// fallbackDelays is the number of takeover delays without a verified chunk
	// after which the agent of rank 0 fetches any chunk itself. Others wait one
	// more delay for each rank.
	fallbackDelays = 2
	// maxRetainedLookups bounds the chunks per step whose retaining agents are
	// looked up.
	maxRetainedLookups = 16
)

// assignChunks ranks the fetchers of the region for every chunk and lists the
// chunks for which this agent is the first.
func (c *Core) assignChunks() {
	c.fetches.own, c.fetches.parents, c.fetches.next = nil, nil, 0
	c.fetches.fetchers = newRanking(c.placement.Fetchers())
	c.fetches.region = newRanking(without(c.placement.Local, c.options.Self.ID))
	if !c.placement.IsFetcher() {
		return
	}
	for i := range c.options.Chunks {
		key := chunkHash(c.options.Root, i)
		first := c.fetches.fetchers.top(key, 1)
		if first[0].ID == c.options.Self.ID {
			c.fetches.own = append(c.fetches.own, i)
			c.fetches.parents = append(c.fetches.parents, c.placement.parent(c.options.Self.Region, key))
		}
	}
}

// requestMissing requests chunks that no peer of the region has: in the origin
// region from the store or origin, elsewhere from fetchers of other regions.
func (c *Core) requestMissing(now time.Time, actions []Action) []Action {
	if c.limits.FollowedPeers == 0 {
		return c.fetchAll(now, actions)
	}
	if !c.havesReceived(now) {
		return actions
	}
	for c.fetches.next < len(c.fetches.own) && c.have.Has(c.fetches.own[c.fetches.next]) {
		c.fetches.next++
	}
	delay := c.takeoverDelay(now)
	for k := c.fetches.next; k < len(c.fetches.own); k++ {
		if c.fetchesInFlight() >= c.limits.MaxFetches {
			return actions
		}
		if i := c.fetches.own[k]; c.missingInRegion(i) && !c.mayBeRetained(i) {
			actions = c.fetch(now, i, c.fetches.parents[k], delay, actions)
		}
	}
	return c.takeOver(now, actions)
}

// missingInRegion reports whether a chunk is needed and no peer of the region is
// known to have it.
func (c *Core) missingInRegion(i int) bool { return c.needed(i) && c.holders[i] == 0 }

// havesReceived reports whether the first have-set query to each followed peer
// was answered or failed, or MaxHaveWait has passed. It keeps a late joiner from
// fetching chunks that its region already has.
func (c *Core) havesReceived(now time.Time) bool {
	if now.Sub(c.startedAt) >= c.limits.MaxHaveWait {
		return true
	}
	for _, p := range c.followed {
		if !p.answered {
			return false
		}
	}
	return len(c.followed) > 0
}

// fetchesInFlight counts the requests in flight for chunks that the region lacks.
func (c *Core) fetchesInFlight() int {
	n := 0
	for _, pending := range c.requests {
		if p := c.peers[pending.source.Peer]; pending.source.Kind != FromPeer || (p != nil && p.remote) {
			n++
		}
	}
	return n
}

// fetchAll requests every chunk from the store or origin. It is used without
// peers.
func (c *Core) fetchAll(now time.Time, actions []Action) []Action {
	for i := 0; i < c.options.Chunks && len(c.requests) < c.limits.MaxFetches; i++ {
		if !c.needed(i) {
			continue
		}
		s, ok := c.pickStore(now)
		if !ok {
			break
		}
		actions = append(actions, c.request(now, i, s))
	}
	return actions
}

// fetch requests a chunk that the region lacks. In the origin region it uses the
// store or origin. In other regions it uses peers of the parent region, or of any
// region once the chunk has been available for the takeover delay.
func (c *Core) fetch(now time.Time, i int, parent fleet.Region, delay time.Duration, actions []Action) []Action {
	if c.options.Self.Region == c.placement.OriginRegion {
		if s, ok := c.pickStore(now); ok {
			return append(actions, c.request(now, i, s))
		}
		return actions
	}
	late := !c.fetches.availableSince[i].IsZero() && now.Sub(c.fetches.availableSince[i]) >= delay
	var best *peerState
	for _, p := range c.followed {
		if !p.remote || !p.have.Has(i) || (p.Region != parent && !late) || !c.usable(now, p.source(), c.limits.MaxInFlightPerPeer) {
			continue
		}
		if best == nil || c.source(p.source()).inFlight < c.source(best.source()).inFlight {
			best = p
		}
	}
	if best == nil {
		return actions
	}
	return append(actions, c.request(now, i, best.source()))
}

// pickStore returns the store, or the origin if there is no store or the store is
// avoided. The second result reports whether the source may get another request.
func (c *Core) pickStore(now time.Time) (Source, bool) {
	store, origin := Source{Kind: FromStore}, Source{Kind: FromOrigin}
	if c.options.HasStore && !now.Before(c.source(store).avoidUntil) {
		return store, c.usable(now, store, c.limits.MaxFetches)
	}
	return origin, c.usable(now, origin, c.limits.MaxFetches)
}

// takeOver scans some chunks and fetches those whose fetchers show no progress.
// After a longer time without a verified chunk it fetches any chunk.
func (c *Core) takeOver(now time.Time, actions []Action) []Action {
	if now.Sub(c.fetches.scannedAt) < scanInterval {
		return actions
	}
	c.fetches.scannedAt = now
	delay := c.takeoverDelay(now)
	fallback := c.useFallback(now, delay)
	for range min(scanChunks, c.options.Chunks) {
		if c.fetchesInFlight() >= c.limits.MaxFetches {
			break
		}
		i := c.fetches.cursor
		c.fetches.cursor = (i + 1) % c.options.Chunks
		switch {
		case fallback && c.needed(i):
			actions = c.fetchFallback(now, i, actions)
		case c.missingInRegion(i) && !c.mayBeRetained(i) && c.mayTakeOver(now, i, delay):
			parent := c.placement.parent(c.options.Self.Region, chunkHash(c.options.Root, i))
			actions = c.fetch(now, i, parent, delay, actions)
		}
	}
	return actions
}

// useFallback reports whether this agent went so long without a chunk that it
// uses the store or origin itself. The rank spreads the agents over time, so that
// only a few start at once.
func (c *Core) useFallback(now time.Time, delay time.Duration) bool {
	return now.Sub(c.lastProgress) >= delay*time.Duration(fallbackDelays+c.placement.rank)
}

func (c *Core) fetchFallback(now time.Time, i int, actions []Action) []Action {
	if s, ok := c.pickStore(now); ok {
		return append(actions, c.request(now, i, s))
	}
	return actions
}

// mayTakeOver reports whether every fetcher that ranks before this agent for a
// chunk made no progress for its multiple of the takeover delay.
func (c *Core) mayTakeOver(now time.Time, i int, delay time.Duration) bool {
	if !c.placement.IsFetcher() {
		return false
	}
	order := c.fetches.fetchers.top(chunkHash(c.options.Root, i), maxTop)
	for r, fetcher := range order {
		if fetcher.ID == c.options.Self.ID {
			return true
		}
		p := c.peers[fetcher.ID]
		if p == nil {
			continue
		}
		waited := min(now.Sub(p.lastIncrease), now.Sub(c.fetches.availableSince[i]))
		if waited < delay*time.Duration(r+1) {
			return false
		}
	}
	return false
}

// mayBeRetained reports whether an agent that retains its share may hold a chunk
// that no followed peer has.
func (c *Core) mayBeRetained(i int) bool {
	return c.regionHasRetaining() && c.fetches.retainedTries[i] < c.limits.Copies
}

func (c *Core) regionHasRetaining() bool {
	for _, p := range c.followed {
		if p.retaining && !p.remote {
			return true
		}
	}
	return false
}

// requestRetained requests chunks from the agents that retain them. The rank
// identifies these agents, so they need not be followed.
func (c *Core) requestRetained(now time.Time, actions []Action) []Action {
	if c.inFlightCount() >= c.limits.MaxInFlight || !c.regionHasRetaining() {
		return actions
	}
	tried := 0
	for i := 0; i < c.options.Chunks && c.inFlightCount() < c.limits.MaxInFlight; i++ {
		if !c.missingInRegion(i) || !c.mayBeRetained(i) {
			continue
		}
		// Each lookup ranks the whole region, so their number is bounded.
		if tried++; tried > maxRetainedLookups {
			break
		}
		holders := c.fetches.region.top(chunkHash(c.options.Root, i), c.limits.Copies)
		try := c.fetches.retainedTries[i]
		if try >= len(holders) {
			c.fetches.retainedTries[i] = c.limits.Copies
			continue
		}
		s := Source{Peer: holders[try].ID}
		if c.usable(now, s, c.limits.MaxInFlightPerPeer) {
			c.fetches.retainedTries[i]++
			actions = append(actions, c.request(now, i, s))
		}
	}
	return actions
}
