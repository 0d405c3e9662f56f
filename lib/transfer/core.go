package transfer

import (
	"strconv"
	"time"

	"rattanspur.example/lib/fleet"
)

// Start says what a transfer begins with.
type Start struct {
	Self Peer
	// StoreRegion is where store and origin are.
	StoreRegion fleet.Region
	Root        fleet.Digest
	Chunks      int
	// HasStore says that a store is asked before the origin.
	HasStore bool
	// Have holds the chunks that are verified already; nil means none.
	Have Set
}

// Core is the state of one transfer of one root at one agent.
type Core struct {
	start    Start
	limits   Limits
	begun    time.Time
	place    Placement
	have     Set
	inFlight Set
	flights  map[int]flight
	missing  int
	complete bool

	peers    map[fleet.InstanceID]*peerState
	followed []*peerState
	sources  map[Source]*sourceState
	// holders counts, for each chunk, the trusted peers of the region that have it.
	holders []uint16

	draws     drawState
	progress  time.Time
	chunkTime time.Duration
	turn      int
}

// flight is a request in flight.
type flight struct {
	source Source
	since  time.Time
}

// New returns a transfer that knows no peers yet.
func New(s Start, limits Limits, now time.Time) *Core {
	c := &Core{
		start:    s,
		limits:   limits,
		begun:    now,
		progress: now,
		have:     s.Have.clip(s.Chunks),
		inFlight: NewSet(s.Chunks),
		flights:  map[int]flight{},
		peers:    map[fleet.InstanceID]*peerState{},
		sources:  map[Source]*sourceState{},
		holders:  make([]uint16, s.Chunks),
		draws:    drawState{guesses: map[int]int{}, offered: make([]time.Time, s.Chunks)},
	}
	c.missing = s.Chunks - c.have.Count()
	c.setPeers(nil)
	return c
}

// Have returns the verified chunks; the caller must not change the set.
func (c *Core) Have() Set { return c.have }

// Missing returns the number of chunks that are not verified yet.
func (c *Core) Missing() int { return c.missing }

// Placement returns who draws for which region.
func (c *Core) Placement() *Placement { return &c.place }

// Step feeds one event and returns what to do.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case PeersChanged:
		c.setPeers(e.Peers)
	case HaveReceived:
		c.haveReceived(now, e)
	case HaveFailed:
		c.haveFailed(e)
	case ChunkEnded:
		c.chunkEnded(now, e)
	case Tick:
	}
	return c.actions(now)
}

func (c *Core) actions(now time.Time) []Action {
	if c.missing == 0 {
		if c.complete {
			return nil
		}
		c.complete = true
		return []Action{Complete{}}
	}
	actions := c.requestDraws(now, nil)
	actions = c.requestExchange(now, actions)
	actions = c.requestRetained(now, actions)
	return c.askHaves(now, actions)
}

// chunkEnded takes in the end of a request. Ends that do not belong to a
// request in flight are ignored.
func (c *Core) chunkEnded(now time.Time, e ChunkEnded) {
	f, ok := c.flights[e.Index]
	if !ok || f.source != e.Source {
		return
	}
	delete(c.flights, e.Index)
	c.inFlight.Remove(e.Index)
	s := c.source(e.Source)
	s.inFlight--
	if e.Outcome == Verified {
		c.verified(now, e.Index, now.Sub(f.since))
	}
	claimed := c.claims(e)
	if e.Outcome == Absent {
		c.denied(e)
	}
	if e.Outcome == Busy && !claimed && c.draws.guesses[e.Index] > 0 {
		c.draws.guesses[e.Index]--
	}
	if e.Outcome != Absent || claimed {
		s.ended(now, e)
	}
	if p := c.peers[e.Source.Peer]; p != nil && s.distrusted() {
		c.forget(p)
	}
}

func (c *Core) verified(now time.Time, index int, took time.Duration) {
	if !c.have.Has(index) {
		c.have.Add(index)
		c.missing--
	}
	c.progress = now
	if c.chunkTime == 0 {
		c.chunkTime = took
	}
	c.chunkTime += (took - c.chunkTime) / chunkTimeWeight
}

// chunkTimeWeight is the weight of the past in the mean time of a chunk.
const chunkTimeWeight = 8

// request puts a chunk in flight.
func (c *Core) request(now time.Time, index int, s Source) Action {
	c.flights[index] = flight{source: s, since: now}
	c.inFlight.Add(index)
	c.source(s).inFlight++
	return RequestChunk{Index: index, Source: s}
}

func (c *Core) wanted(index int) bool { return !c.have.Has(index) && !c.inFlight.Has(index) }

// requestExchange fills the free requests with chunks that peers of the region
// hold: the least busy peer first, and of its chunks the rarest.
func (c *Core) requestExchange(now time.Time, actions []Action) []Action {
	for len(c.flights) < c.limits.InFlight {
		p, index := c.pickExchange(now)
		if p == nil {
			break
		}
		actions = append(actions, c.request(now, index, p.source()))
	}
	return actions
}

func (c *Core) pickExchange(now time.Time) (*peerState, int) {
	c.turn++
	seeded := c.seeded(now)
	var best *peerState
	bestIndex, bestLoad := 0, c.limits.PerSource
	for k := range c.followed {
		p := c.followed[(k+c.turn)%len(c.followed)]
		if p.remote || (seeded && !p.Seeder) || !c.usable(now, p.source(), c.limits.PerSource) {
			continue
		}
		load := c.source(p.source()).inFlight
		if load >= bestLoad {
			continue
		}
		if index, ok := c.rarest(p.have); ok {
			best, bestIndex, bestLoad = p, index, load
		}
	}
	return best, bestIndex
}

// seeded reports whether a seeder of the own region answers and chunks arrive.
// Then the narrow links of the other peers are spared. A seeder takes chunks
// from anyone, or two of them would wait for each other.
func (c *Core) seeded(now time.Time) bool {
	if c.start.Self.Seeder || now.Sub(c.progress) >= c.delay(now) {
		return false
	}
	for _, p := range c.followed {
		if p.Seeder && !p.remote && p.answered && p.failures == 0 && !now.Before(c.source(p.source()).avoid) {
			return true
		}
	}
	return false
}

// rarest returns the wanted chunk of a peer that the fewest peers hold. Equal
// ones are taken from a start that differs for each agent and turn, so that
// agents do not all request the same chunk.
func (c *Core) rarest(from Set) (int, bool) {
	best, found := 0, false
	words := len(from)
	if words == 0 {
		return 0, false
	}
	offset := int(fleet.RendezvousWeight(string(c.start.Self.ID), strconv.Itoa(c.turn)) % uint64(words*wordBits))
	distance := 0
	for k := range words {
		w := (k + offset/wordBits) % words
		each(from[w]&^c.have[w]&^c.inFlight[w], w*wordBits, func(i int) {
			d := (i - offset + words*wordBits) % (words * wordBits)
			if !found || c.holders[i] < c.holders[best] || (c.holders[i] == c.holders[best] && d < distance) {
				best, distance, found = i, d, true
			}
		})
	}
	return best, found
}

// delay is the takeover delay on the links as they are: a chunk must have had
// the time to arrive several times over.
func (c *Core) delay(now time.Time) time.Duration {
	longest := c.chunkTime
	for _, f := range c.flights {
		longest = max(longest, now.Sub(f.since))
	}
	return max(c.limits.TakeoverDelay, takeoverChunks*longest)
}

// takeoverChunks is the takeover delay in times of one chunk.
const takeoverChunks = 4
