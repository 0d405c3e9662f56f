// Package peering exchanges state between the gateways of a deployment: which
// gateways are alive, how many requests each has in flight at every upstream,
// the evidence about requests that crash upstreams, and the revision of each
// gateway's view. The table performs no I/O. Messages are small and may be lost;
// each replaces the previous one of its sender.
package peering

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ratelimit"
)

const (
	// SendInterval is the time between two rounds of messages to peers.
	SendInterval = 100 * time.Millisecond
	// loadTTL is how long the loads and demands of a peer's last message are
	// used. memberTTL is how long a peer that sends nothing still counts as one
	// of the processes that share the budgets.
	loadTTL   = 500 * time.Millisecond
	memberTTL = 20 * time.Second
	// settleTime is how long after its start a process owns nothing of the budgets that
	// are divided by demand: until then it does not know all of its peers, and those
	// that start at the same moment would each take a part that is too large.
	settleTime = 1500 * time.Millisecond
	// liveTTL is how long a peer that sends nothing is still reported as alive.
	liveTTL = 1500 * time.Millisecond
	// Fanout is the maximum number of peers that one message is sent to, apart
	// from a probe. If there are more, messages go to them in rotation.
	// maxMembers is the maximum number of known peers.
	Fanout     = 12
	maxMembers = 1024
	// maxPeersPerMessage is the maximum number of peer addresses in one message.
	maxPeersPerMessage = 24
)

// Load is the load that one process puts on an upstream.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int `json:"n"`
	// PromptTokens is the number of prompt tokens of the requests that have no
	// answer yet.
	PromptTokens int `json:"p,omitempty"`
}

// Demand describes the requests for a service that arrive and wait at one
// process.
type Demand struct {
	PerSecond float64 `json:"r"`
	// Steady is a mean over a longer time that changes in steps. Budgets are divided by
	// it, because each change moves parts of them.
	Steady  float64 `json:"q,omitempty"`
	Waiting int     `json:"w,omitempty"`
	// Refused is true if requests were recently refused for lack of capacity.
	Refused bool `json:"f,omitempty"`
}

// Message is the state that a process sends to its peers. The JSON names are
// short because it is sent often.
type Message struct {
	// From is the address at which the sender receives messages, Control the
	// address at which its view can be read.
	From    string       `json:"from"`
	Control string       `json:"control"`
	Region  fleet.Region `json:"region"`
	// Number and Era are the revision of the newest item in the sender's view. Builds that
	// know no eras send and read the number alone.
	Number uint64 `json:"rev"`
	Era    uint64 `json:"era,omitempty"`
	// Config is the version of the configuration in the sender's view.
	Config int64 `json:"cfg,omitempty"`
	// Loads is the sender's load at each upstream.
	Loads map[fleet.InstanceID]Load `json:"loads,omitempty"`
	// Demands is the demand for each service at the sender.
	Demands map[fleet.Service]Demand `json:"demands,omitempty"`
	// Crashes is evidence about crashes of upstreams. Unlike the other fields, a
	// message without it does not replace that of earlier messages.
	Crashes []poison.Report `json:"crashes,omitempty"`
	// Limits is what the sender knows of the limits that upstreams state. A message
	// without it does not replace that of earlier messages.
	Limits []ratelimit.Report `json:"limits,omitempty"`
	// Versions says how long the sender has known the desired versions, by model.
	Versions map[string][]published.VersionAge `json:"versions,omitempty"`
	// Leaving is set if the sender is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Peers lists addresses of processes that the sender has received messages
	// from.
	Peers []string `json:"peers,omitempty"`
	// Engine is set in messages from a loader, which sets no other field.
	Engine *EngineNotice `json:"engine,omitempty"`
}

// maxPerSecond and maxCount bound the rates and the counts in a message. Larger ones,
// and negative ones, would distort the decisions of the receiver.
const (
	maxPerSecond = 1e6
	maxCount     = 1 << 30
)

// Revision returns the revision of the newest item in the sender's view.
func (m *Message) Revision() published.Revision { return published.NewRevision(m.Era, m.Number) }

