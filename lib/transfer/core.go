package transfer

import (
	"strconv"
	"time"

	"rattanspur.example/lib/fleet"
)

// Options are the parameters of a transfer.
type Options struct {
	Self Peer
	// StoreRegion is the region of the store and the origin.
	StoreRegion fleet.Region
	Root        fleet.Digest
	Chunks      int
	// HasStore is set if the store is queried before the origin.
	HasStore bool
	// Have holds the chunks that are already verified; nil means none.
	Have Set
}

// Core is the state of the transfer of one root to one agent.
type Core struct {
	options   Options
	limits    Limits
	startedAt time.Time
	placement Placement
	have      Set
	inFlight  Set
	requests  map[int]pendingRequest
	// overdue holds requests in flight whose chunks may be requested again.
	overdue  map[overdueRequest]pendingRequest
	missing  int
	complete bool

	peers    map[fleet.InstanceID]*peerState
	followed []*peerState
	sources  map[Source]*sourceState
	// holders is the number of trusted peers of the region that have each chunk.
	holders []uint16

	fetches fetchState
	// lastProgress is when the last chunk was verified; at first the start time.
	lastProgress time.Time
	// chunkTime is the moving average of the time that a chunk takes.
	chunkTime time.Duration
	// rotation counts the picks, so that equal peers and chunks take turns.
	rotation int
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	source Source
	sentAt time.Time
}

// New returns a transfer without peers; PeersChanged adds them.
func New(o Options, limits Limits, now time.Time) *Core {
	c := &Core{
		options:      o,
		limits:       limits,
		startedAt:    now,
		lastProgress: now,
		have:         o.Have.clip(o.Chunks),
		inFlight:     NewSet(o.Chunks),
		requests:     map[int]pendingRequest{},
		overdue:      map[overdueRequest]pendingRequest{},
		peers:        map[fleet.InstanceID]*peerState{},
		sources:      map[Source]*sourceState{},
		holders:      make([]uint16, o.Chunks),
		fetches:      fetchState{retainedTries: map[int]int{}, availableSince: make([]time.Time, o.Chunks)},
	}
	c.missing = o.Chunks - c.have.Count()
	c.setPeers(nil)
	return c
}

// Have returns the verified chunks. The caller must not change the set.
func (c *Core) Have() Set { return c.have }

// Missing returns the number of chunks that are not verified yet.
func (c *Core) Missing() int { return c.missing }

// Placement returns which agents fetch chunks for which region.
func (c *Core) Placement() *Placement { return &c.placement }

// Step handles one event and returns the actions to carry out.
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
	c.markOverdue(now)
	actions := c.requestMissing(now, nil)
	actions = c.requestFromPeers(now, actions)
	actions = c.requestRetained(now, actions)
	return c.requestHaves(now, actions)
}

// chunkEnded handles the end of a request. It ignores ends that do not belong to
// a request in flight.
func (c *Core) chunkEnded(now time.Time, e ChunkEnded) {
	pending, ok := c.takeRequest(e)
	if !ok {
		return
	}
	s := c.source(e.Source)
	s.inFlight--
	if e.Outcome == Verified {
		c.verified(now, e.Index, now.Sub(pending.sentAt))
	}
	advertised := c.advertises(e)
	if e.Outcome == Absent {
		c.removeAdvertised(e)
	}
	if e.Outcome == Busy && !advertised && c.fetches.retainedTries[e.Index] > 0 {
		c.fetches.retainedTries[e.Index]--
	}
	if e.Outcome != Absent || advertised {
		s.requestEnded(now, e)
	}
	p := c.peers[e.Source.Peer]
	if p == nil {
		return
	}
	if e.Outcome != Failed {
		// The peer answers, so queries that failed before were a pause.
		p.queryFailures = 0
	}
	if s.distrusted() {
		c.dropHaves(p)
	}
}

