package poison

import (
	"cmp"
	"slices"
	"time"
)

// probeRepeat is the time between two probes of the same trait by one gateway. The
// outcome of a probe is known within it unless the answer is late.
const probeRepeat = 10 * time.Second

// Detector holds the evidence of one gateway. It is not safe for concurrent use:
// the goroutine of one duty owns it.
type Detector struct {
	self     string
	evidence evidence
	begun    recentTraits
	// findings are the traits under suspicion and the convicted ones. They are
	// derived from the evidence when it has changed since.
	findings map[Trait]finding
	// probes holds the times of the last probes of convicted traits.
	probes map[Trait]time.Time
	// messages is the number of calls of Reports.
	messages int64
}

// New returns a detector without evidence. The name of the process distinguishes it
// from others.
func New(self string) *Detector {
	return &Detector{
		self:     self,
		evidence: newEvidence(),
		begun:    newRecentTraits(),
		findings: map[Trait]finding{},
		probes:   map[Trait]time.Time{},
	}
}

// Lost records that an upstream was lost with a request whose answer had not begun.
func (d *Detector) Lost(now time.Time, id CrashID, traits []Trait) {
	d.evidence.expire(now)
	suspects := make([]Suspect, len(traits))
	for i, t := range traits {
		begunAt, begun := d.begun.last(t)
		suspects[i] = Suspect{
			Trait: t,
			Depth: min(i, maxDepth),
			Known: begun && now.Sub(begunAt) <= knownFor,
		}
	}
	d.evidence.join(now, crash{id: id, at: now, suspects: suspects})
}

// Answered records that an upstream answered a request that was sent at sentAt. It
// refutes a crash of that start of the upstream shortly before.
func (d *Detector) Answered(now time.Time, id CrashID, sentAt time.Time) {
	d.evidence.expire(now)
	r := d.evidence.records[id]
	if r == nil || r.refuted || !sentAt.After(r.at) || sentAt.Sub(r.at) > refutationTime {
		return
	}
	d.evidence.join(now, crash{id: id, at: r.at, refuted: true})
}

// Began records that the answer to a request began.
func (d *Detector) Began(now time.Time, traits []Trait) {
	d.evidence.expire(now)
	for _, t := range traits {
		d.begun.touch(t, now)
		if len(d.evidence.open[t]) > 0 {
			d.evidence.clear(now, t)
		}
	}
}

// Check returns the decision on a request: the strictest one of its traits. Among
// traits with the same verdict it is the one that would be convicted first.
func (d *Detector) Check(now time.Time, traits []Trait) Decision {
	d.refresh(now)
	if len(d.findings) == 0 {
		return Decision{}
	}
	var verdict Verdict
	var cause finding
	for _, t := range traits {
		f, found := d.findings[t]
		if !found {
			continue
		}
		v := d.verdict(now, f)
		if v > verdict || v == verdict && f.precedes(cause) {
			verdict, cause = v, f
		}
	}
	return Decision{Verdict: verdict, Trait: cause.trait, Episodes: cause.episodes}
}

func (d *Detector) verdict(now time.Time, f finding) Verdict {
	if !f.convicted {
		return Suspected
	}
	if now.Before(f.probeAt) {
		return Blocked
	}
	if probed, sent := d.probes[f.trait]; sent && now.Sub(probed) < probeRepeat {
		return Blocked
	}
	return Probe
}

// ProbeSent records that a request with a convicted trait was sent.
func (d *Detector) ProbeSent(now time.Time, t Trait) {
	d.refresh(now)
	if d.findings[t].convicted {
		d.probes[t] = now
	}
}

// Crashes returns the number of crashes of which evidence is kept.
func (d *Detector) Crashes() int { return len(d.evidence.records) }

// Expire drops the evidence that did not change for long.
func (d *Detector) Expire(now time.Time) { d.evidence.expire(now) }

// Revision returns a number that grows with each change of the evidence.
func (d *Detector) Revision() uint64 { return d.evidence.revision }

// Suspicions returns a decision for each trait that is suspected or convicted, as if
// no trait could be probed.
func (d *Detector) Suspicions(now time.Time) []Decision {
	d.refresh(now)
	list := make([]Decision, 0, len(d.findings))
	for _, f := range d.findings {
		s := Decision{Verdict: Suspected, Trait: f.trait, Episodes: f.episodes}
		if f.convicted {
			s.Verdict = Blocked
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Decision) int { return cmp.Compare(a.Trait, b.Trait) })
	return list
}

// Convicted returns the convicted traits.
func (d *Detector) Convicted(now time.Time) []Trait {
	d.refresh(now)
	var convicted []Trait
	for t, f := range d.findings {
		if f.convicted {
			convicted = append(convicted, t)
		}
	}
	slices.Sort(convicted)
	return convicted
}

// refresh derives the findings anew if the evidence has changed.
func (d *Detector) refresh(now time.Time) {
	d.evidence.expire(now)
	if !d.evidence.changed {
		return
	}
	d.evidence.changed = false
	clear(d.findings)
	for _, f := range judge(&d.evidence) {
		if f.convicted {
			f.probeAt = f.last.Add(probeInterval + probeDelay(d.self, f.trait))
		}
		f.records = nil
		d.findings[f.trait] = f
	}
	for t := range d.probes {
		if !d.findings[t].convicted {
			delete(d.probes, t)
		}
	}
}
