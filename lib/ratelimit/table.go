package ratelimit

import (
	"time"

	"rattanspur.example/lib/fleet"
)

const (
	// rampTime is the time after the end of a limit in which it is raised step by step:
	// it doubles at each rampStep. An upstream that was in need has less load than
	// others and would get a wave of requests otherwise.
	rampTime = 4 * time.Second
	rampStep = time.Second
	// absenceTTL is how long the limit of an upstream is kept that is not published.
	absenceTTL = 2 * time.Minute
	// significantChange is the change of a limit, as a fraction of it, that is reported
	// to peers.
	significantChange = 0.1
)

// Key identifies one start of an upstream. A later start is in need only if it says so
// itself.
type Key struct {
	ID        fleet.InstanceID
	StartTime int64
}

// record is what is known of the limit of one upstream.
type record struct {
	key       Key
	perSecond float64
	// change numbers the changes of the limit, at whichever process they were observed.
	// Of two reports about an upstream the one with the greater number is newer, however
	// late it arrives.
	change uint64
	// ended is set if the upstream no longer states a limit. endedAt is zero if this
	// process did not know the limit before its end.
	ended   bool
	endedAt time.Time
	// statedAt is when an answer last stated the limit here, or a peer reported it.
	statedAt time.Time
	// publishedAt is when the upstream was last known to be published.
	publishedAt time.Time
	// pending is the number of messages in which the record is still reported.
	pending int
}

// Table holds the limits that are known to one process. It is owned by one duty.
type Table struct {
	records map[Key]*record
	// order holds the records in the order in which they became known, changed those
	// that are pending. next is the position in order of the next one to repeat.
	order   []*record
	changed []*record
	next    int
	// messages counts the calls of Reports.
	messages int
	// unseen holds the last changes that were not taken by Changes, up to maxUnseen.
	unseen []Report
}

// maxUnseen is the maximum number of changes that are kept for Changes.
const maxUnseen = 256

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]*record{}} }

// Observe applies what an answer states to a request that was sent at sentAt. An answer
// without a limit ends an earlier one only if its request was sent after the limit was
// last stated, since answers may overtake each other. It reports whether decisions
// change.
func (t *Table) Observe(now, sentAt time.Time, k Key, s Statement) bool {
	r := t.records[k]
	known := r != nil && !r.ended
	switch {
	case s.Kind == Stated && (!known || differs(r.perSecond, s.PerSecond)):
		t.store(now, k, Report{PerSecond: s.PerSecond, Change: t.nextChange(k)})
	case s.Kind == None && known && sentAt.After(r.statedAt):
		t.store(now, k, Report{PerSecond: r.perSecond, Ended: true, Change: t.nextChange(k)})
	default:
		if known && s.Kind != None {
			r.statedAt = now
		}
		return false
	}
	return true
}

func differs(a, b float64) bool { return max(a, b)-min(a, b) > significantChange*max(a, b) }

func (t *Table) nextChange(k Key) uint64 {
	if r := t.records[k]; r != nil {
		return r.change + 1
	}
	return 1
}

// store replaces what is known of an upstream's limit and reports it to peers.
func (t *Table) store(now time.Time, k Key, s Report) {
	r := t.records[k]
	if r == nil {
		r = &record{key: k, publishedAt: now}
		t.records[k] = r
		t.order = append(t.order, r)
	}
	switch {
	case !s.Ended:
		r.statedAt = now
	case !r.ended && r.change > 0:
		r.endedAt = now
	}
	r.perSecond, r.ended, r.change = s.PerSecond, s.Ended, s.Change
	if r.pending == 0 {
		t.changed = append(t.changed, r)
	}
	r.pending = messagesPerChange
	if len(t.unseen) < maxUnseen {
		t.unseen = append(t.unseen, r.report())
	}
}

// Changes returns what has changed since the last call, for logs.
func (t *Table) Changes() []Report {
	out := t.unseen
	t.unseen = nil
	return out
}

// Limit is the limit of an upstream at a time.
type Limit struct {
	PerSecond float64
	// Factor raises the limit after its end; it is 1 while the upstream states it.
	Factor int
}

// Limit returns the limit of an upstream. ok is false if it has none.
func (t *Table) Limit(now time.Time, k Key) (l Limit, ok bool) {
	r := t.records[k]
	switch {
	case r == nil:
		return Limit{}, false
	case !r.ended:
		return Limit{PerSecond: r.perSecond, Factor: 1}, true
	}
	since := now.Sub(r.endedAt)
	if since < 0 || since >= rampTime {
		return Limit{}, false
	}
	return Limit{PerSecond: r.perSecond, Factor: 2 << (since / rampStep)}, true
}

// Empty reports whether nothing is known of any limit.
func (t *Table) Empty() bool { return len(t.order) == 0 }

// Active returns the number of upstreams that state a limit.
func (t *Table) Active() int {
	n := 0
	for _, r := range t.order {
		if !r.ended {
			n++
		}
	}
	return n
}

// Retain drops the limits of upstreams that are not published for absenceTTL.
func (t *Table) Retain(now time.Time, published func(Key) bool) {
	order := t.order[:0]
	for _, r := range t.order {
		if published(r.key) {
			r.publishedAt = now
		}
		if now.Sub(r.publishedAt) < absenceTTL {
			order = append(order, r)
			continue
		}
		delete(t.records, r.key)
	}
	clear(t.order[len(order):])
	t.order = order
}
