package transfer

import (
	"math/bits"
	"sort"
	"strconv"
	"time"

	"rattanspur.example/lib/fleet"
)

// Core is the state of one transfer of one root at one agent.
type Core struct {
	self      Peer
	storeHere bool
	limits    Limits
	root      string
	chunks    int

	have     []uint64
	missing  int
	complete bool
	started  time.Time
	inFlight map[int]Source
	bySource map[Source]int
	peers    map[fleet.InstanceID]*peerState
	order    []fleet.InstanceID
	avoid    map[Source]time.Time
}

type peerState struct {
	Peer
	have    []uint64
	askedAt time.Time
	asking  bool
}

// avoidFor is how long a source that failed or sent corrupt bytes is passed over.
const avoidFor = 2 * time.Second

// busyFor is how long a source that refused for now is passed over.
const busyFor = 20 * time.Millisecond

// New returns a transfer of a root with the given number of chunks.
// storeRegion is where store and origin are.
func New(self Peer, storeRegion fleet.Region, root fleet.Digest, chunks int, limits Limits, now time.Time) *Core {
	return &Core{
		self:      self,
		storeHere: self.Region == storeRegion,
		limits:    limits,
		root:      root.String(),
		chunks:    chunks,
		have:      make([]uint64, words(chunks)),
		missing:   chunks,
		started:   now,
		inFlight:  map[int]Source{},
		bySource:  map[Source]int{},
		peers:     map[fleet.InstanceID]*peerState{},
		avoid:     map[Source]time.Time{},
	}
}

func words(chunks int) int { return (chunks + 63) / 64 }

func has(set []uint64, i int) bool {
	return i/64 < len(set) && set[i/64]&(1<<(i%64)) != 0
}

// Have returns the have-set; the caller must not change it.
func (c *Core) Have() []uint64 { return c.have }

// Missing returns the number of chunks that are not verified yet.
func (c *Core) Missing() int { return c.missing }

// Step feeds one event and returns what to do.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case PeersChanged:
		c.setPeers(e.Peers)
	case HaveReceived:
		if p := c.peers[e.Peer]; p != nil {
			p.have = e.Have
			p.asking = false
		}
	case HaveFailed:
		if p := c.peers[e.Peer]; p != nil {
			p.asking = false
		}
	case ChunkEnded:
		c.chunkEnded(now, e)
	case Tick:
	}
	return c.actions(now)
}

func (c *Core) setPeers(peers []Peer) {
	next := map[fleet.InstanceID]*peerState{}
	for _, p := range peers {
		if p.ID == c.self.ID {
			continue
		}
		if old := c.peers[p.ID]; old != nil {
			next[p.ID] = old
			continue
		}
		next[p.ID] = &peerState{Peer: p}
	}
	c.peers = next
	c.order = c.order[:0]
	for id := range next {
		c.order = append(c.order, id)
	}
	sort.Slice(c.order, func(i, j int) bool {
		return fleet.Rank(string(c.self.ID), string(c.order[i])) > fleet.Rank(string(c.self.ID), string(c.order[j]))
	})
}

func (c *Core) chunkEnded(now time.Time, e ChunkEnded) {
	if c.inFlight[e.Index] != e.Source {
		return
	}
	delete(c.inFlight, e.Index)
	c.bySource[e.Source]--
	switch e.Outcome {
	case Verified:
		if !has(c.have, e.Index) {
			c.have[e.Index/64] |= 1 << (e.Index % 64)
			c.missing--
		}
	case Busy:
		c.avoid[e.Source] = now.Add(busyFor)
	case Corrupt, Failed:
		c.avoid[e.Source] = now.Add(avoidFor)
	}
}

func (c *Core) actions(now time.Time) []Action {
	if c.missing == 0 {
		if c.complete {
			return nil
		}
		c.complete = true
		return []Action{Complete{}}
	}
	actions := c.askHaves(now)
	return append(actions, c.requestChunks(now)...)
}

func (c *Core) askHaves(now time.Time) []Action {
	var actions []Action
	for _, id := range c.followed() {
		p := c.peers[id]
		if p.asking || now.Sub(p.askedAt) < c.limits.HaveEvery {
			continue
		}
		p.asking = true
		p.askedAt = now
		actions = append(actions, RequestHave{Peer: id})
	}
	return actions
}

func (c *Core) followed() []fleet.InstanceID {
	return c.order[:min(len(c.order), c.limits.Peers)]
}

// requestChunks requests the rarest missing chunks first, so that no chunk
// depends on a single holder for long.
func (c *Core) requestChunks(now time.Time) []Action {
	var actions []Action
	for _, i := range c.rarestMissing() {
		if len(c.inFlight) >= c.limits.InFlight {
			break
		}
		s, ok := c.pickSource(now, i)
		if !ok {
			continue
		}
		c.inFlight[i] = s
		c.bySource[s]++
		actions = append(actions, RequestChunk{Index: i, Source: s})
	}
	return actions
}

func (c *Core) rarestMissing() []int {
	holders := make([]int, c.chunks)
	for _, id := range c.followed() {
		for w, word := range c.peers[id].have {
			for word != 0 {
				if i := w*64 + bits.TrailingZeros64(word); i < c.chunks {
					holders[i]++
				}
				word &= word - 1
			}
		}
	}
	var list []int
	for i := range c.chunks {
		if _, busy := c.inFlight[i]; !busy && !has(c.have, i) {
			list = append(list, i)
		}
	}
	salt := c.self.ID
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if holders[x] != holders[y] {
			return holders[x] < holders[y]
		}
		return fleet.Rank(string(salt), strconv.Itoa(x)) < fleet.Rank(string(salt), strconv.Itoa(y))
	})
	return list
}

func (c *Core) pickSource(now time.Time, i int) (Source, bool) {
	best, found := Source{}, false
	for _, id := range c.followed() {
		s := Source{Peer: id}
		if !has(c.peers[id].have, i) || !c.usable(now, s) {
			continue
		}
		if !found || c.bySource[s] < c.bySource[best] {
			best, found = s, true
		}
	}
	if found {
		return best, true
	}
	s := Source{}
	return s, c.mayDraw(now, i) && c.usable(now, s)
}

func (c *Core) usable(now time.Time, s Source) bool {
	return c.bySource[s] < c.limits.PerSource && !now.Before(c.avoid[s])
}

// mayDraw reports whether this agent's rank for the chunk lets it draw from
// the store by now.
func (c *Core) mayDraw(now time.Time, i int) bool {
	key := c.root + "/" + strconv.Itoa(i)
	own := fleet.Rank(key, string(c.self.ID))
	ahead := 0
	for id, p := range c.peers {
		if p.Region == c.self.Region && fleet.Rank(key, string(id)) > own {
			ahead++
		}
	}
	if !c.storeHere {
		ahead++
	}
	return now.Sub(c.started) >= time.Duration(ahead)*c.limits.TakeoverDelay
}
