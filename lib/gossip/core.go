package gossip

import (
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
)

const (
	// HeartbeatInterval is the time between two calls of Tick.
	HeartbeatInterval = time.Second
	// pushFanout is the number of members that a change is pushed to
	// immediately.
	pushFanout = 4
	// maxMemberUpdates and maxBucketRecords limit the member records per
	// message. A record takes about 170 bytes. These limits keep the traffic of
	// a process below 18 KB/s even while members change faster than gossip can
	// propagate the changes.
	maxMemberUpdates = 8
	maxBucketRecords = 8
	// messagesPerCrash is the number of messages that contain evidence about a crash
	// after it changed. A message goes to one member, most often of the same region,
	// and no comparison of hashes finds members that lack the evidence.
	messagesPerCrash = 20
	// regionHeartbeatTicks is the interval, in ticks, of heartbeats that stay
	// in the process's region. They keep updates spreading within a region
	// while the regions cannot reach each other.
	regionHeartbeatTicks = 2
	// suspicionTTL is how long a member stays suspected after a failed
	// exchange.
	suspicionTTL = 30 * time.Second
	// fetchTimeout is how long a fetch of a document may take before the
	// document is requested from another process that holds it.
	fetchTimeout = 3 * time.Second
	// maxRejected limits the remembered stamps of rejected documents.
	maxRejected = 16
	// stallThreshold is the gap between two calls of Tick after which the
	// process treats its view as outdated and contacts several members at once.
	stallThreshold = 3 * time.Second
)

// Options are the parameters of New.
type Options struct {
	Self        fleet.Instance
	Incarnation fleet.Incarnation
	// Now is the start time of the process.
	Now time.Time
	// StartWait limits how long a starting process waits for its peers.
	StartWait time.Duration
	// Rand selects members; tests pass a fixed seed.
	Rand *rand.Rand
}

// Core makes the gossip decisions of one process. It is not safe for concurrent
// use: one duty owns it.
type Core struct {
	rand  *rand.Rand
	table *Table
	// detector holds the evidence about requests that crash upstreams.
	detector *poison.Detector

	// stamp is that of the greatest accepted configuration, greatestObserved
	// the greatest one received from other processes.
	stamp            config.Stamp
	greatestObserved config.Stamp
	rejected         map[config.Stamp]bool
	fetching         config.Stamp
	fetchStartedAt   time.Time

	// suspectedUntil holds the time at which the suspicion of a member expires.
	suspectedUntil  map[fleet.InstanceID]time.Time
	lastServiceRead time.Time
	watching        bool
	ticks           uint64
	lastTick        time.Time
	lastUrgentPush  time.Time

	// changes counts the changes of suspicions of members.
	changes uint64
	start   startState
}

// startState tracks the start of a process.
type startState struct {
	deadline time.Time
	// listRead is true once the instance list has been read.
	listRead bool
	// peerAnswered is true once a peer that has completed its start answered.
	peerAnswered bool
	done         bool
}

// New returns the core of a process that has just started.
func New(o Options) *Core {
	detector := poison.New(string(o.Self.ID))
	detector.SetMessagesPerChange(messagesPerCrash)
	return &Core{
		rand:           o.Rand,
		table:          NewTable(o.Self, o.Incarnation),
		detector:       detector,
		rejected:       map[config.Stamp]bool{},
		suspectedUntil: map[fleet.InstanceID]time.Time{},
		lastTick:       o.Now,
		start:          startState{deadline: o.Now.Add(o.StartWait)},
	}
}

// Tick runs the periodic work. It must be called every HeartbeatInterval.
func (c *Core) Tick(now time.Time) []Action {
	c.table.Purge(now)
	c.detector.Expire(now)
	c.expireSuspicions(now)
	c.table.Members()
	c.ticks++
	targets := 1
	if now.Sub(c.lastTick) > stallThreshold {
		targets = pushFanout
	}
	c.lastTick = now
	actions := append(c.heartbeats(now, targets), c.updateWatching()...)
	return append(actions, c.randomRead(now)...)
}

// heartbeats returns the periodic exchanges. The first one also compares the
// member tables.
func (c *Core) heartbeats(now time.Time, targets int) []Action {
	var actions []Action
	target, ok := c.probeTarget()
	if !ok && targets == 1 && c.ticks%regionHeartbeatTicks == 0 {
		target, ok = c.regionPeer()
	}
	if ok {
		actions = append(actions, Send{To: target, Message: c.newHeartbeat(now)})
	} else {
		actions = c.push(now, targets)
	}
	if len(actions) > 0 {
		first := actions[0].(Send)
		first.Message.Buckets = c.table.Hashes()
		actions[0] = first
	}
	return actions
}

