package poison

import (
	"cmp"
	"container/heap"
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
	// probeSpacing is the mean time between the probes of two processes. It exceeds
	// the time until all of them know of the crash of the first one. maxProbeDelay
	// bounds the delay of a process.
	probeSpacing  = 500 * time.Millisecond
	maxProbeDelay = 6 * time.Minute
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
	// the time of the first probe after the one before.
	renewals int
	// convicted is set if the trait is convicted, else it is suspected.
	convicted bool
	// probeAt is the time from which a convicted trait may be probed.
	probeAt time.Time
	// records are those that count against the trait, by time.
	records []*record
}

// precedes reports whether the trait is convicted before another one.
func (f *finding) precedes(other *finding) bool {
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

// judge appends the traits of several crashes that are suspected or convicted to
// space, and marks the records that convicted traits explain.
func judge(e *evidence, space []finding) []finding {
	for _, r := range e.records {
		r.explained = false
	}
	clear(e.convicted)
	for t := range e.repeated {
		space = append(space, newFinding(t, e.open[t]))
	}
	e.convict(space)
	for i := range space {
		if !space[i].convicted {
			space[i].count()
		}
	}
	return slices.DeleteFunc(space, func(f finding) bool { return f.episodes < f.suspectAfter() })
}

// newFinding describes a trait by the records that count against it.
func newFinding(t Trait, open []*record) finding {
	f := finding{trait: t, records: open}
	for _, r := range open {
		s, _ := r.suspect(t)
		f.known = f.known || s.Known
		f.depth = max(f.depth, s.Depth)
	}
	f.count()
	return f
}

// single returns what the evidence says about a trait that one crash counts against,
// if it is suspected. The evidence must have been judged.
func (e *evidence) single(t Trait) (finding, bool) {
	open := e.open[t]
	if len(open) != 1 || open[0].explained {
		return finding{}, false
	}
	f := newFinding(t, open)
	return f, f.episodes >= f.suspectAfter()
}

// convict convicts traits, in their order, until no other one is left that has enough
// crashes which are not explained.
func (e *evidence) convict(findings []finding) {
	var queue convictionQueue
	for i := range findings {
		if findings[i].convictable() {
			queue = append(queue, &findings[i])
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		// Crashes that were explained meanwhile only move a trait back, so that the
		// first one precedes the others if its count is still right.
		f := queue[0]
		crashes := f.crashes
		f.count()
		switch {
		case !f.convictable():
			heap.Pop(&queue)
		case f.crashes < crashes:
			heap.Fix(&queue, 0)
		default:
			heap.Pop(&queue)
			f.convicted = true
			e.explain(f)
		}
	}
}

// explain marks the crashes of a convicted trait.
func (e *evidence) explain(f *finding) {
	e.convicted[f.trait] = struct{}{}
	for _, r := range f.records {
		r.explained = true
	}
}

// convictable reports whether the crashes that are not explained convict the trait.
func (f *finding) convictable() bool {
	fast := !f.known && f.episodes >= blockAfterFast && f.crashes >= blockAfterCrashes
	return f.episodes >= BlockAfter || fast
}

// convictionQueue is a heap of findings that may be convicted.
type convictionQueue []*finding

// Len implements heap.Interface.
func (q convictionQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q convictionQueue) Less(i, j int) bool { return q[i].precedes(q[j]) }

// Swap implements heap.Interface.
func (q convictionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *convictionQueue) Push(f any) { *q = append(*q, f.(*finding)) }

// Pop implements heap.Interface.
func (q *convictionQueue) Pop() any {
	last := len(*q) - 1
	f := (*q)[last]
	*q = (*q)[:last]
	return f
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
		if f.crashes > 0 && r.at.Sub(f.last) >= f.probeInterval() {
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

// probeInterval returns the time without a crash until the first probe. That the trait
// of a whole request counts as known says nothing about it.
func (f *finding) probeInterval() time.Duration {
	if f.known && f.trait&requestTrait == 0 {
		return knownProbeInterval
	}
	return probeInterval
}

// probeWait returns the time without a crash after which a convicted trait is probed.
// It doubles with each renewal of the conviction, so that a trait which stays harmful
// costs few upstreams.
func (f *finding) probeWait() time.Duration {
	return f.probeInterval() << min(f.renewals, maxProbeDoublings)
}

// probeDelay returns the delay with which a process probes a trait, below a bound. It
// differs between processes, so that the first one to probe spares the others a crash.
func probeDelay(self string, t Trait, bound time.Duration) time.Duration {
	h := hash("probe", self, binary.BigEndian.AppendUint64(nil, uint64(t)))
	return time.Duration(h % uint64(bound))
}
