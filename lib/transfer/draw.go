package transfer

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// drawState holds what an agent draws for its region.
type drawState struct {
	// drawers and region rank the drawers and the other agents of the region.
	drawers ranking
	region  ranking
	// own lists the chunks for which the agent ranks first, in its own order.
	own []int
	// parents holds the region from which each of own is drawn.
	parents []fleet.Region
	// next is the position in own from which chunks may still be missing.
	next int
	// scanned is when chunks of other drawers were last looked at.
	scanned time.Time
	cursor  int
	// guesses counts, for each chunk, the retaining peers that were asked.
	guesses map[int]int
	// offered is when a chunk could first be drawn from another region, so that
	// drawers take over only what the first one had the time to draw.
	offered []time.Time
}

const (
	// scanEvery is the time between two looks at the chunks of other drawers.
	scanEvery = 250 * time.Millisecond
	// scanChunks bounds one such look.
	scanChunks = 256
	// fallbackDelays is the number of takeover delays without a verified chunk
	// after which an agent draws chunks that are not its own.
	fallbackDelays = 2
	// guessesPerStep bounds the chunks whose retaining agents are looked up at once.
	guessesPerStep = 16
)

// setDraws ranks the drawers of the region for every chunk.
func (c *Core) setDraws() {
	c.draws.own, c.draws.parents, c.draws.next = nil, nil, 0
	c.draws.drawers = newRanking(c.place.Drawers())
	c.draws.region = newRanking(without(c.place.Local, c.start.Self.ID))
	if !c.place.Drawer() {
		return
	}
	for i := range c.start.Chunks {
		key := chunkHash(c.start.Root, i)
		first := c.draws.drawers.top(key, 1)
		if first[0].ID == c.start.Self.ID {
			c.draws.own = append(c.draws.own, i)
			c.draws.parents = append(c.draws.parents, c.place.parent(c.start.Self.Region, key))
		}
	}
}

// requestDraws requests chunks that no peer of the region has: in the home
// region from store or origin, elsewhere from the home region's drawers.
func (c *Core) requestDraws(now time.Time, actions []Action) []Action {
	if c.limits.Peers == 0 {
		return c.drawAll(now, actions)
	}
	if !c.settled(now) {
		return actions
	}
	for c.draws.next < len(c.draws.own) && c.have.Has(c.draws.own[c.draws.next]) {
		c.draws.next++
	}
	delay := c.delay(now)
	for k := c.draws.next; k < len(c.draws.own); k++ {
		if c.drawing() >= c.limits.Draws {
			return actions
		}
		if i := c.draws.own[k]; c.unseen(i) && !c.guessable(i) {
			actions = c.draw(now, i, c.draws.parents[k], delay, actions)
		}
	}
	return c.takeOver(now, actions)
}

// unseen reports whether a chunk is wanted and not known in the region.
func (c *Core) unseen(i int) bool { return c.wanted(i) && c.holders[i] == 0 }

// settled reports whether the followed peers said what they have, so that a
// late joiner does not draw what its region holds already.
func (c *Core) settled(now time.Time) bool {
	if now.Sub(c.begun) >= c.limits.SettleWait {
		return true
	}
	for _, p := range c.followed {
		if !p.answered {
			return false
		}
	}
	return len(c.followed) > 0
}

// drawing counts the requests in flight for chunks that the region lacks.
func (c *Core) drawing() int {
	n := 0
	for _, f := range c.flights {
		if p := c.peers[f.source.Peer]; f.source.Kind != FromPeer || (p != nil && p.remote) {
			n++
		}
	}
	return n
}

