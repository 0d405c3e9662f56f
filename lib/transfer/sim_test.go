package transfer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/fleet"
)

// simEvent is a call at a virtual time.
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

// simAgent is one core with its uploads.
type simAgent struct {
	id      fleet.InstanceID
	region  fleet.Region
	core    *Core
	root    fleet.Digest
	start   time.Time
	done    time.Time
	dead    bool
	corrupt bool
	stalled bool
	// liar claims every chunk and has none.
	liar      bool
	retaining bool
	uploads   int
	// wasted counts requests that failed, without refusals for the moment.
	wasted int
}

// sim runs many cores on a virtual clock. A chunk takes chunkTime.
type sim struct {
	now       time.Time
	queue     simQueue
	seq       int
	rng       *rand.Rand
	limits    Limits
	chunks    int
	chunkTime time.Duration
	agents    []*simAgent
	byID      map[fleet.InstanceID]*simAgent
	hasStore  bool
	storeBusy bool
	draws     int
	crossed   map[fleet.Region]int
}

const simUploads = 4

func newSim(agents, chunks int, regions ...fleet.Region) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(7, 11)), chunks: chunks,
		chunkTime: 50 * time.Millisecond, byID: map[fleet.InstanceID]*simAgent{}, crossed: map[fleet.Region]int{},
		limits: Limits{
			Peers: 8, Drawers: 4, Draws: 2, PerSource: 2, InFlight: 6, TakeoverDelay: time.Second,
			StallAfter: 2 * time.Second, HaveEvery: 50 * time.Millisecond, HaveIdle: 500 * time.Millisecond,
			SettleWait: 300 * time.Millisecond, Copies: 3,
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

func (s *sim) at(delay time.Duration, run func()) {
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

// begin starts a transfer of a root at an agent.
func (s *sim) begin(a *simAgent, root fleet.Digest, have Set) {
	a.root, a.start, a.done = root, s.now, time.Time{}
	a.core = New(Start{
		Self: Peer{ID: a.id, Region: a.region}, StoreRegion: "north", Root: root,
		Chunks: s.chunks, HasStore: s.hasStore, Have: have,
	}, s.limits, s.now)
	core := a.core
	s.at(0, func() { s.step(a, core, PeersChanged{Peers: s.members(root)}) })
	s.tick(a, core)
}

func (s *sim) beginAll(root fleet.Digest) {
	for _, a := range s.agents {
		a.root = root
	}
	for _, a := range s.agents {
		s.begin(a, root, nil)
	}
}

func (s *sim) tick(a *simAgent, core *Core) {
	if a.core != core || a.dead || !a.done.IsZero() {
		return
	}
	s.step(a, core, Tick{})
	s.at(20*time.Millisecond, func() { s.tick(a, core) })
}

// step feeds an event unless the agent died or began another transfer.
func (s *sim) step(a *simAgent, core *Core, e Event) {
	if a.core != core || a.dead {
		return
	}
	for _, action := range core.Step(s.now, e) {
		switch action := action.(type) {
		case RequestHave:
			s.at(2*time.Millisecond, func() { s.step(a, core, s.have(a, action)) })
		case RequestChunk:
			s.request(a, core, action)
		case Complete:
			a.done = s.now
		}
	}
}

func (s *sim) have(a *simAgent, q RequestHave) Event {
	p := s.byID[q.Peer]
	switch {
	case p.dead || p.stalled:
		return HaveFailed{Peer: q.Peer}
	case p.core == nil || p.root != a.root:
		return HaveFailed{Peer: q.Peer, Absent: true}
	case p.liar:
		all := NewSet(s.chunks)
		for i := range all {
			all[i] = ^uint64(0)
		}
		return HaveReceived{Peer: q.Peer, Update: HaveUpdate{Full: true, Have: all}}
	}
	return HaveReceived{Peer: q.Peer, Update: HaveUpdate{Full: true, Have: p.core.Have(), Retaining: p.retaining}}
}

func (s *sim) request(a *simAgent, core *Core, q RequestChunk) {
	end := func(o Outcome, after time.Duration, finally func()) {
		s.at(after, func() {
			finally()
			if o != Verified && o != Busy {
				a.wasted++
			}
			s.step(a, core, ChunkEnded{Index: q.Index, Source: q.Source, Outcome: o})
		})
	}
	nothing := func() {}
	if q.Source.Kind != FromPeer {
		if s.storeBusy && q.Source.Kind == FromStore {
			end(Busy, time.Millisecond, nothing)
			return
		}
		s.draws++
		end(Verified, s.chunkTime, nothing)
		return
	}
	p := s.byID[q.Source.Peer]
	switch {
	case p.stalled:
		end(Failed, s.limits.StallAfter, nothing)
	case p.dead:
		end(Failed, time.Millisecond, nothing)
	case p.corrupt:
		end(Corrupt, s.chunkTime, nothing)
	case p.core == nil || p.root != a.root || p.liar || !p.core.Have().Has(q.Index):
		end(Absent, time.Millisecond, nothing)
	case p.uploads >= simUploads:
		end(Busy, time.Millisecond, nothing)
	default:
		if p.region != a.region {
			s.crossed[a.region]++
		}
		p.uploads++
		took := s.chunkTime/2 + time.Duration(s.rng.Int64N(int64(s.chunkTime)))
		end(Verified, took, func() { p.uploads-- })
	}
}

// run carries out events until all live agents are done or the time is over.
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
		if !a.dead && !a.liar && !a.corrupt && !a.stalled && a.core != nil && a.done.IsZero() {
			return false
		}
	}
	return true
}
