package ratelimit

import (
	"time"

	"rattanspur.example/lib/fleet"
)

const (
	// messagesPerChange is the number of messages in which a change is reported. Each
	// goes to some peers, which pass it on.
	messagesPerChange = 6
	// maxChanges and maxRepeats bound the changed records and the other ones in one
	// message. One message in messagesPerRepeat repeats some, for processes that have just
	// started.
	maxChanges        = 32
	maxRepeats        = 8
	messagesPerRepeat = 5
	// MaxReports is the maximum number of reports in one message.
	MaxReports = maxChanges + maxRepeats
	// maxChange bounds the numbers of changes, so that one in a malformed message leaves
	// greater ones.
	maxChange = 1 << 48
)

// Report is what one process knows of the limit of an upstream. The JSON names are short
// because it is sent often.
type Report struct {
	ID        fleet.InstanceID `json:"i"`
	StartTime int64            `json:"b"`
	PerSecond float64          `json:"l"`
	// Ended is set if the upstream no longer states the limit.
	Ended bool `json:"e,omitempty"`
	// Change numbers the changes of the limit of this upstream.
	Change uint64 `json:"c"`
}

// Valid reports whether the numbers of a report are possible.
func (r *Report) Valid() bool {
	return r.ID != "" && ValidRate(r.PerSecond) && r.PerSecond <= maxPerSecond && r.Change > 0 && r.Change <= maxChange
}

// newerThan reports whether a report replaces what is known. Two processes may observe
// a change at the same time; then the stricter one counts.
func (r *Report) newerThan(known *record) bool {
	switch {
	case known == nil || r.Change != known.change:
		return known == nil || r.Change > known.change
	case r.Ended != known.ended:
		return known.ended
	}
	return !r.Ended && r.PerSecond < known.perSecond
}

// Reports returns what to report to peers in the next message: records that changed, and
// a few others in rotation.
func (t *Table) Reports() []Report {
	var out []Report
	count := min(len(t.changed), maxChanges)
	for _, r := range t.changed[:count] {
		r.pending--
		out = append(out, r.report())
	}
	var left []*record
	for _, r := range append(t.changed[count:], t.changed[:count]...) {
		if r.pending > 0 {
			left = append(left, r)
		}
	}
	t.changed = left
	t.messages++
	if t.messages%messagesPerRepeat != 0 {
		return out
	}
	for range min(len(t.order), maxRepeats) {
		t.next = (t.next + 1) % len(t.order)
		if r := t.order[t.next]; r.pending == 0 {
			out = append(out, r.report())
		}
	}
	return out
}

func (r *record) report() Report {
	return Report{ID: r.key.ID, StartTime: r.key.StartTime, PerSecond: r.perSecond, Ended: r.ended, Change: r.change}
}

// Merge applies the reports of a peer. It reports whether decisions change.
func (t *Table) Merge(now time.Time, reports []Report) bool {
	changed := false
	for i := range reports {
		r := &reports[i]
		k := Key{ID: r.ID, StartTime: r.StartTime}
		if r.newerThan(t.records[k]) {
			t.store(now, k, *r)
			changed = true
		}
	}
	return changed
}
