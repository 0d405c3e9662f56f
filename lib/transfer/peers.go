package transfer

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// peerState is the known state of a followed peer.
type peerState struct {
	Peer
	// remote is set for peers of other regions. They are queried only for chunks
	// that the own region lacks.
	remote bool

	have      Set
	epoch     uint64
	seq       int
	retaining bool

	queryPending  bool
	queriedAt     time.Time
	answered      bool
	queryFailures int
	// maxChunks is the largest number of chunks that the peer reported, and
	// lastIncrease is when it last grew. A peer cannot delay a takeover by
	// reporting the same chunks again.
	maxChunks    int
	lastIncrease time.Time
}

func (p *peerState) source() Source { return Source{Peer: p.ID} }

// setPeers applies a new member list and keeps the state of peers that stay
// followed.
func (c *Core) setPeers(peers []Peer) {
	c.placement = NewPlacement(c.options.Self, peers, c.options.StoreRegion, c.options.Root, c.limits.Fetchers)
	next := map[fleet.InstanceID]*peerState{}
	c.followed = c.followed[:0]
	for _, p := range c.placement.followed(c.options.Self, c.limits.FollowedPeers) {
		state := c.peers[p.ID]
		if state == nil {
			state = &peerState{remote: p.Region != c.options.Self.Region, lastIncrease: c.startedAt}
		}
		state.Peer = p
		next[p.ID] = state
		c.followed = append(c.followed, state)
	}
	for id, p := range c.peers {
		if next[id] == nil {
			c.dropHaves(p)
		}
	}
	c.peers = next
	c.assignChunks()
}

func (c *Core) haveReceived(now time.Time, e HaveReceived) {
	p := c.peers[e.Peer]
	if p == nil {
		return
	}
	p.queryPending = false
	p.answered = true
	p.queryFailures = 0
	if c.ignored(now, p) {
		return
	}
	u := e.Update
	next := p.have
	switch {
	case u.Full:
		next = u.Have.clip(c.options.Chunks)
	case u.Epoch == p.epoch:
		next = p.have.clip(c.options.Chunks)
		for _, i := range u.Added {
			if i >= 0 && i < c.options.Chunks {
				next.Add(i)
			}
		}
	}
	c.setHave(p, next)
	c.recordAvailable(now, p)
	p.epoch, p.seq, p.retaining = u.Epoch, u.Seq, u.Retaining
	if n := next.Count(); n > p.maxChunks {
		p.maxChunks = n
		p.lastIncrease = now
	}
}

// recordAvailable records when the chunks of a remote peer were first available.
func (c *Core) recordAvailable(now time.Time, p *peerState) {
	if !p.remote {
		return
	}
	for w, bits := range p.have {
		forEachBit(bits, w*wordBits, func(i int) {
			if c.fetches.availableSince[i].IsZero() {
				c.fetches.availableSince[i] = now
			}
		})
	}
}

// ignored reports whether a peer's have-set is ignored for now. Otherwise its
// chunks would count as present in the region and would not be fetched.
func (c *Core) ignored(now time.Time, p *peerState) bool {
	s := c.source(p.source())
	return s.banned() || (s.distrusted() && now.Before(s.avoidUntil))
}

// setHave replaces a peer's have-set and updates the number of holders.
func (c *Core) setHave(p *peerState, next Set) {
	if !p.remote {
		for w := range (c.options.Chunks + wordBits - 1) / wordBits {
			before, after := word(p.have, w), word(next, w)
			forEachBit(after&^before, w*wordBits, func(i int) { c.holders[i]++ })
			forEachBit(before&^after, w*wordBits, func(i int) { c.holders[i]-- })
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

// dropHaves drops a peer's have-set; the next query asks for the full set.
func (c *Core) dropHaves(p *peerState) {
	c.setHave(p, nil)
	p.epoch, p.seq = 0, 0
}

// advertises reports whether the source's have-set contains the chunk.
func (c *Core) advertises(e ChunkEnded) bool {
	p := c.peers[e.Source.Peer]
	return p != nil && p.have.Has(e.Index)
}

// removeAdvertised removes a chunk from the have-set of a peer that turned out
// not to hold it.
func (c *Core) removeAdvertised(e ChunkEnded) {
	p := c.peers[e.Source.Peer]
	if p == nil || !p.have.Has(e.Index) {
		return
	}
	next := p.have.clip(c.options.Chunks)
	next.Remove(e.Index)
	c.setHave(p, next)
}

func (c *Core) haveFailed(e HaveFailed) {
	p := c.peers[e.Peer]
	if p == nil {
		return
	}
	p.queryPending = false
	p.answered = true
	if !e.Absent {
		p.queryFailures = min(p.queryFailures+1, maxQueryDoublings)
	}
}

// maxQueryDoublings bounds the doublings of the query interval for a peer that
// does not answer.
const maxQueryDoublings = 4

// requestHaves queries the have-sets of followed peers that are due.
func (c *Core) requestHaves(now time.Time, actions []Action) []Action {
	interval := c.haveInterval()
	for _, p := range c.followed {
		if p.queryPending || (p.answered && now.Sub(p.queriedAt) < interval<<p.queryFailures) || c.ignored(now, p) {
			continue
		}
		p.queryPending = true
		p.queriedAt = now
		actions = append(actions, RequestHave{Peer: p.ID, Epoch: p.epoch, Seq: p.seq})
	}
	return actions
}

// haveInterval returns the time between two have-set queries to a peer. It is
// short while no chunk is known to request and long while every request slot is
// in use. In between it is the time of one chunk, since a peer's have-set does
// not change more often.
func (c *Core) haveInterval() time.Duration {
	switch {
	case c.inFlightCount() >= c.limits.MaxInFlight:
		return c.limits.HaveBusyInterval
	case c.neededChunkKnown():
		return min(max(c.chunkTime, c.limits.HaveInterval), c.limits.HaveBusyInterval)
	default:
		return c.limits.HaveInterval
	}
}

// neededChunkKnown reports whether a peer of the region has a needed chunk, even
// if the peer is not usable at the moment.
func (c *Core) neededChunkKnown() bool {
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