// Valid reports whether all numbers in the message are possible.
func (m *Message) Valid() bool {
	for _, l := range m.Loads {
		if !validCount(l.Requests) || !validCount(l.PromptTokens) {
			return false
		}
	}
	for _, d := range m.Demands {
		if !validRate(d.PerSecond) || !validRate(d.Steady) || !validCount(d.Waiting) {
			return false
		}
	}
	for i := range m.Limits {
		if !m.Limits[i].Valid() {
			return false
		}
	}
	for i := range m.Crashes {
		if !m.Crashes[i].Valid() {
			return false
		}
	}
	return published.ValidAges(m.Versions)
}

func validRate(perSecond float64) bool { return perSecond >= 0 && perSecond <= maxPerSecond }

func validCount(n int) bool { return n >= 0 && n <= maxCount }

// EngineNotice is a loader's notice to gateways about its engine. It arrives
// before the engine's own registration changes.
type EngineNotice struct {
	Address string `json:"address"`
	// StartTime distinguishes starts of the engine.
	StartTime int64  `json:"born"`
	Model     string `json:"model"`
	// Version is the version that the engine serves; 0 while it loads new
	// weights.
	Version int64 `json:"version"`
	// PreviousVersion is the version that the engine served before.
	PreviousVersion int64 `json:"was"`
}

// member is the last known state of one peer.
type member struct {
	address  string
	control  string
	region   fleet.Region
	lastSeen time.Time
	revision published.Revision
	config   int64
	leaving  bool
	loads    map[fleet.InstanceID]Load
	demands  map[fleet.Service]Demand
}

// Table holds the known peers of one process. It is owned by one duty.
type Table struct {
	self    string
	region  fleet.Region
	members map[string]*member
	seeds   []string
	round   int
	// random picks the peers that messages name. Its sequence depends on the address
	// alone, so that a simulation can be repeated.
	random *rand.Rand
	// startedAt is when shares were first asked for.
	startedAt time.Time
}

// NewTable returns a table for the process at address self in a region. It finds
// its peers through the seed addresses.
func NewTable(self string, region fleet.Region, seeds []string) *Table {
	return &Table{
		self: self, region: region, members: map[string]*member{}, seeds: seeds,
		random: rand.New(rand.NewPCG(fleet.RendezvousWeight("peers", self), 0)),
	}
}

// SetSeeds replaces the seed addresses.
func (t *Table) SetSeeds(seeds []string) { t.seeds = seeds }

// Record updates the table from a message. Unknown peers that the message lists
// are added.
func (t *Table) Record(now time.Time, m *Message) {
	if m.From == t.self || m.From == "" {
		return
	}
	p := t.getOrAdd(m.From)
	if p == nil {
		return
	}
	p.control, p.region, p.lastSeen, p.revision, p.config = m.Control, m.Region, now, m.Revision(), m.Config
	p.loads, p.demands, p.leaving = m.Loads, m.Demands, m.Leaving
	for _, a := range m.Peers {
		if a != t.self {
			t.getOrAdd(a)
		}
	}
}

// getOrAdd returns the peer at an address and adds it if it is unknown. It
// returns nil if the peer is unknown and the table full.
func (t *Table) getOrAdd(address string) *member {
	p := t.members[address]
	if p == nil && len(t.members) < maxMembers {
		p = &member{address: address}
		t.members[address] = p
	}
	return p
}

// Expire removes peers whose last message is older than memberTTL.
func (t *Table) Expire(now time.Time) {
	for a, p := range t.members {
		if !p.lastSeen.IsZero() && now.Sub(p.lastSeen) > memberTTL {
			delete(t.members, a)
		}
	}
}

// Processes returns the number of processes that share the budgets, including
// this one.
func (t *Table) Processes() int {
	n := 1
	for _, p := range t.members {
		if !p.lastSeen.IsZero() {
			n++
		}
	}
	return n
}

