package transfer

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// peerState is what is known of a followed peer.
type peerState struct {
	Peer
	// remote peers are asked only for chunks that the own region lacks.
	remote bool

	have      Set
	epoch     uint64
	seq       int
	retaining bool

	asking   bool
	askedAt  time.Time
	answered bool
	failures int
	// most is the greatest number of chunks it said it had; lastNews is when
	// that grew. A peer cannot prolong its turn by naming the same chunks again.
	most     int
	lastNews time.Time
}

func (p *peerState) source() Source { return Source{Peer: p.ID} }

// setPeers takes in the members and keeps what is known of followed ones.
func (c *Core) setPeers(peers []Peer) {
	c.place = Place(c.start.Self, peers, c.start.StoreRegion, c.start.Root, c.limits.Drawers)
	next := map[fleet.InstanceID]*peerState{}
	c.followed = c.followed[:0]
	for _, p := range c.place.followed(c.start.Self, c.limits.Peers) {
		state := c.peers[p.ID]
		if state == nil {
			state = &peerState{remote: p.Region != c.start.Self.Region, lastNews: c.begun}
		}
		state.Peer = p
		next[p.ID] = state
		c.followed = append(c.followed, state)
	}
	for id, p := range c.peers {
		if next[id] == nil {
			c.forget(p)
		}
	}
	c.peers = next
	c.setDraws()
}

func (c *Core) haveReceived(now time.Time, e HaveReceived) {
	p := c.peers[e.Peer]
	if p == nil {
		return
	}
	p.asking = false
	p.answered = true
	p.failures = 0
	if c.shunned(now, p) {
		return
	}
	u := e.Update
	next := p.have
	switch {
	case u.Full:
		next = u.Have.clip(c.start.Chunks)
	case u.Epoch == p.epoch:
		next = p.have.clip(c.start.Chunks)
		for _, i := range u.Added {
			if i >= 0 && i < c.start.Chunks {
				next.Add(i)
			}
		}
	}
	c.setHave(p, next)
	c.offer(now, p)
	p.epoch, p.seq, p.retaining = u.Epoch, u.Seq, u.Retaining
	if n := next.Count(); n > p.most {
		p.most = n
		p.lastNews = now
	}
}

// offer notes when chunks could first be drawn from another region.
func (c *Core) offer(now time.Time, p *peerState) {
	if !p.remote {
		return
	}
	for w, bits := range p.have {
		each(bits, w*wordBits, func(i int) {
			if c.draws.offered[i].IsZero() {
				c.draws.offered[i] = now
			}
		})
	}
}

// shunned reports whether a peer's have-set is not taken in for now: its
// chunks would otherwise count as present in the region and not be drawn.
func (c *Core) shunned(now time.Time, p *peerState) bool {
	s := c.source(p.source())
	return s.banned() || (s.distrusted() && now.Before(s.avoid))
}

// setHave replaces a peer's have-set and keeps the count of holders.
func (c *Core) setHave(p *peerState, next Set) {
	if !p.remote {
		for w := range (c.start.Chunks + wordBits - 1) / wordBits {
			before, after := word(p.have, w), word(next, w)
			each(after&^before, w*wordBits, func(i int) { c.holders[i]++ })
			each(before&^after, w*wordBits, func(i int) { c.holders[i]-- })
		}
	}
	p.have = next
}

func word(s Set, w int) uint64 {
	if w >= len(s) {
		return 0
	}
	return s[w]
}

// forget drops a peer's have-set; the next answer is a full one.
func (c *Core) forget(p *peerState) {
	c.setHave(p, nil)
	p.epoch, p.seq = 0, 0
}

// claims reports whether the source said that it has the chunk.
func (c *Core) claims(e ChunkEnded) bool {
	p := c.peers[e.Source.Peer]
	return p != nil && p.have.Has(e.Index)
}

// denied takes a chunk out of the set of a peer that does not hold it.
func (c *Core) denied(e ChunkEnded) {
	p := c.peers[e.Source.Peer]
	if p == nil || !p.have.Has(e.Index) {
		return
	}
	next := p.have.clip(c.start.Chunks)
	next.Remove(e.Index)
	c.setHave(p, next)
}

func (c *Core) haveFailed(e HaveFailed) {
	p := c.peers[e.Peer]
	if p == nil {
		return
	}
	p.asking = false
	p.answered = true
	if !e.Absent {
		p.failures = min(p.failures+1, maxBackoff)
	}
}

// maxBackoff bounds the doublings of the time between questions to a peer
// that does not answer.
const maxBackoff = 4

// askHaves asks followed peers for news.
func (c *Core) askHaves(now time.Time, actions []Action) []Action {
	every := c.haveInterval()
	for _, p := range c.followed {
		if p.asking || (p.answered && now.Sub(p.askedAt) < every<<p.failures) || c.shunned(now, p) {
			continue
		}
		p.asking = true
		p.askedAt = now
		actions = append(actions, RequestHave{Peer: p.ID, Epoch: p.epoch, Seq: p.seq})
	}
	return actions
}

// haveInterval is the time between two questions to a peer: short while no
// chunk is known to request, long while every request is in use. In between
// it is the time of a chunk, since a peer has no news more often.
func (c *Core) haveInterval() time.Duration {
	switch {
	case len(c.flights) >= c.limits.InFlight:
		return c.limits.HaveIdle
	case c.knowsWanted():
		return min(max(c.chunkTime, c.limits.HaveEvery), c.limits.HaveIdle)
	default:
		return c.limits.HaveEvery
	}
}

// knowsWanted reports whether a peer of the region has a wanted chunk, though
// it may not be usable for the moment.
func (c *Core) knowsWanted() bool {
	for _, p := range c.followed {
		if p.remote {
			continue
		}
		for w, bits := range p.have {
			if bits&^c.have[w]&^c.inFlight[w] != 0 {
				return true
			}
		}
	}
	return false
}