// ConfigAccepted records that the process accepted a configuration. If it is the
// greatest so far, its stamp is pushed to several members immediately.
func (c *Core) ConfigAccepted(now time.Time, s config.Stamp) []Action {
	if s.Compare(c.stamp) <= 0 {
		return nil
	}
	c.stamp = s
	if c.fetching.Compare(s) <= 0 {
		c.fetching = config.Stamp{}
	}
	return c.push(now, pushFanout)
}

// ConfigRejected records that a document was rejected, so that it is not
// fetched again from every process that holds it.
func (c *Core) ConfigRejected(s config.Stamp) {
	if len(c.rejected) >= maxRejected {
		clear(c.rejected)
	}
	c.rejected[s] = true
	if c.fetching == s {
		c.fetching = config.Stamp{}
	}
}

// FetchFailed records that a fetch of a document failed.
func (c *Core) FetchFailed(s config.Stamp) {
	if c.fetching == s {
		c.fetching = config.Stamp{}
	}
}

// ServiceRead records a successful read of the configuration service.
func (c *Core) ServiceRead(now time.Time) { c.lastServiceRead = now }

// SetInstanceList applies a version of the instance list.
func (c *Core) SetInstanceList(now time.Time, list []fleet.Instance, revision uint64) []Action {
	c.table.SetList(list, revision, now)
	if !c.start.listRead {
		// Other starting processes read the list themselves, so it is not
		// propagated.
		c.table.ClearQueue()
	}
	c.start.listRead = true
	c.table.Members()
	return c.updateWatching()
}

// HandleHeartbeat applies a heartbeat and returns the answer to its sender.
func (c *Core) HandleHeartbeat(now time.Time, h *Heartbeat) (Heartbeat, []Action) {
	actions := c.merge(now, h)
	answer := c.newHeartbeat(now)
	answer.Members = append(answer.Members, c.table.Differing(h.Buckets, maxBucketRecords, c.rand.Int())...)
	return answer, actions
}

// HandleAnswer applies a member's answer to a heartbeat.
func (c *Core) HandleAnswer(now time.Time, h *Heartbeat) []Action {
	c.start.peerAnswered = c.start.peerAnswered || !h.Starting
	return c.merge(now, h)
}

// HandleTable applies the complete member table of a peer.
func (c *Core) HandleTable(now time.Time, h *Heartbeat) []Action {
	actions := c.HandleAnswer(now, h)
	c.table.ClearQueue()
	c.table.Members()
	return append(actions, c.push(now, pushFanout)...)
}

// TableMessage returns a message with all records, for a process that is
// starting.
func (c *Core) TableMessage(now time.Time) Heartbeat {
	h := c.newHeartbeat(now)
	h.Members = c.table.All()
	h.Crashes = c.detector.All(now)
	return h
}

// ExchangeFailed records a failed exchange with a member, which becomes
// suspected.
func (c *Core) ExchangeFailed(now time.Time, id fleet.InstanceID) {
	if _, known := c.suspectedUntil[id]; !known {
		c.changes++
	}
	c.suspectedUntil[id] = now.Add(suspicionTTL)
}

// ObserveStamp handles the stamp of the configuration that the process at an
// address uses. A document with a greater stamp than the accepted one is fetched
// from there.
func (c *Core) ObserveStamp(now time.Time, address string, s config.Stamp) []Action {
	if c.greatestObserved.Compare(s) < 0 {
		c.greatestObserved = s
	}
	var actions []Action
	if s.Generation == c.stamp.Generation && s != c.stamp && s.Generation != 0 {
		actions = append(actions, Conflict{Accepted: c.stamp, Observed: s})
	}
	if s.Compare(c.stamp) <= 0 || c.rejected[s] {
		return actions
	}
	if s.Compare(c.fetching) <= 0 && now.Sub(c.fetchStartedAt) < fetchTimeout {
		return actions
	}
	c.fetching, c.fetchStartedAt = s, now
	return append(actions, Fetch{Address: address, Stamp: s})
}

// SetServing updates the engine state in the process's own record.
func (c *Core) SetServing(now time.Time, root fleet.Digest, switching bool) {
	self := c.table.Self()
	if self.Serving == root && self.Switching == switching {
		return
	}
	c.table.UpdateSelf(now, func(i *fleet.Instance) { i.Serving, i.Switching = root, switching })
}

// Leave marks the process as leaving and pushes that to several members.
func (c *Core) Leave(now time.Time) []Action {
	c.table.UpdateSelf(now, func(i *fleet.Instance) { i.State = fleet.StateLeaving })
	c.table.Members()
	return append(c.push(now, pushFanout), c.updateWatching()...)
}
