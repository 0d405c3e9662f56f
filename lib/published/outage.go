package published

import (
	"slices"
	"time"
)

// Outage is a time in which the store refused this process. A grace period runs only while the
// store is available: one that was not over when an outage began starts anew when it ends.
type Outage struct {
	// Began is when the first read was refused.
	Began time.Time
	// Until is when the store has been available for long enough for all processes to know
	// again what is published.
	Until time.Time
}

// maxOutages is the number of outages that are kept, the latest ones.
const maxOutages = 8

// Outages lists outages in their order. It is not changed once it is part of a view.
type Outages []Outage

// Note returns the outages with a read that was refused at a time; the store counts as
// unavailable until then. It extends the last outage if that has not ended.
func (o Outages) Note(refusedAt, until time.Time) Outages {
	out := slices.Clone(o)
	if n := len(out); n > 0 && !refusedAt.After(out[n-1].Until) {
		out[n-1].Until = until
		return out
	}
	out = append(out, Outage{Began: refusedAt, Until: until})
	return out[max(len(out)-maxOutages, 0):]
}

// graceStart returns when a grace period of a length starts that would have started at a
// time without outages.
func (o Outages) graceStart(start time.Time, length time.Duration) time.Time {
	for _, outage := range o {
		if outage.Until.After(start) && start.Add(length).After(outage.Began) {
			start = outage.Until
		}
	}
	return start
}

// GraceStart returns when a grace period of a length after the publication of this version, or
// of a previous one, starts; zero if the publication is not known.
func (d DesiredVersion) GraceStart(p Publication, length time.Duration) time.Time {
	if !p.Known() {
		return time.Time{}
	}
	return d.Outages.graceStart(p.NotBefore, length)
}

// NoteOutage records that the store refused a read at a time and counts as unavailable until
// another. It reports whether the view changed.
func (s *State) NoteOutage(now, refusedAt, until time.Time) bool {
	s.outages = s.outages.Note(refusedAt, until)
	recent := false
	for _, d := range s.desired {
		recent = recent || now.Sub(d.Published.NotBefore) <= maxReportedAge
	}
	if recent {
		s.rebuild(now)
	}
	return recent
}
