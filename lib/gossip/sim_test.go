package gossip

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// peer is a core with the state that its process would hold.
type peer struct {
	*Core
	self     fleet.Instance
	accepted config.Stamp
	down     bool
	paused   bool
	reads    int
	sent     int
}

// network simulates the network and the configuration service. It delivers
// actions between cores immediately, with loss, partitions and some delays.
type network struct {
	rand        *rand.Rand
	now         time.Time
	peers       map[fleet.InstanceID]*peer
	ids         []fleet.InstanceID
	lossRate    float64
	partitioned func(a, b fleet.InstanceID) bool
	service     config.Stamp
	// serviceDown makes reads fail; reads counts the reads of the last second.
	serviceDown bool
	reads       int
	list        []fleet.Instance
	revision    uint64
	depth       int
	delayed     []func()
}

func instance(i, regions int) fleet.Instance {
	region := fmt.Sprintf("r%d", i%regions)
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("p%04d", i)), Role: fleet.RoleAgent,
		Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Region: fleet.Region(region),
		FailureDomain: fleet.FailureDomain(region), State: fleet.StateLive,
	}
}

func newNetwork(seed uint64, n, regions int) *network {
	w := &network{
		rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, peers: map[fleet.InstanceID]*peer{},
		partitioned: func(_, _ fleet.InstanceID) bool { return false }, revision: 1,
	}
	for i := range n {
		m := instance(i, regions)
		w.ids = append(w.ids, m.ID)
		w.list = append(w.list, m)
		w.start(m)
	}
	return w
}

// start starts a process with empty memory; it reads the list.
func (w *network) start(m fleet.Instance) {
	p := &peer{self: m}
	p.Core = New(Options{
		Self: m, Incarnation: fleet.Incarnation(w.now.UnixMilli() + 1), Now: w.now, StartWait: 2 * time.Second,
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	})
	p.SetInstanceList(w.now, w.list, w.revision)
	w.peers[m.ID] = p
}

// step advances the time by one second.
func (w *network) step() {
	w.now = w.now.Add(HeartbeatInterval)
	w.reads = 0
	delayed := w.delayed
	w.delayed = nil
	for _, f := range delayed {
		f()
	}
	for _, id := range w.ids {
		p := w.peers[id]
		if p.down || p.paused {
			continue
		}
		if p.Watching() {
			w.read(p)
			p.SetInstanceList(w.now, w.list, w.revision)
		}
		w.execute(p, p.Tick(w.now))
	}
}

func (w *network) execute(p *peer, actions []Action) {
	w.depth++
	defer func() { w.depth-- }()
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.exchange(p, a)
		case Fetch:
			w.fetch(p, a)
		case Read:
			w.reads++
			w.read(p)
		}
	}
}

func (w *network) reaches(p, q *peer) bool {
	return q != nil && !q.down && !q.paused && !w.partitioned(p.self.ID, q.self.ID) && w.rand.Float64() >= w.lossRate
}

func (w *network) exchange(p *peer, a Send) {
	p.sent++
	q := w.peers[a.To.ID]
	if !w.reaches(p, q) {
		p.ExchangeFailed(w.now, a.To.ID)
		return
	}
	deliver := func() {
		answer, actions := q.HandleHeartbeat(w.now, &a.Message)
		w.execute(q, actions)
		if w.reaches(q, p) {
			w.execute(p, p.HandleAnswer(w.now, &answer))
		} else {
			p.ExchangeFailed(w.now, a.To.ID)
		}
	}
	// Some messages are delayed to the next second, after newer ones.
	if w.depth > 20 || w.rand.IntN(4) == 0 {
		w.delayed = append(w.delayed, deliver)
		return
	}
	deliver()
}

func (w *network) fetch(p *peer, a Fetch) {
	for _, q := range w.peers {
		if q.self.Address == a.Address && w.reaches(p, q) && q.accepted == a.Stamp {
			w.accept(p, a.Stamp)
			return
		}
	}
	p.FetchFailed(a.Stamp)
}

func (w *network) accept(p *peer, s config.Stamp) {
	if s.Compare(p.accepted) > 0 {
		p.accepted = s
		w.execute(p, p.ConfigAccepted(w.now, s))
	}
}

func (w *network) read(p *peer) {
	p.reads++
	if w.serviceDown {
		return
	}
	p.ServiceRead(w.now)
	if !w.service.IsZero() {
		w.accept(p, w.service)
	}
}

// watchers returns the number of running watchers in each region.
func (w *network) watchers() map[fleet.Region]int {
	counts := map[fleet.Region]int{}
	for _, p := range w.peers {
		if !p.down && p.Watching() {
			counts[p.self.Region]++
		}
	}
	return counts
}

func stamp(g uint64) config.Stamp {
	return config.Stamp{Generation: fleet.Generation(g), Digest: fleet.Digest{byte(g)}}
}
