package transfer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/fleet"
)

// simEvent is a function call scheduled at a virtual time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(v any)   { *q = append(*q, v.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// simAgent is a simulated agent.
type simAgent struct {
	id          fleet.InstanceID
	region      fleet.Region
	core        *Core
	root        fleet.Digest
	startedAt   time.Time
	completedAt time.Time
	dead        bool
	corrupt     bool
	stalled     bool
	// liesAboutHaves is set for an agent that reports every chunk and has none.
	liesAboutHaves bool
	retaining      bool
	uploads        int
	// wasted counts the requests without a chunk, except for busy responses.
	wasted int
}

// sim runs many cores on a virtual clock. A chunk takes about chunkTime.
type sim struct {
	now           time.Time
	queue         simQueue
	seq           int
	rng           *rand.Rand
	limits        Limits
	chunks        int
	chunkTime     time.Duration
	agents        []*simAgent
	byID          map[fleet.InstanceID]*simAgent
	hasStore      bool
	storeBusy     bool
	originFetches int
	crossRegion   map[fleet.Region]int
}

// maxSimUploads is the number of uploads at which a simulated agent is busy.
const maxSimUploads = 4

func newSim(agents, chunks int, regions ...fleet.Region) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(7, 11)), chunks: chunks,
		chunkTime: 50 * time.Millisecond, byID: map[fleet.InstanceID]*simAgent{}, crossRegion: map[fleet.Region]int{},
		limits: Limits{
			FollowedPeers: 8, Fetchers: 4, MaxFetches: 2, MaxInFlightPerPeer: 2, MaxInFlight: 6, TakeoverDelay: time.Second,
			StallTimeout: 2 * time.Second, HaveInterval: 50 * time.Millisecond, HaveBusyInterval: 500 * time.Millisecond,
			MaxHaveWait: 300 * time.Millisecond, Copies: 3,
		},
	}
	for i := range agents {
		s.add(fmt.Sprintf("agent-%d", i), regions[i%len(regions)])
	}
	return s
}

func (s *sim) add(id string, region fleet.Region) *simAgent {
	a := &simAgent{id: fleet.InstanceID(id), region: region}
	s.agents = append(s.agents, a)
	s.byID[a.id] = a
	return a
}

// schedule runs a function after a delay of virtual time.
func (s *sim) schedule(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(delay), s.seq, run})
}

func (s *sim) members(root fleet.Digest) []Peer {
	var list []Peer
	for _, a := range s.agents {
		if a.root == root {
			list = append(list, Peer{ID: a.id, Region: a.region})
		}
	}
	return list
}

// startTransfer starts the transfer of a root at an agent.
func (s *sim) startTransfer(a *simAgent, root fleet.Digest, have Set) {
	a.root, a.startedAt, a.completedAt = root, s.now, time.Time{}
	a.core = New(Options{
		Self: Peer{ID: a.id, Region: a.region}, StoreRegion: "north", Root: root,
		Chunks: s.chunks, HasStore: s.hasStore, Have: have,
	}, s.limits, s.now)
	core := a.core
	s.schedule(0, func() { s.step(a, core, PeersChanged{Peers: s.members(root)}) })
	s.tick(a, core)
}

func (s *sim) startAll(root fleet.Digest) {
	for _, a := range s.agents {
		a.root = root
	}
	for _, a := range s.agents {
		s.startTransfer(a, root, nil)
	}
}

func (s *sim) tick(a *simAgent, core *Core) {
	if a.core != core || a.dead || !a.completedAt.IsZero() {
		return
	}
	s.step(a, core, Tick{})
	s.schedule(20*time.Millisecond, func() { s.tick(a, core) })
}

// step passes an event to a core unless the agent died or started another
// transfer.
func (s *sim) step(a *simAgent, core *Core, e Event) {
	if a.core != core || a.dead {
		return
	}
	for _, action := range core.Step(s.now, e) {
		switch action := action.(type) {
		case RequestHave:
			s.schedule(2*time.Millisecond, func() { s.step(a, core, s.answerHave(a, action)) })
		case RequestChunk:
			s.answerRequest(a, core, action)
		case Complete:
			a.completedAt = s.now
		}
	}
}

// answerHave returns the result of a have-set query of agent a.
func (s *sim) answerHave(a *simAgent, q RequestHave) Event {
	p := s.byID[q.Peer]
	switch {
	case p.dead || p.stalled:
		return HaveFailed{Peer: q.Peer}
	case p.core == nil || p.root != a.root:
		return HaveFailed{Peer: q.Peer, Absent: true}
	case p.liesAboutHaves:
		all := NewSet(s.chunks)
		for i := range all {
			all[i] = ^uint64(0)
		}
		return HaveReceived{Peer: q.Peer, Update: HaveUpdate{Full: true, Have: all}}
	}
	return HaveReceived{Peer: q.Peer, Update: HaveUpdate{Full: true, Have: p.core.Have(), Retaining: p.retaining}}
}

// answerRequest schedules the result of a chunk request of agent a.
func (s *sim) answerRequest(a *simAgent, core *Core, q RequestChunk) {
	end := func(o Outcome, after time.Duration, finally func()) {
		s.schedule(after, func() {
			finally()
			if o != Verified && o != Busy {
				a.wasted++
			}
			s.step(a, core, ChunkEnded{Index: q.Index, Source: q.Source, Outcome: o})
		})
	}
	noop := func() {}
	if q.Source.Kind != FromPeer {
		if s.storeBusy && q.Source.Kind == FromStore {
			end(Busy, time.Millisecond, noop)
			return
		}
		s.originFetches++
		end(Verified, s.chunkTime, noop)
		return
	}
	p := s.byID[q.Source.Peer]
	switch {
	case p.stalled:
		end(Failed, s.limits.StallTimeout, noop)
	case p.dead:
		end(Failed, time.Millisecond, noop)
	case p.corrupt:
		end(Corrupt, s.chunkTime, noop)
	case p.core == nil || p.root != a.root || p.liesAboutHaves || !p.core.Have().Has(q.Index):
		end(Absent, time.Millisecond, noop)
	case p.uploads >= maxSimUploads:
		end(Busy, time.Millisecond, noop)
	default:
		if p.region != a.region {
			s.crossRegion[a.region]++
		}
		p.uploads++
		took := s.chunkTime/2 + time.Duration(s.rng.Int64N(int64(s.chunkTime)))
		end(Verified, took, func() { p.uploads-- })
	}
}

// run processes events until all live agents are done. It reports false if the
// time limit passes first.
func (s *sim) run(limit time.Duration) bool {
	end := s.now.Add(limit)
	for len(s.queue) > 0 && s.now.Before(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if s.finished() {
			return true
		}
	}
	return s.finished()
}

func (s *sim) finished() bool {
	for _, a := range s.agents {
		if !a.dead && !a.liesAboutHaves && !a.corrupt && !a.stalled && a.core != nil && a.completedAt.IsZero() {
			return false
		}
	}
	return true
}
