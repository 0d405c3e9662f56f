package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// messagesPerChange is the number of messages that contain a record after it
	// changed, unless SetMessagesPerChange sets another one. A message goes to several
	// gateways, and each of them passes the change on, so that few are enough although
	// messages may be lost.
	messagesPerChange = 6
	// MaxReports and maxReportedSuspects are the numbers of records and of their
	// suspects in a message.
	MaxReports          = 16
	maxReportedSuspects = 64
	// messagesPerRepeat is the number of messages of which one repeats the records
	// that count against convicted traits, for gateways that have just started.
	messagesPerRepeat = 20
)

// Valid reports whether the numbers of a report are possible.
func (r *Report) Valid() bool {
	if r.AgeMS < 0 || r.AgeMS > evidenceTTL.Milliseconds() || len(r.Suspects) > maxSuspects {
		return false
	}
	return !slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return s.Depth < 0 || s.Depth > maxDepth })
}

// Merge adds the evidence of another gateway.
func (d *Detector) Merge(now time.Time, reports []Report) {
	d.evidence.expire(now)
	for i := range reports {
		if reports[i].Valid() {
			d.evidence.merge(now, &reports[i])
		}
	}
}

func (e *evidence) merge(now time.Time, report *Report) {
	r := e.join(now, crash{
		id:       report.Crash,
		at:       now.Add(-time.Duration(report.AgeMS) * time.Millisecond),
		refuted:  report.Refuted,
		suspects: report.Suspects,
	})
	if r != nil && r.exceeds(report) {
		r.pending = max(r.pending, 1)
	}
}

// exceeds reports whether the record contains evidence that a report lacks. The
// sender of the report then needs it: it may have been cut off when the record
// changed.
func (r *record) exceeds(report *Report) bool {
	return r.refuted != report.Refuted || !slices.Equal(r.suspects, report.Suspects)
}

// SetMessagesPerChange sets the number of messages that contain a record after it
// changed, for messages that go to fewer processes each than those of gateways.
func (d *Detector) SetMessagesPerChange(n int) { d.evidence.messagesPerChange = n }

// Reports returns the evidence for the next message to other gateways. Each call
// counts as one message. The caller must not modify the suspects.
func (d *Detector) Reports(now time.Time) []Report {
	d.refresh(now)
	d.messages++
	repeat := d.messages%messagesPerRepeat == 0
	var due []*record
	for _, r := range d.evidence.records {
		if now.Sub(r.at) <= evidenceTTL && (r.pending > 0 || repeat && r.explained) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int { return compareUrgency(a, b, repeat) })
	var reports []Report
	suspects := 0
	for _, r := range due[:min(len(due), MaxReports)] {
		suspects += len(r.suspects)
		if suspects > maxReportedSuspects {
			break
		}
		r.pending = max(r.pending-1, 0)
		r.sentIn = d.messages
		reports = append(reports, r.report(now))
	}
	return reports
}

// compareUrgency orders records for a message: those that count against convicted
// traits first, in rotation if the message repeats them, then the newest.
func compareUrgency(a, b *record, repeat bool) int {
	if a.explained != b.explained {
		if a.explained {
			return -1
		}
		return 1
	}
	if repeat && a.explained && a.sentIn != b.sentIn {
		return cmp.Compare(a.sentIn, b.sentIn)
	}
	return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.id, b.id))
}

// All returns the whole evidence, for another detector of the same process or a
// process that has just started. The caller must not modify the suspects.
func (d *Detector) All(now time.Time) []Report {
	d.evidence.expire(now)
	reports := make([]Report, 0, len(d.evidence.records))
	for _, r := range d.evidence.records {
		if now.Sub(r.at) <= evidenceTTL {
			reports = append(reports, r.report(now))
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Crash, b.Crash))
	})
	return reports
}

func (r *record) report(now time.Time) Report {
	return Report{
		Crash:    r.id,
		AgeMS:    max(now.Sub(r.at), 0).Milliseconds(),
		Refuted:  r.refuted,
		Suspects: r.suspects,
	}
}