// Position returns how many of the other processes stand before this one in the
// order of their regions and addresses.
func (t *Table) Position() int {
	n := 0
	for a, p := range t.members {
		if !p.lastSeen.IsZero() && t.before(a, p) {
			n++
		}
	}
	return n
}

// before reports whether a peer stands before this process in the order of all
// processes.
func (t *Table) before(address string, p *member) bool {
	return cmp.Or(cmp.Compare(p.region, t.region), cmp.Compare(address, t.self)) < 0
}

// PeerLoads returns the sum of the peers' loads at each upstream.
func (t *Table) PeerLoads(now time.Time) map[fleet.InstanceID]Load {
	sum := map[fleet.InstanceID]Load{}
	for _, p := range t.members {
		if now.Sub(p.lastSeen) > loadTTL {
			continue
		}
		for id, l := range p.loads {
			previous := sum[id]
			sum[id] = Load{Requests: previous.Requests + l.Requests, PromptTokens: previous.PromptTokens + l.PromptTokens}
		}
	}
	return sum
}

// Share is a process's share of the slots of a service, in proportion to the
// requests that arrive at each process. It is the interval from Low to High;
// the intervals of all processes, in the order of their regions and addresses,
// divide the range from 0 to 1.
type Share struct {
	Low, High float64
	// KnownLow and KnownHigh are the same, but the range is divided among all
	// processes that sent a message within memberTTL, with their last demands. A
	// process that is cut off from the others keeps to its part. Both are 0 for a
	// process that has just started, or that has seeds and heard of no peer.
	KnownLow, KnownHigh float64
	// Contended is true if requests wait or are refused at other processes.
	Contended bool
}

// Shares returns this process's share of each service, given its own demand.
func (t *Table) Shares(now time.Time, own map[fleet.Service]Demand) map[fleet.Service]Share {
	out := map[fleet.Service]Share{}
	settled := t.settled(now)
	// Sums of fractions depend on their order.
	addresses := slices.Sorted(maps.Keys(t.members))
	for name, mine := range own {
		var live, known division
		var s Share
		for _, a := range addresses {
			p := t.members[a]
			d, ok := p.demands[name]
			if !ok || now.Sub(p.lastSeen) > memberTTL {
				continue
			}
			before := t.before(a, p)
			known.add(d.PerSecond, before)
			if now.Sub(p.lastSeen) > loadTTL {
				continue
			}
			live.add(d.PerSecond, before)
			s.Contended = s.Contended || d.Waiting > 0 || d.Refused
		}
		if live.all+mine.PerSecond > 0 {
			s.Low, s.High = live.interval(mine.PerSecond)
			if settled {
				s.KnownLow, s.KnownHigh = known.interval(mine.PerSecond)
			}
			out[name] = s
		}
	}
	return out
}

// settled reports whether this process has had the time to hear of its peers, and did
// if there are any. After memberTTL without a message the others count as gone.
func (t *Table) settled(now time.Time) bool {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	hasSeeds := slices.ContainsFunc(t.seeds, func(s string) bool { return s != t.self })
	age := now.Sub(t.startedAt)
	return !hasSeeds || t.Processes() > 1 && age >= settleTime || age >= memberTTL
}

// Sharer is another process that shares budgets.
type Sharer struct {
	Name    string
	Region  fleet.Region
	Demands map[fleet.Service]Demand
}

// Sharing lists the processes that share budgets with this one.
type Sharing struct {
	// Self is the name of this process among the others.
	Self string
	// Peers are those that sent a message within memberTTL and are not leaving, with
	// their last demands, so that a process that is cut off from the others keeps to its
	// part. They are sorted by name.
	Peers []Sharer
	// Settled is false for a process that has just started, is leaving, or has seeds and
	// heard of no peer. It owns nothing.
	Settled bool
}

// Sharing returns the processes that share budgets with this one.
func (t *Table) Sharing(now time.Time) Sharing {
	out := Sharing{Self: t.self, Settled: t.settled(now)}
	for _, a := range slices.Sorted(maps.Keys(t.members)) {
		if p := t.members[a]; !p.lastSeen.IsZero() && now.Sub(p.lastSeen) <= memberTTL && !p.leaving {
			out.Peers = append(out.Peers, Sharer{Name: a, Region: p.region, Demands: p.demands})
		}
	}
	return out
}

