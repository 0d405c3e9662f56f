package gossip

import (
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

const (
	// HeartbeatEvery is the time between two calls of Tick.
	HeartbeatEvery = time.Second
	// pushTargets is the number of members that learn of an adoption at once.
	pushTargets = 4
	// maxUpdates and maxBucketRecords bound the records in a message. A record
	// takes about 170 bytes; with these bounds a process stays below 18 KB/s
	// even while members change faster than the changes can be passed on.
	maxUpdates       = 8
	maxBucketRecords = 8
	// regionEvery is the number of heartbeats of which one stays in the region.
	// While regions have lost each other, these keep the news flowing.
	regionEvery = 2
	// maxSuspectUpdates bounds the suspects in a message.
	maxSuspectUpdates = 8
	// suspicion is how long a failed exchange lowers a member.
	suspicion = 30 * time.Second
	// fetchTimeout is how long a fetch of a document is waited for before
	// another process that holds it may be asked.
	fetchTimeout = 3 * time.Second
	// maxRefused bounds the stamps of documents that could not be accepted.
	maxRefused = 16
	// pause is a gap between two calls of Tick after which the process takes
	// its view for outdated and asks several members at once.
	pause = 3 * time.Second
)

// Options are the inputs of a new core.
type Options struct {
	Self        fleet.Instance
	Incarnation fleet.Incarnation
	// Now is the time of the start.
	Now time.Time
	// StartWait bounds how long a starting process waits for its peers.
	StartWait time.Duration
	// Rand chooses members; tests give a fixed seed.
	Rand *rand.Rand
}

// Core decides for one process. It is owned by one duty.
type Core struct {
	rand     *rand.Rand
	table    *Table
	suspects suspects

	stamp   config.Stamp
	heard   config.Stamp
	refused map[config.Stamp]bool
	fetch   config.Stamp
	fetchAt time.Time

	// suspected holds until when a member counts as suspected.
	suspected map[fleet.InstanceID]time.Time
	fresh     time.Time
	watching  bool
	ticks     uint64
	lastTick  time.Time
	urgentAt  time.Time

	// changes counts changes of suspicion and suspects.
	changes uint64
	start   start
}

// start is the state of the start of a process.
type start struct {
	deadline time.Time
	// listRead says that the instance list was read once.
	listRead bool
	// answered says that a running peer answered.
	answered bool
	done     bool
}

// New returns the core of a process that has just started.
func New(o Options) *Core {
	return &Core{
		rand:      o.Rand,
		table:     NewTable(o.Self, o.Incarnation),
		suspects:  newSuspects(),
		refused:   map[config.Stamp]bool{},
		suspected: map[fleet.InstanceID]time.Time{},
		lastTick:  o.Now,
		start:     start{deadline: o.Now.Add(o.StartWait)},
	}
}

// Tick is called every HeartbeatEvery.
func (c *Core) Tick(now time.Time) []Action {
	c.table.Purge(now)
	if c.suspects.purge(now) {
		c.changes++
	}
	c.expireSuspicion(now)
	c.table.Members()
	c.ticks++
	targets := 1
	if now.Sub(c.lastTick) > pause {
		targets = pushTargets
	}
	c.lastTick = now
	actions := append(c.heartbeats(now, targets), c.watch()...)
	return append(actions, c.lottery(now)...)
}

// heartbeats returns the regular exchanges; the first compares the tables.
func (c *Core) heartbeats(now time.Time, targets int) []Action {
	var actions []Action
	probe, ok := c.probe()
	if !ok && targets == 1 && c.ticks%regionEvery == 0 {
		probe, ok = c.neighbour()
	}
	if ok {
		actions = append(actions, Send{To: probe, Message: c.message(now)})
	} else {
		actions = c.push(now, targets)
	}
	if len(actions) > 0 {
		first := actions[0].(Send)
		first.Message.Buckets = c.table.Hashes()
		first.Message.SuspectsHash = c.suspects.hash()
		actions[0] = first
	}
	return actions
}

// Adopted takes in that the process accepted a configuration. If it is the
// greatest so far, it is pushed to some members at once.
func (c *Core) Adopted(now time.Time, s config.Stamp) []Action {
	if s.Compare(c.stamp) <= 0 {
		return nil
	}
	c.stamp = s
	if c.fetch.Compare(s) <= 0 {
		c.fetch = config.Stamp{}
	}
	return c.push(now, pushTargets)
}

// Refused takes in that a document could not be accepted, so that it is not
// fetched from every process that holds it.
func (c *Core) Refused(s config.Stamp) {
	if len(c.refused) >= maxRefused {
		clear(c.refused)
	}
	c.refused[s] = true
	if c.fetch == s {
		c.fetch = config.Stamp{}
	}
}

// FetchFailed takes in that a process did not deliver a document.
func (c *Core) FetchFailed(s config.Stamp) {
	if c.fetch == s {
		c.fetch = config.Stamp{}
	}
}

// ReadDone takes in a successful read of the configuration service.
func (c *Core) ReadDone(now time.Time) { c.fresh = now }

// SetList takes in a reading of the instance list.
func (c *Core) SetList(now time.Time, list []fleet.Instance, revision uint64) []Action {
	c.table.SetList(list, revision, now)
	if !c.start.listRead {
		// Every starting process reads the list, so none passes it on.
		c.table.Forget()
	}
	c.start.listRead = true
	c.table.Members()
	return c.watch()
}

// Receive takes in a heartbeat and returns the answer.
func (c *Core) Receive(now time.Time, h *Heartbeat) (Heartbeat, []Action) {
	actions := c.merge(now, h)
	answer := c.message(now)
	answer.Members = append(answer.Members, c.table.Differing(h.Buckets, maxBucketRecords, c.rand.Int())...)
	if h.Buckets != nil && h.SuspectsHash != c.suspects.hash() {
		answer.Suspects = append(answer.Suspects, c.suspects.some(maxSuspectUpdates, c.rand.Int())...)
	}
	return answer, actions
}

// Answered takes in the answer of a member.
func (c *Core) Answered(now time.Time, h *Heartbeat) []Action {
	c.start.answered = c.start.answered || !h.Starting
	return c.merge(now, h)
}

// Joined takes in the whole member table of a peer.
func (c *Core) Joined(now time.Time, h *Heartbeat) []Action {
	actions := c.Answered(now, h)
	c.table.Forget()
	c.table.Members()
	return append(actions, c.push(now, pushTargets)...)
}

// Table returns a message with all records, for a process that is starting.
func (c *Core) Table(now time.Time) Heartbeat {
	h := c.message(now)
	h.Members = c.table.All()
	h.Suspects = c.suspects.all()
	return h
}

// Failed takes in that an exchange with a member failed.
func (c *Core) Failed(now time.Time, id fleet.InstanceID) {
	if _, known := c.suspected[id]; !known {
		c.changes++
	}
	c.suspected[id] = now.Add(suspicion)
}

// Heard takes in the stamp that a process at an address decided by.
func (c *Core) Heard(now time.Time, address string, s config.Stamp) []Action {
	if c.heard.Compare(s) < 0 {
		c.heard = s
	}
	var actions []Action
	if s.Generation == c.stamp.Generation && s != c.stamp && s.Generation != 0 {
		actions = append(actions, Conflict{Held: c.stamp, Heard: s})
	}
	if s.Compare(c.stamp) <= 0 || c.refused[s] {
		return actions
	}
	if s.Compare(c.fetch) <= 0 && now.Sub(c.fetchAt) < fetchTimeout {
		return actions
	}
	c.fetch, c.fetchAt = s, now
	return append(actions, Fetch{Address: address, Stamp: s})
}

// SetServing changes what the process says of its engine.
func (c *Core) SetServing(now time.Time, root fleet.Digest, switching bool) {
	self := c.table.Self()
	if self.Serving == root && self.Switching == switching {
		return
	}
	c.table.Restate(now, func(i *fleet.Instance) { i.Serving, i.Switching = root, switching })
}

// Leave makes the process say that it is going to stop.
func (c *Core) Leave(now time.Time) []Action {
	c.table.Restate(now, func(i *fleet.Instance) { i.State = fleet.StateLeaving })
	c.table.Members()
	return append(c.push(now, pushTargets), c.watch()...)
}

// Crash adds one crash to each fingerprint.
func (c *Core) Crash(now time.Time, fingerprints []string) []Action {
	self := c.table.Self()
	reporter := Report{Instance: self.ID, Incarnation: self.Version.Incarnation}
	for _, f := range fingerprints {
		next := Suspect{Fingerprint: f, Epoch: c.suspects.records[f].Epoch, Last: now}
		mine := reporter
		mine.Count = 1
		for _, r := range c.suspects.records[f].Reports {
			if r.Instance == mine.Instance && r.Incarnation == mine.Incarnation {
				mine.Count = r.Count + 1
			}
		}
		next.Reports = []Report{mine}
		c.mergeSuspect(next, now)
	}
	return c.push(now, pushTargets)
}

// Success clears a fingerprint whose request completed.
func (c *Core) Success(now time.Time, fingerprint string) []Action {
	old, known := c.suspects.records[fingerprint]
	if !known || len(old.Reports) == 0 {
		return nil
	}
	next := Suspect{Fingerprint: fingerprint, Epoch: old.Epoch + 1, Last: now}
	c.mergeSuspect(next, now)
	return c.push(now, pushTargets)
}
