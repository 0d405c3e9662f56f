package published

import "time"

// Publication is what is known of the time at which a version was published: not before
// NotBefore, and at most Uncertainty later, when a process saw the version. The zero value
// says nothing.
type Publication struct {
	NotBefore time.Time
	// Uncertainty is 0 if a process saw the version as it was published. It is a whole number
	// of ms, which processes report to each other unchanged.
	Uncertainty time.Duration
}

// At returns what a process knows that saw a version as it was published.
func At(t time.Time) Publication { return Publication{NotBefore: t} }

// publishedBetween returns what a process knows that saw a version at a time before which it
// was last known to be absent.
func publishedBetween(absent, seen time.Time) Publication {
	return Publication{NotBefore: absent, Uncertainty: max(seen.Sub(absent), 0).Truncate(time.Millisecond)}
}

// Known reports whether anything is known.
func (p Publication) Known() bool { return !p.NotBefore.IsZero() }

// earlier returns a publication that was earlier by a duration.
func (p Publication) earlier(d time.Duration) Publication {
	if p.Known() {
		p.NotBefore = p.NotBefore.Add(-d)
	}
	return p
}

// merge returns what two processes know together. The less uncertain one counts, and the
// earlier one of two that are equally uncertain; but a version that one of them saw was
// published by then, whatever the other takes for certain.
//
// What a peer reports is late by the delay of its message, and so is what it heard from
// others. Late reports must not add up where processes report to each other again and again:
// a delay changes no uncertainty and makes a time later, never earlier.
func (p Publication) merge(q Publication) Publication {
	switch {
	case !q.Known():
		return p
	case !p.Known():
		return q
	}
	if q.Uncertainty < p.Uncertainty || q.Uncertainty == p.Uncertainty && q.NotBefore.Before(p.NotBefore) {
		p, q = q, p
	}
	if seen := q.NotBefore.Add(q.Uncertainty); seen.Before(p.NotBefore) {
		p.NotBefore = seen
	}
	return p
}

// saysMore reports whether p says more than an earlier version of it. Differences up to
// ageTolerance do not count.
func (p Publication) saysMore(than Publication) bool {
	if p.Known() != than.Known() {
		return p.Known()
	}
	return p.Uncertainty < than.Uncertainty || than.NotBefore.Sub(p.NotBefore) > ageTolerance
}