// drawAll is the transfer without peers.
func (c *Core) drawAll(now time.Time, actions []Action) []Action {
	for i := 0; i < c.start.Chunks && len(c.flights) < c.limits.Draws; i++ {
		if !c.wanted(i) {
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

// draw requests a chunk that the region lacks. Outside the home region it
// comes from the parent region, and from any region once it is offered for
// longer than the takeover delay.
func (c *Core) draw(now time.Time, i int, parent fleet.Region, delay time.Duration, actions []Action) []Action {
	if c.start.Self.Region == c.place.Home {
		if s, ok := c.pickStore(now); ok {
			return append(actions, c.request(now, i, s))
		}
		return actions
	}
	late := !c.draws.offered[i].IsZero() && now.Sub(c.draws.offered[i]) >= delay
	var best *peerState
	for _, p := range c.followed {
		if !p.remote || !p.have.Has(i) || (p.Region != parent && !late) || !c.usable(now, p.source(), c.limits.PerSource) {
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

// pickStore returns the store, or the origin while the store refuses.
func (c *Core) pickStore(now time.Time) (Source, bool) {
	store, origin := Source{Kind: FromStore}, Source{Kind: FromOrigin}
	if c.start.HasStore && !now.Before(c.source(store).avoid) {
		return store, c.usable(now, store, c.limits.Draws)
	}
	return origin, c.usable(now, origin, c.limits.Draws)
}

// takeOver draws chunks of drawers that show no progress, and, after a longer
// time without a chunk of its own, any chunk.
func (c *Core) takeOver(now time.Time, actions []Action) []Action {
	if now.Sub(c.draws.scanned) < scanEvery {
		return actions
	}
	c.draws.scanned = now
	delay := c.delay(now)
	alone := c.fallback(now, delay)
	for range min(scanChunks, c.start.Chunks) {
		if c.drawing() >= c.limits.Draws {
			break
		}
		i := c.draws.cursor
		c.draws.cursor = (i + 1) % c.start.Chunks
		switch {
		case alone && c.wanted(i):
			actions = c.drawFallback(now, i, actions)
		case c.unseen(i) && !c.guessable(i) && c.mayTakeOver(now, i, delay):
			parent := c.place.parent(c.start.Self.Region, chunkHash(c.start.Root, i))
			actions = c.draw(now, i, parent, delay, actions)
		}
	}
	return actions
}

// fallback reports whether this agent went so long without a chunk that it
// helps itself. Ranks spread the agents, so that a few try first.
func (c *Core) fallback(now time.Time, delay time.Duration) bool {
	return now.Sub(c.progress) >= delay*time.Duration(fallbackDelays+c.place.rank)
}

func (c *Core) drawFallback(now time.Time, i int, actions []Action) []Action {
	if s, ok := c.pickStore(now); ok {
		return append(actions, c.request(now, i, s))
	}
	return actions
}

// mayTakeOver reports whether every drawer ahead for a chunk is without news
// for its share of the delay.
func (c *Core) mayTakeOver(now time.Time, i int, delay time.Duration) bool {
	if !c.place.Drawer() {
		return false
	}
	order := c.draws.drawers.top(chunkHash(c.start.Root, i), maxTop)
	for r, d := range order {
		if d.ID == c.start.Self.ID {
			return true
		}
		p := c.peers[d.ID]
		if p == nil {
			continue
		}
		waited := min(now.Sub(p.lastNews), now.Sub(c.draws.offered[i]))
		if waited < delay*time.Duration(r+1) {
			return false
		}
	}
	return false
}

// guessable reports whether agents that retain their share may still hold a
// chunk that no followed peer has.
func (c *Core) guessable(i int) bool {
	return c.retainingNear() && c.draws.guesses[i] < c.limits.Copies
}

func (c *Core) retainingNear() bool {
	for _, p := range c.followed {
		if p.retaining && !p.remote {
			return true
		}
	}
	return false
}

// requestRetained asks the agents that retain a chunk by rank. They need not
// be followed, because the rank tells who they are.
func (c *Core) requestRetained(now time.Time, actions []Action) []Action {
	if len(c.flights) >= c.limits.InFlight || !c.retainingNear() {
		return actions
	}
	tried := 0
	for i := 0; i < c.start.Chunks && len(c.flights) < c.limits.InFlight; i++ {
		if !c.unseen(i) || !c.guessable(i) {
			continue
		}
		// Each try ranks the whole region, so their number is bounded.
		if tried++; tried > guessesPerStep {
			break
		}
		holders := c.draws.region.top(chunkHash(c.start.Root, i), c.limits.Copies)
		g := c.draws.guesses[i]
		if g >= len(holders) {
			c.draws.guesses[i] = c.limits.Copies
			continue
		}
		s := Source{Peer: holders[g].ID}
		if c.usable(now, s, c.limits.PerSource) {
			c.draws.guesses[i]++
			actions = append(actions, c.request(now, i, s))
		}
	}
	return actions
}
