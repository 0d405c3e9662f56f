package gossip

import (
	"math/bits"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// WatchersPerRegion is the number of members in each region that watch the
	// configuration service.
	WatchersPerRegion = 3
	// maxReadAgeBase is the age limit of the last read of the configuration
	// service, to which Fresh adds the time that notice of a read takes to
	// spread. Watches are normally shorter.
	maxReadAgeBase = 5 * time.Second
	// maxHeartbeatDelay is how long a heartbeat usually takes at most. A read that is
	// reported is taken to be older by this: without it, it would become younger with each
	// process that passes it on.
	maxHeartbeatDelay = 200 * time.Millisecond
	// randomReadsPerSecond limits the random reads of all processes together.
	randomReadsPerSecond = 20
	// urgentPushInterval is the minimum time between two pushes of urgent
	// updates received from others. When a whole failure domain leaves, every
	// member receives such updates; the regular heartbeats carry those in
	// between.
	urgentPushInterval = 2 * time.Second
	// probeTicks is the interval, in ticks, of the heartbeats from a standby to
	// the candidates ranked before it. A standby contacts all of them in turn
	// within suspicionTTL, so that a failed watcher is detected in a fleet of
	// any size and stays replaced.
	probeTicks = 2
)

// merge applies the contents of a message.
func (c *Core) merge(now time.Time, h *Heartbeat) []Action {
	c.clearSuspicion(h.From.ID)
	urgent := false
	for _, m := range append([]Member{h.From}, h.Members...) {
		_, u := c.table.Merge(m, now)
		urgent = urgent || u
	}
	urgent = c.mergeCrashes(now, h.Crashes) || urgent
	if h.ServiceReadAge >= 0 {
		if at := now.Add(-h.ServiceReadAge - maxHeartbeatDelay); at.After(c.lastServiceRead) {
			c.lastServiceRead = at
		}
	}
	actions := c.ObserveStamp(now, h.From.Address, h.Stamp)
	if urgent {
		actions = append(actions, c.pushUrgent(now)...)
	}
	return actions
}

// pushUrgent pushes news to several members, unless that was done recently.
func (c *Core) pushUrgent(now time.Time) []Action {
	if now.Sub(c.lastUrgentPush) < urgentPushInterval {
		return nil
	}
	c.lastUrgentPush = now
	return c.push(now, pushFanout)
}

// newHeartbeat returns a heartbeat with the queued changes.
func (c *Core) newHeartbeat(now time.Time) Heartbeat {
	h := Heartbeat{
		From: c.table.Self(), Stamp: c.stamp, Starting: !c.Started(now), ServiceReadAge: -1,
		Members: c.table.Updates(maxMemberUpdates), Crashes: c.detector.Reports(now),
	}
	if !c.lastServiceRead.IsZero() {
		h.ServiceReadAge = max(0, now.Sub(c.lastServiceRead))
	}
	return h
}

// push sends heartbeats to count distinct random members. If count is greater
// than one, all but one of them are in the own region, which limits the traffic
// between regions.
func (c *Core) push(now time.Time, count int) []Action {
	members := c.table.Members()
	region := c.table.index.regionPositions
	chosen := map[int]bool{}
	var actions []Action
	add := func(position int) {
		if !chosen[position] && members[position].ID != c.table.self {
			chosen[position] = true
			actions = append(actions, Send{To: members[position], Message: c.newHeartbeat(now)})
		}
	}
	for range count - 1 {
		if len(region) > 0 {
			add(region[c.rand.IntN(len(region))])
		}
	}
	// The last member, and replacements for choices of the process itself or of
	// a member already chosen, come from all regions.
	for tries := 0; len(actions) < min(count, len(members)-1) && tries < 4*count; tries++ {
		add(c.rand.IntN(len(members)))
	}
	return actions
}

// probeTarget returns the member that a standby probes in this tick: one of the
// candidates ranked before it, in turn.
func (c *Core) probeTarget() (fleet.Instance, bool) {
	rank, position := c.rank()
	if c.ticks%probeTicks != 0 || position < WatchersPerRegion || rank >= 2*WatchersPerRegion {
		return fleet.Instance{}, false
	}
	turn := int(c.ticks/probeTicks) % position
	return c.table.index.watchCandidates[turn], true
}

