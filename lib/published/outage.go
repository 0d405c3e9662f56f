package published

import (
	"slices"
	"time"
)

// Outage is a time in which the store refused this process and its peers. A grace period runs only
// while the store is available: one that was not over when an outage began starts anew after
// it.
type Outage struct {
	// Began is when the store was first known to refuse reads.
	Began time.Time
	// Until is when the store has been available again for as long as processes may need to
	// know what is published.
	Until time.Time
}

// maxOutages is the number of outages that are kept, the latest ones. Older ones are so long ago
// that no grace period depends on them.
const maxOutages = 32

// Outages lists outages in their order. It is not changed once it is part of a view.
type Outages []Outage

// Note returns the outages with a read that was refused at a time; the store counts as
// unavailable until a later one. It extends the last outage if that has not ended.
func (o Outages) Note(refusedAt, until time.Time) Outages {
	out := slices.Clone(o)
	if n := len(out); n > 0 && !refusedAt.After(out[n-1].Until) {
		out[n-1].Until = until
		return out
	}
	out = append(out, Outage{Began: refusedAt, Until: until})
	return out[max(len(out)-maxOutages, 0):]
}

// earlier returns the outages earlier by a duration.
func (o Outages) earlier(d time.Duration) Outages {
	out := slices.Clone(o)
	for i := range out {
		out[i].Began, out[i].Until = out[i].Began.Add(-d), out[i].Until.Add(-d)
	}
	return out
}

// graceStart returns when a grace period of a length starts that would have started at a
// time without outages. It starts later by its length at most, so that a store which is seldom
// available keeps no weights in use for good.
func (o Outages) graceStart(start time.Time, length time.Duration) time.Time {
	latest := start.Add(length)
	for _, outage := range o {
		if outage.Until.After(start) && start.Add(length).After(outage.Began) {
			start = outage.Until
		}
	}
	if start.After(latest) {
		return latest
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

// maxGrace is the age of a publication from which on no outage matters to it.
const maxGrace = time.Minute

// NoteOutage records that the store refused a read that began at a time, and counts as
// unavailable until another. A store that peers could read before that refuses only this
// process: that is no outage, and does not become one until the store has answered again. It
// reports whether the view changed.
func (s *State) NoteOutage(now, refusedAt, until time.Time) bool {
	if s.peerAheadAt.IsZero() || refusedAt.Before(s.peerAheadAt) {
		s.outages = s.outages.Note(refusedAt, until)
	} else if n := len(s.outages); n > 0 && !s.outages[n-1].Until.Before(refusedAt) {
		s.outages = s.outages[:n-1]
	}
	for _, d := range s.desired {
		if now.Sub(d.Published.NotBefore) <= maxGrace {
			s.rebuild(now)
			return true
		}
	}
	return false
}

// notePeer records that a peer has read the store up to a revision.
func (s *State) notePeer(now time.Time, revision Revision) {
	if revision > s.revision && s.peerAheadAt.IsZero() {
		s.peerAheadAt = now
	}
}
