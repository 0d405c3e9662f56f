package gossip

import (
	"math/bits"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// Watchers is the number of members of each region that watch the
	// configuration service.
	Watchers = 3
	// freshBase is the age of the last read of the configuration service that
	// is normal: watches are shorter.
	freshBase = 5 * time.Second
	// readsPerSecond bounds the reads by lottery of all processes together.
	readsPerSecond = 20
	// urgentEvery is the least time between two pushes of urgent news that this
	// process heard of. When a whole failure domain leaves, every member has
	// such news; the regular heartbeats carry what came in between.
	urgentEvery = 2 * time.Second
	// probeEvery is the number of ticks between two heartbeats from a standby
	// to those ranked before it. A standby reaches all of them in turn within
	// the lifetime of a suspicion, so that a dead watcher is noticed in a fleet
	// of any size and stays replaced.
	probeEvery = 2
)

// merge takes in what a message says.
func (c *Core) merge(now time.Time, h *Heartbeat) []Action {
	c.absolve(h.From.ID)
	urgent := false
	for _, m := range append([]Member{h.From}, h.Members...) {
		_, u := c.table.Merge(m, now)
		urgent = urgent || u
	}
	for _, s := range h.Suspects {
		urgent = c.mergeSuspect(s, now) || urgent
	}
	if h.Fresh >= 0 {
		if at := now.Add(-h.Fresh); at.After(c.fresh) {
			c.fresh = at
		}
	}
	actions := c.Heard(now, h.From.Address, h.Stamp)
	if urgent && now.Sub(c.urgentAt) >= urgentEvery {
		c.urgentAt = now
		actions = append(actions, c.push(now, pushTargets)...)
	}
	return actions
}

// message returns a heartbeat with the changes that are due to be passed on.
func (c *Core) message(now time.Time) Heartbeat {
	h := Heartbeat{
		From: c.table.Self(), Stamp: c.stamp, Starting: !c.Started(now), Fresh: -1,
		Members: c.table.Updates(maxUpdates), Suspects: c.suspects.updates(maxSuspectUpdates),
	}
	if !c.fresh.IsZero() {
		h.Fresh = max(0, now.Sub(c.fresh))
	}
	return h
}

// push sends heartbeats to count distinct random members. Of several, all but
// one are in the own region, which keeps traffic off the links between regions.
func (c *Core) push(now time.Time, count int) []Action {
	members := c.table.Members()
	region := c.table.index.region
	chosen := map[int]bool{}
	var actions []Action
	add := func(place int) {
		if !chosen[place] && members[place].ID != c.table.self {
			chosen[place] = true
			actions = append(actions, Send{To: members[place], Message: c.message(now)})
		}
	}
	for range count - 1 {
		if len(region) > 0 {
			add(region[c.rand.IntN(len(region))])
		}
	}
	// Further tries replace choices of the process itself or of one chosen before.
	for tries := 0; len(actions) < min(count, len(members)-1) && tries < 4*count; tries++ {
		add(c.rand.IntN(len(members)))
	}
	return actions
}

// probe returns the member that a standby checks in this tick: one of those
// ranked before it, in turn.
func (c *Core) probe() (fleet.Instance, bool) {
	rank, place := c.rank()
	if c.ticks%probeEvery != 0 || place < Watchers || rank >= 2*Watchers {
		return fleet.Instance{}, false
	}
	turn := int(c.ticks/probeEvery) % place
	return c.table.index.ranked[turn], true
}

// neighbour returns a random other member of the region.
func (c *Core) neighbour() (fleet.Instance, bool) {
	region := c.table.index.region
	if len(region) == 0 {
		return fleet.Instance{}, false
	}
	m := c.table.index.members[region[c.rand.IntN(len(region))]]
	return m, m.ID != c.table.self
}

// rank returns the process's rank among the live members of its region that
// are not suspected, and its place among all of them. Both are maxRanked if it
// is not among the first.
func (c *Core) rank() (rank, place int) {
	for place, m := range c.table.index.ranked {
		if m.ID == c.table.self {
			return rank, place
		}
		if _, suspected := c.suspected[m.ID]; !suspected {
			rank++
		}
	}
	return maxRanked, maxRanked
}

// watch starts or ends watching as the process's rank says.
func (c *Core) watch() []Action {
	rank, _ := c.rank()
	if (rank < Watchers) == c.watching {
		return nil
	}
	c.watching = rank < Watchers
	return []Action{Watch{On: c.watching}}
}

// lottery decides by lot whether this process reads the configuration service
// now, if no process has read it for too long.
func (c *Core) lottery(now time.Time) []Action {
	if c.watching || c.Fresh(now) {
		return nil
	}
	if c.rand.Float64()*float64(len(c.table.index.members)) >= readsPerSecond {
		return nil
	}
	return []Action{Read{}}
}

// Fresh reports whether the configuration service was read recently by any
// process. News of a read reaches all n members after about log2(n) heartbeats,
// so the limit grows by one heartbeat for each doubling of the fleet.
func (c *Core) Fresh(now time.Time) bool {
	n := len(c.table.index.members)
	limit := freshBase + time.Duration(bits.Len(uint(n)))*HeartbeatEvery
	return !c.fresh.IsZero() && now.Sub(c.fresh) <= limit
}

// FreshAge returns the age of the last read; ok is false if there was none.
func (c *Core) FreshAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(c.fresh), !c.fresh.IsZero()
}

func (c *Core) expireSuspicion(now time.Time) {
	for id, until := range c.suspected {
		if now.After(until) {
			c.absolve(id)
		}
	}
}

// absolve ends the suspicion of a member.
func (c *Core) absolve(id fleet.InstanceID) {
	if _, known := c.suspected[id]; known {
		delete(c.suspected, id)
		c.changes++
	}
}

func (c *Core) mergeSuspect(s Suspect, now time.Time) bool {
	changed := c.suspects.merge(s, now, c.table.transmissions())
	if changed {
		c.changes++
	}
	return changed
}

// Changes counts the changes of everything that a view shows besides the
// configuration.
func (c *Core) Changes() uint64 { return c.changes + c.table.changes }

// Started reports whether the process may put its greatest configuration in
// force: a running peer answered and nothing greater is on its way, the list
// names this process alone, or the wait for peers is over. A list that lags so
// far that it doesn't name this process says nothing about peers.
func (c *Core) Started(now time.Time) bool {
	s := &c.start
	alone := s.listRead && c.table.Self().Listed.State != Unlisted && len(c.table.Members()) <= 1
	complete := s.answered && (c.heard.Compare(c.stamp) <= 0 || c.refused[c.heard])
	s.done = s.done || alone || complete || !now.Before(s.deadline)
	return s.done
}

// Stamp returns the greatest accepted configuration.
func (c *Core) Stamp() config.Stamp { return c.stamp }

// Watching reports whether the process watches the configuration service.
func (c *Core) Watching() bool { return c.watching }

// Members returns all members in the order of their identifiers. The caller
// must not change the slice.
func (c *Core) Members() []fleet.Instance { return c.table.Members() }

// Suspected returns the members whose last exchange failed.
func (c *Core) Suspected() map[fleet.InstanceID]bool {
	out := make(map[fleet.InstanceID]bool, len(c.suspected))
	for id := range c.suspected {
		out[id] = true
	}
	return out
}

// Suspects returns the requests suspected of crashing engines.
func (c *Core) Suspects() []Suspect {
	var out []Suspect
	for _, s := range c.suspects.all() {
		if len(s.Reports) > 0 {
			out = append(out, s)
		}
	}
	return out
}