// regionPeer returns a random other member of the region.
func (c *Core) regionPeer() (fleet.Instance, bool) {
	region := c.table.index.regionPositions
	if len(region) == 0 {
		return fleet.Instance{}, false
	}
	m := c.table.index.members[region[c.rand.IntN(len(region))]]
	return m, m.ID != c.table.self
}

// rank returns the process's rank among the watch candidates of its region that
// are not suspected, and its position among all candidates. Both are
// maxWatchCandidates if the process is not a candidate.
func (c *Core) rank() (rank, position int) {
	for position, m := range c.table.index.watchCandidates {
		if m.ID == c.table.self {
			return rank, position
		}
		if _, suspected := c.suspectedUntil[m.ID]; !suspected {
			rank++
		}
	}
	return maxWatchCandidates, maxWatchCandidates
}

// updateWatching starts or stops watching when the process's rank requires it.
func (c *Core) updateWatching() []Action {
	rank, _ := c.rank()
	if (rank < WatchersPerRegion) == c.watching {
		return nil
	}
	c.watching = rank < WatchersPerRegion
	return []Action{Watch{On: c.watching}}
}

// randomRead decides at random whether this process reads the configuration
// service, if no process has read it for too long.
func (c *Core) randomRead(now time.Time) []Action {
	if c.watching || c.Fresh(now) {
		return nil
	}
	if c.rand.Float64()*float64(len(c.table.index.members)) >= randomReadsPerSecond {
		return nil
	}
	return []Action{Read{}}
}

// Fresh reports whether any process has read the configuration service
// recently. Notice of a read reaches all n members after about log2(n)
// heartbeats, so the limit grows by one heartbeat for each doubling of the
// fleet.
func (c *Core) Fresh(now time.Time) bool {
	n := len(c.table.index.members)
	limit := maxReadAgeBase + time.Duration(bits.Len(uint(n)))*HeartbeatInterval
	return !c.lastServiceRead.IsZero() && now.Sub(c.lastServiceRead) <= limit
}

// ServiceReadAge returns the age of the last known read of the configuration
// service; ok is false if there was none.
func (c *Core) ServiceReadAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(c.lastServiceRead), !c.lastServiceRead.IsZero()
}

func (c *Core) expireSuspicions(now time.Time) {
	for id, until := range c.suspectedUntil {
		if now.After(until) {
			c.clearSuspicion(id)
		}
	}
}

// clearSuspicion ends the suspicion of a member.
func (c *Core) clearSuspicion(id fleet.InstanceID) {
	if _, known := c.suspectedUntil[id]; known {
		delete(c.suspectedUntil, id)
		c.changes++
	}
}

// Changes returns a counter that grows with each change to a view other than a
// change of its configuration.
func (c *Core) Changes() uint64 {
	return c.changes + c.table.changes + c.detector.Revision()
}

// Started reports whether the process may apply its greatest configuration.
// That is so when a running peer has answered and no greater configuration is
// expected, when the list names only this process, or when the wait for peers
// has timed out. A list that does not name this process lags, so it does not
// show that there are no peers.
func (c *Core) Started(now time.Time) bool {
	s := &c.start
	alone := s.listRead && c.table.Self().Listed.State != NeverListed && len(c.table.Members()) <= 1
	complete := s.peerAnswered && (c.greatestObserved.Compare(c.stamp) <= 0 || c.rejected[c.greatestObserved])
	s.done = s.done || alone || complete || !now.Before(s.deadline)
	return s.done
}

// Stamp returns the stamp of the greatest accepted configuration.
func (c *Core) Stamp() config.Stamp { return c.stamp }

// Watching reports whether the process watches the configuration service.
func (c *Core) Watching() bool { return c.watching }

// Members returns all members sorted by identifier. The caller must not modify
// the slice.
func (c *Core) Members() []fleet.Instance { return c.table.Members() }

// SuspectedMembers returns the members whose last exchange failed.
func (c *Core) SuspectedMembers() map[fleet.InstanceID]bool {
	out := make(map[fleet.InstanceID]bool, len(c.suspectedUntil))
	for id := range c.suspectedUntil {
		out[id] = true
	}
	return out
}