// division sums up the demands of peers: of all of them, and of those that stand
// before this process in the order.
type division struct{ all, before float64 }

func (d *division) add(perSecond float64, before bool) {
	d.all += perSecond
	if before {
		d.before += perSecond
	}
}

// interval returns the part of the range from 0 to 1 that this process's demand
// covers.
func (d *division) interval(own float64) (low, high float64) {
	all := d.all + own
	return d.before / all, (d.before + own) / all
}

// Member is a live process.
type Member struct {
	Control string       `json:"control"`
	Region  fleet.Region `json:"region"`
}

// Live returns the peers that sent a message within liveTTL.
func (t *Table) Live(now time.Time) []Member {
	var out []Member
	for _, p := range t.members {
		if now.Sub(p.lastSeen) <= liveTTL {
			out = append(out, Member{Control: p.control, Region: p.region})
		}
	}
	return out
}

// ViewSource is a peer whose view is worth reading.
type ViewSource struct {
	// Control is the address at which the view can be read.
	Control string
	// After is the revision after which changes are missing.
	After published.Revision
}

// PeerWithNewerView returns the peer with the newest view, if that view is newer than a
// revision, or else one with a later version of the configuration: after a restore of the
// store, a process that has just started may have an older one under the same revision.
func (t *Table) PeerWithNewerView(now time.Time, revision published.Revision, config int64) (ViewSource, bool) {
	var newest, ahead *member
	for _, p := range t.members {
		if now.Sub(p.lastSeen) > loadTTL || p.control == "" {
			continue
		}
		if p.revision > revision && (newest == nil || p.revision > newest.revision) {
			newest = p
		}
		if p.config > config && (ahead == nil || p.config > ahead.config) {
			ahead = p
		}
	}
	switch {
	case newest != nil:
		return ViewSource{Control: newest.control, After: revision}, true
	case ahead != nil:
		return ViewSource{Control: ahead.control}, true
	}
	return ViewSource{}, false
}

// Targets returns the peers that the next message is sent to: up to Fanout peers
// that sent a message within memberTTL and, every roundsPerProbe messages, one
// of the seeds and peers that did not.
func (t *Table) Targets(now time.Time) []string {
	var active, rest []string
	for a, p := range t.members {
		if now.Sub(p.lastSeen) <= memberTTL && !p.lastSeen.IsZero() {
			active = append(active, a)
		} else {
			rest = append(rest, a)
		}
	}
	for _, s := range t.seeds {
		if s != t.self && t.members[s] == nil {
			rest = append(rest, s)
		}
	}
	slices.Sort(active)
	slices.Sort(rest)
	t.round++
	out := rotate(active, t.round*Fanout)
	out = out[:min(len(out), Fanout)]
	if len(rest) > 0 && t.round%roundsPerProbe == 0 {
		out = append(out, rest[(t.round/roundsPerProbe)%len(rest)])
	}
	return out
}

// RoundTime returns the time in which a process has sent a message to each of a number of
// peers.
func RoundTime(peers int) time.Duration {
	return SendInterval * time.Duration((peers+Fanout-1)/Fanout)
}

// roundsPerProbe is the number of messages for each probe of a seed or of a peer
// that sent no message within memberTTL.
const roundsPerProbe = 2

// rotate returns the list rotated by a number of elements if it is longer than
// Fanout, and unchanged otherwise.
func rotate(list []string, by int) []string {
	if len(list) <= Fanout {
		return list
	}
	by %= len(list)
	return append(slices.Clone(list[by:]), list[:by]...)
}

// KnownPeers returns the addresses of up to maxPeersPerMessage peers that have
// sent a message; others each time, if there are more.
func (t *Table) KnownPeers() []string {
	var out []string
	for a, p := range t.members {
		if !p.lastSeen.IsZero() {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	if len(out) > maxPeersPerMessage {
		t.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxPeersPerMessage]
	}
	return out
}