func (c *Core) verified(now time.Time, index int, took time.Duration) {
	if !c.have.Has(index) {
		c.have.Add(index)
		c.missing--
	}
	c.lastProgress = now
	if c.chunkTime == 0 {
		c.chunkTime = took
	}
	c.chunkTime += (took - c.chunkTime) / chunkTimeSmoothing
}

// chunkTimeSmoothing is the divisor of the moving average of the chunk time.
const chunkTimeSmoothing = 8

// request records a request in flight and returns its action.
func (c *Core) request(now time.Time, index int, s Source) Action {
	c.requests[index] = pendingRequest{source: s, sentAt: now}
	c.inFlight.Add(index)
	c.source(s).inFlight++
	return RequestChunk{Index: index, Source: s}
}

func (c *Core) needed(index int) bool { return !c.have.Has(index) && !c.inFlight.Has(index) }

// requestFromPeers fills the free request slots with chunks that peers of the
// region hold. It prefers the least busy peer, and among its chunks the rarest.
func (c *Core) requestFromPeers(now time.Time, actions []Action) []Action {
	for c.inFlightCount() < c.limits.MaxInFlight {
		p, index := c.pickPeerChunk(now)
		if p == nil {
			break
		}
		actions = append(actions, c.request(now, index, p.source()))
	}
	return actions
}

func (c *Core) pickPeerChunk(now time.Time) (*peerState, int) {
	c.rotation++
	seedersOnly := c.seederAvailable(now)
	var best *peerState
	bestIndex, bestLoad := 0, c.limits.MaxInFlightPerPeer
	for k := range c.followed {
		p := c.followed[(k+c.rotation)%len(c.followed)]
		if p.remote || (seedersOnly && !p.Seeder) || !c.usable(now, p.source(), c.limits.MaxInFlightPerPeer) {
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

// seederAvailable reports whether a seeder of the own region answers and chunks
// arrive. Then the narrow links of the other peers are not used. A seeder itself
// requests chunks from any peer, since two seeders would otherwise wait for each
// other.
func (c *Core) seederAvailable(now time.Time) bool {
	if c.options.Self.Seeder || now.Sub(c.lastProgress) >= c.takeoverDelay(now) {
		return false
	}
	for _, p := range c.followed {
		if p.Seeder && !p.remote && p.answered && p.queryFailures == 0 && !now.Before(c.source(p.source()).avoidUntil) {
			return true
		}
	}
	return false
}

// rarest returns the needed chunk of a peer that the fewest peers hold. Ties are
// broken by the distance from an offset that differs for each agent and call, so
// that agents do not all request the same chunk.
func (c *Core) rarest(from Set) (int, bool) {
	best, found := 0, false
	words := len(from)
	if words == 0 {
		return 0, false
	}
	offset := int(fleet.RendezvousWeight(string(c.options.Self.ID), strconv.Itoa(c.rotation)) % uint64(words*wordBits))
	distance := 0
	for k := range words {
		w := (k + offset/wordBits) % words
		forEachBit(from[w]&^c.have[w]&^c.inFlight[w], w*wordBits, func(i int) {
			d := (i - offset + words*wordBits) % (words * wordBits)
			if !found || c.holders[i] < c.holders[best] || (c.holders[i] == c.holders[best] && d < distance) {
				best, distance, found = i, d, true
			}
		})
	}
	return best, found
}

// takeoverDelay returns the takeover delay for the measured speed of the links:
// at least TakeoverDelay, and several times the longest time of a chunk.
func (c *Core) takeoverDelay(now time.Time) time.Duration {
	longest := c.chunkTime
	for _, pending := range c.requests {
		longest = max(longest, now.Sub(pending.sentAt))
	}
	return max(c.limits.TakeoverDelay, takeoverChunkTimes*longest)
}

// takeoverChunkTimes is the shortest takeover delay as a multiple of the time of
// one chunk.
const takeoverChunkTimes = 4
