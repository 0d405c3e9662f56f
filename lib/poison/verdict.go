package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// blockAfterCrashes is the number of crashes after which an unknown trait is
	// convicted with blockAfterFast episodes: while many requests with it are in
	// progress, a whole service may be lost within two episodes.
	blockAfterCrashes = 5
	blockAfterFast    = 2
	// maxProbeDoublings bounds the doublings of probeInterval.
	maxProbeDoublings = 3
	// suspectAfter and suspectKnownAfter are the numbers of episodes of crashes after
	// which an unknown and a known trait are suspected.
	suspectAfter      = 1
	suspectKnownAfter = 2
)

// finding is what the evidence says about a trait.
type finding struct {
	trait Trait
	known bool
	depth int
	// episodes is the number of episodes of crashes that count against the trait,
	// and last the time of the last one of these crashes.
	episodes int
	last     time.Time
	// crashes is the number of crashes that count against the trait.
	crashes int
	// renewals is the number of crashes that renewed the conviction: those at least
	// probeInterval after the one before.
	renewals int
	// convicted is set if the trait is convicted, else it is suspected.
	convicted bool
	// probeAt is the time from which a convicted trait may be probed.
	probeAt time.Time
	// records are those that count against the trait, by time.
	records []*record
}

// precedes reports whether the trait is convicted before another one.
func (f *finding) precedes(other finding) bool {
	if f.known != other.known {
		return !f.known
	}
	return cmp.Or(
		cmp.Compare(other.episodes, f.episodes),
		cmp.Compare(other.crashes, f.crashes),
		cmp.Compare(other.depth, f.depth),
		cmp.Compare(f.trait, other.trait),
	) < 0
}

// judge returns the traits that are suspected or convicted, and marks the records
// that convicted traits explain.
func judge(e *evidence) []finding {
	for _, r := range e.records {
		r.explained = false
	}
	clear(e.convicted)
	var candidates, found []finding
	for t, records := range e.open {
		candidates = append(candidates, newFinding(t, records))
	}
	rest := candidates
	for {
		rest = convictable(rest)
		if len(rest) == 0 {
			break
		}
		f := convict(rest)
		e.convicted[f.trait] = struct{}{}
		found = append(found, f)
	}
	for i := range candidates {
		c := &candidates[i]
		c.count()
		if c.episodes >= c.suspectAfter() {
			found = append(found, *c)
		}
	}
	return found
}

// newFinding describes a trait by the records that count against it.
func newFinding(t Trait, open []*record) finding {
	f := finding{trait: t, records: open}
	if len(open) > 1 {
		f.records = slices.Clone(open)
		slices.SortFunc(f.records, func(a, b *record) int { return a.at.Compare(b.at) })
	}
	for _, r := range open {
		s, _ := r.suspect(t)
		f.known = f.known || s.Known
		f.depth = max(f.depth, s.Depth)
	}
	return f
}

// convictable returns the findings whose crashes that are not explained convict them.
func convictable(findings []finding) []finding {
	var rest []finding
	for _, f := range findings {
		if len(f.records) < BlockAfter {
			continue
		}
		f.count()
		fast := !f.known && f.episodes >= blockAfterFast && f.crashes >= blockAfterCrashes
		if f.episodes >= BlockAfter || fast {
			rest = append(rest, f)
		}
	}
	return rest
}

// convict returns the finding that precedes the others, as a conviction that
// explains its records.
func convict(findings []finding) finding {
	first := findings[0]
	for _, f := range findings[1:] {
		if f.precedes(first) {
			first = f
		}
	}
	first.convicted = true
	for _, r := range first.records {
		r.explained = true
	}
	return first
}

// count counts the episodes of the crashes that are not explained.
func (f *finding) count() {
	f.episodes, f.crashes, f.renewals = 0, 0, 0
	var start time.Time
	for _, r := range f.records {
		if r.explained {
			continue
		}
		if f.episodes == 0 || r.at.Sub(start) > episodeGap {
			f.episodes++
			start = r.at
		}
		if f.crashes > 0 && r.at.Sub(f.last) >= probeInterval {
			f.renewals++
		}
		f.crashes++
		f.last = r.at
	}
}

func (f *finding) suspectAfter() int {
	if f.known {
		return suspectKnownAfter
	}
	return suspectAfter
}

// probeWait returns the time without a crash after which a convicted trait is probed.
// It doubles with each renewal of the conviction, so that a trait which stays harmful
// costs few upstreams.
func (f *finding) probeWait() time.Duration {
	return probeInterval << min(f.renewals, maxProbeDoublings)
}

// probeDelay returns the delay with which a process probes a trait. It differs
// between processes, so that the first one to probe spares the others a crash.
func probeDelay(self string, t Trait) time.Duration {
	h := hash("probe", self, binary.BigEndian.AppendUint64(nil, uint64(t)))
	return time.Duration(h % uint64(probeInterval))
}
