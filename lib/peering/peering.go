// Package peering exchanges state between the gateways of a deployment: which
// gateways are alive, how many requests each has in flight at every upstream,
// the evidence about requests that crash upstreams, and the revision of each
// gateway's view. The table performs no I/O. Messages are small and may be lost;
// each replaces the previous one of its sender.
package peering

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
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
	// liveTTL is how long a peer that sends nothing is still reported as alive. A peer
	// may pause for 2 s, and the seeder beside it is another process.
	liveTTL = 3 * time.Second
	// maxRoundDelay is the longest time between two rounds that counts as the time of
	// the process itself, and maxOwnPause the longest pause of its own after which what
	// peers reported before is used on: they have not divided its part of the budgets
	// yet.
	maxRoundDelay = 3 * SendInterval
	maxOwnPause   = 5 * time.Second
	// Fanout is the maximum number of peers that one message is sent to, apart
	// from a probe. If there are more, messages go to them in rotation.
	// maxMembers is the maximum number of known peers.
	Fanout     = 12
	maxMembers = 1024
	// maxPeersPerMessage is the maximum number of peer addresses in one message.
	maxPeersPerMessage = 24
)

// member is the last known state of one peer.
type member struct {
	address  string
	control  string
	region   fleet.Region
	lastSeen time.Time
	// recordedAt is when the last message came. Unlike lastSeen, a pause of this process
	// does not move it.
	recordedAt time.Time
	revision   published.Revision
	config     int64
	leaving    bool
	loads      map[fleet.InstanceID]Load
	demands    map[fleet.Service]Demand
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
	// stated is the greatest number of processes that a peer stated.
	stated int
	// roundAt is when Expire was last called.
	roundAt time.Time
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
	p.loads, p.demands, p.leaving, p.recordedAt = m.Loads, m.Demands, m.Leaving, now
	t.stated = max(t.stated, m.Processes)
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

// Expire begins a round: it removes peers whose last message is older than memberTTL. A
// pause of this process does not count as silence of its peers, whose messages wait to be
// read.
func (t *Table) Expire(now time.Time) {
	t.skipOwnPause(now)
	for a, p := range t.members {
		if !p.lastSeen.IsZero() && now.Sub(p.lastSeen) > memberTTL {
			delete(t.members, a)
		}
	}
}

// skipOwnPause takes a pause of this process since the last round out of the time since
// the last message of each peer.
func (t *Table) skipOwnPause(now time.Time) {
	last := t.roundAt
	t.roundAt = now
	pause := now.Sub(last) - SendInterval
	if last.IsZero() || now.Sub(last) <= maxRoundDelay || pause > maxOwnPause {
		return
	}
	for _, p := range t.members {
		if !p.lastSeen.IsZero() && !p.lastSeen.After(last) {
			p.lastSeen = p.lastSeen.Add(pause)
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

// PeerLoads returns the sum of the peers' loads at each upstream, and the speed that it
// stated last to one of them.
func (t *Table) PeerLoads(now time.Time) map[fleet.InstanceID]Load {
	sum := map[fleet.InstanceID]Load{}
	for _, p := range t.members {
		if now.Sub(p.lastSeen) > loadTTL {
			continue
		}
		for id, l := range p.loads {
			previous := sum[id]
			sum[id] = Load{
				Requests: previous.Requests + l.Requests, PromptTokens: previous.PromptTokens + l.PromptTokens,
				Speed: previous.Speed.younger(l.Speed.aged(now.Sub(p.recordedAt))),
			}
		}
	}
	return sum
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
// of the seeds and peers that did not. A process that has just started sends to up to Fanout
// of those in each round, so that it knows its peers before it shares budgets with them.
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
	switch {
	case !t.discovered(now):
		rest = rotate(rest, t.round*Fanout)
		out = append(out, rest[:min(len(rest), Fanout)]...)
	case len(rest) > 0 && t.round%roundsPerProbe == 0:
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
