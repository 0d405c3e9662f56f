// Package peering keeps the gateways of a deployment informed of each other:
// who there is, how many requests each has at every upstream, which requests
// are suspected of crashing upstreams, and how new each one's view is. The
// table is pure; the messages are small, lossy, and replace each other.
package peering

import (
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

const (
	// Every is the time between two messages to each peer.
	Every = 100 * time.Millisecond
	// loadLife is how long a peer's counts are used, and memberLife how long a
	// silent peer still counts as one that shares the budgets.
	loadLife   = 500 * time.Millisecond
	memberLife = 20 * time.Second
	// liveLife is how long a silent peer is named as alive.
	liveLife = 1500 * time.Millisecond
	// Fanout bounds the peers that a process sends to, and maxMembers the
	// peers that it knows. Beyond Fanout, each message goes to the next ones
	// in turn.
	Fanout     = 12
	maxMembers = 1024
	// maxNamed bounds the peers that one message names.
	maxNamed = 24
)

// Load is what one process has at an upstream.
type Load struct {
	// Requests is the number in flight.
	Requests int `json:"n"`
	// Prompt is the number of prompt tokens of those that have no answer yet.
	Prompt int `json:"p,omitempty"`
}

// Demand is what arrives and waits at one process for a service.
type Demand struct {
	PerSecond float64 `json:"r"`
	Waiting   int     `json:"w,omitempty"`
	// Refused says that requests were refused for lack of room lately.
	Refused bool `json:"f,omitempty"`
}

// Suspect is a request that may have crashed upstreams.
type Suspect struct {
	Fingerprint string `json:"f"`
	Crashes     int    `json:"n"`
}

// Message is what a process tells its peers. The names are short because it is
// sent often.
type Message struct {
	// From is where the sender is reached for messages, Control where its view
	// can be read.
	From    string       `json:"from"`
	Control string       `json:"control"`
	Region  fleet.Region `json:"region"`
	// Revision is that of the newest item in the sender's view.
	Revision uint64 `json:"rev"`
	// Loads are the sender's requests at each upstream.
	Loads map[fleet.InstanceID]Load `json:"loads,omitempty"`
	// Demands are what arrives and waits at the sender.
	Demands  map[fleet.Service]Demand `json:"demands,omitempty"`
	Suspects []Suspect                `json:"suspects,omitempty"`
	// Peers are addresses of others that the sender heard from.
	Peers []string `json:"peers,omitempty"`
	// Engine is set in a notice of a loader, which sets nothing else.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is what a loader tells gateways of the engine beside it, ahead of what
// the engine publishes.
type Engine struct {
	Address string `json:"address"`
	// Born tells one start of the engine from another.
	Born  int64  `json:"born"`
	Model string `json:"model"`
	// Version is what the engine serves; 0 while it takes new weights.
	Version int64 `json:"version"`
	// Was is what it served before.
	Was int64 `json:"was"`
}

// member is what is known of one peer.
type member struct {
	address  string
	control  string
	region   fleet.Region
	heard    time.Time
	revision uint64
	loads    map[fleet.InstanceID]Load
	demands  map[fleet.Service]Demand
}

// Table holds the peers of one process. It is owned by one duty.
type Table struct {
	self    string
	members map[string]*member
	seeds   []string
	turn    int
}

// NewTable returns a table that knows the seeds by address.
func NewTable(self string, seeds []string) *Table {
	return &Table{self: self, members: map[string]*member{}, seeds: seeds}
}

// SetSeeds replaces the seeds.
func (t *Table) SetSeeds(seeds []string) { t.seeds = seeds }

// Heard takes in a message.
func (t *Table) Heard(now time.Time, m *Message) {
	if m.From == t.self || m.From == "" {
		return
	}
	p := t.member(m.From)
	if p == nil {
		return
	}
	p.control, p.region, p.heard, p.revision = m.Control, m.Region, now, m.Revision
	p.loads, p.demands = m.Loads, m.Demands
	for _, a := range m.Peers {
		if a != t.self {
			t.member(a)
		}
	}
}

func (t *Table) member(address string) *member {
	p := t.members[address]
	if p == nil && len(t.members) < maxMembers {
		p = &member{address: address}
		t.members[address] = p
	}
	return p
}

// Expire forgets peers that were silent for long.
func (t *Table) Expire(now time.Time) {
	for a, p := range t.members {
		if !p.heard.IsZero() && now.Sub(p.heard) > memberLife {
			delete(t.members, a)
		}
	}
}

// Processes returns the number of processes that share the budgets, this one
// included.
func (t *Table) Processes() int {
	n := 1
	for _, p := range t.members {
		if !p.heard.IsZero() {
			n++
		}
	}
	return n
}

// Others returns what peers have at each upstream.
func (t *Table) Others(now time.Time) map[fleet.InstanceID]Load {
	sum := map[fleet.InstanceID]Load{}
	for _, p := range t.members {
		if now.Sub(p.heard) > loadLife {
			continue
		}
		for id, l := range p.loads {
			had := sum[id]
			sum[id] = Load{Requests: had.Requests + l.Requests, Prompt: had.Prompt + l.Prompt}
		}
	}
	return sum
}

// Share is a process's part of the slots of a service, by the requests that
// arrive at each process. The parts of all processes follow each other from 0
// to 1 in the order of their addresses.
type Share struct {
	Low, High float64
	// Contended says that requests wait or are refused at other processes.
	Contended bool
}

// Shares returns this process's parts, given what arrives here.
func (t *Table) Shares(now time.Time, own map[fleet.Service]Demand) map[fleet.Service]Share {
	out := map[fleet.Service]Share{}
	for name, mine := range own {
		var before, all float64
		var s Share
		for a, p := range t.members {
			d, ok := p.demands[name]
			if !ok || now.Sub(p.heard) > loadLife {
				continue
			}
			all += d.PerSecond
			if a < t.self {
				before += d.PerSecond
			}
			s.Contended = s.Contended || d.Waiting > 0 || d.Refused
		}
		all += mine.PerSecond
		if all > 0 {
			s.Low, s.High = before/all, (before+mine.PerSecond)/all
			out[name] = s
		}
	}
	return out
}

// Member is a process that is alive.
type Member struct {
	Control string       `json:"control"`
	Region  fleet.Region `json:"region"`
}

// Live returns the peers that were heard from just now.
func (t *Table) Live(now time.Time) []Member {
	var out []Member
	for _, p := range t.members {
		if now.Sub(p.heard) <= liveLife {
			out = append(out, Member{Control: p.control, Region: p.region})
		}
	}
	return out
}

// Newer returns the control address of the peer with the newest view, if it is
// newer than a revision.
func (t *Table) Newer(now time.Time, revision uint64) (string, bool) {
	var best *member
	for _, p := range t.members {
		if now.Sub(p.heard) > loadLife || p.revision <= revision || p.control == "" {
			continue
		}
		if best == nil || p.revision > best.revision {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.control, true
}

// Targets returns the peers that the next message goes to: those heard from
// lately, and in turn the seeds and the others.
func (t *Table) Targets(now time.Time) []string {
	var live, rest []string
	for a, p := range t.members {
		if now.Sub(p.heard) <= memberLife && !p.heard.IsZero() {
			live = append(live, a)
		} else {
			rest = append(rest, a)
		}
	}
	for _, s := range t.seeds {
		if s != t.self && t.members[s] == nil {
			rest = append(rest, s)
		}
	}
	slices.Sort(live)
	slices.Sort(rest)
	t.turn++
	out := rotate(live, t.turn*Fanout)
	out = out[:min(len(out), Fanout)]
	if len(rest) > 0 && t.turn%probeTurns == 0 {
		out = append(out, rest[(t.turn/probeTurns)%len(rest)])
	}
	return out
}

// probeTurns is how many messages go out between two to peers that were not
// heard from.
const probeTurns = 2

func rotate(list []string, by int) []string {
	if len(list) <= Fanout {
		return list
	}
	by %= len(list)
	return append(slices.Clone(list[by:]), list[:by]...)
}

// Named returns addresses of peers for a message.
func (t *Table) Named() []string {
	var out []string
	for a, p := range t.members {
		if !p.heard.IsZero() && len(out) < maxNamed {
			out = append(out, a)
		}
	}
	return out
}
