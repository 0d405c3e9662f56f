package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// probeRepeat is the time between two probes of the same trait by one gateway. The
// outcome of a probe is known within it unless the answer is late.
const probeRepeat = 10 * time.Second

// maxRecentTraits is the number of parts whose last harmless requests are remembered: those of
// a few of the longest prompts.
const maxRecentTraits = 16384

// Detector holds the evidence of one gateway. It is not safe for concurrent use:
// the goroutine of one duty owns it.
type Detector struct {
	self     string
	evidence evidence
	// survived holds when an upstream last survived a request with a trait, for the traits
	// of the last such requests.
	survived *simplelru.LRU[Trait, time.Time]
	// findings are the traits of several crashes that are suspected or convicted.
	// They are derived from the evidence when it has changed since. judged holds
	// them.
	findings map[Trait]*finding
	judged   []finding
	// probes holds the times of the last probes of convicted traits.
	probes map[Trait]time.Time
	// processes is the number of processes that may probe a trait.
	processes int
	// messages is the number of calls of Reports.
	messages int64
}

// New returns a detector without evidence. The name of the process distinguishes it
// from others.
func New(self string) *Detector {
	survived, err := simplelru.NewLRU[Trait, time.Time](maxRecentTraits, nil)
	if err != nil {
		panic(err) // The size is a constant above 0.
	}
	return &Detector{
		self:     self,
		evidence: newEvidence(),
		survived: survived,
		findings: map[Trait]*finding{},
		probes:   map[Trait]time.Time{},
	}
}

// SetProcesses sets the number of processes that may probe a trait. The delays of their
// probes are spread accordingly.
func (d *Detector) SetProcesses(n int) {
	if n != d.processes {
		d.processes = n
		d.evidence.changed = true
	}
}

// maxDelay returns the bound of the delays with which the processes probe a trait.
func (d *Detector) maxDelay(f *finding) time.Duration {
	return max(f.probeInterval(), min(time.Duration(d.processes)*probeSpacing, maxProbeDelay))
}

// Lost records that an upstream was lost with a request whose answer had not begun.
func (d *Detector) Lost(now time.Time, id CrashID, traits []Trait) {
	d.LostAnswering(now, id, traits, 0)
}

// LostAnswering records that an upstream was lost with a request whose answer had gone on for
// a time. An answer that had gone on for lastingAfter is no evidence. The longer it had gone
// on, the less likely the request is the cause: after earlyFor, only the request itself and
// the parts that no upstream has survived a short time ago are suspects, so that what many
// requests share is not counted against with each crash.
func (d *Detector) LostAnswering(now time.Time, id CrashID, traits []Trait, answered time.Duration) {
	if Lasts(answered) {
		return
	}
	d.evidence.expire(now)
	early := answered <= earlyFor
	suspects := make([]Suspect, 0, len(traits))
	for i, t := range traits {
		whole := t&requestTrait != 0
		known := d.known(now, t)
		if known && !early && !whole {
			continue
		}
		suspects = append(suspects, Suspect{Trait: t, Depth: min(i, maxDepth), Known: known || whole, Early: early})
	}
	d.evidence.join(now, crash{id: id, at: now, suspects: suspects})
}

// known reports whether an upstream survived a request with the trait a short time ago.
func (d *Detector) known(now time.Time, t Trait) bool {
	at, survived := d.survived.Peek(t)
	return survived && now.Sub(at) <= knownFor
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

// Lasts reports whether an upstream has survived a request whose answer has gone on for a time.
func Lasts(answered time.Duration) bool { return answered >= lastingAfter }

// Milestones are the times after its first event at which an answer that goes on is evidence;
// see GoesOn.
func Milestones() []time.Duration { return []time.Duration{earlyFor, lastingAfter} }

// GoesOn records that the answer to a request has gone on for a time. After lastingAfter its
// upstream has survived the request. After earlyFor that is likely: it clears the traits that
// an upstream survived a short time ago. Others are cleared by nothing less than survival,
// since each request with a harmful trait may get that far.
func (d *Detector) GoesOn(now time.Time, traits []Trait, answered time.Duration) {
	if Lasts(answered) {
		d.Survived(now, traits)
		return
	}
	d.evidence.expire(now)
	for _, t := range traits {
		if len(d.evidence.open[t]) > 0 && d.known(now, t) {
			d.evidence.clear(now, t)
		}
	}
}

// Survived records that an upstream survived a request: its answer came to its end, or lasted.
// That an answer began shows nothing, since an upstream may crash right after the first event.
func (d *Detector) Survived(now time.Time, traits []Trait) {
	d.evidence.expire(now)
	for _, t := range traits {
		// Whole requests are known anyway.
		if t&requestTrait == 0 {
			d.survived.Add(t, now)
		}
		if len(d.evidence.open[t]) > 0 {
			d.evidence.clear(now, t)
		}
	}
}

// Check returns the decision on a request: the strictest one of its traits. Among
// traits with the same verdict it is the one that would be convicted first.
func (d *Detector) Check(now time.Time, traits []Trait) Decision {
	d.refresh(now)
	if len(d.evidence.open) == 0 {
		return Decision{}
	}
	var verdict Verdict
	var cause finding
	for _, t := range traits {
		f, found := d.finding(t)
		if !found {
			continue
		}
		v := d.verdict(now, &f)
		if v > verdict || v == verdict && f.precedes(&cause) {
			verdict, cause = v, f
		}
	}
	return Decision{Verdict: verdict, Trait: cause.trait, Episodes: cause.episodes}
}

// RunsAlone reports whether the request with these traits, on which the decision was
// just made, must run without others on its upstream. An upstream that dies for its own
// reasons leaves a first episode against the parts of each request that it ran. If each
// of these requests had to run alone when it is repeated, they would wait for each
// other, so that episode does not count against them. It does against further requests
// with the part, which could crash many upstreams at once.
func (d *Detector) RunsAlone(made Decision, traits []Trait) bool {
	if made.Verdict != Suspected {
		return made.Verdict != Clear
	}
	return made.Episodes > 1 || len(d.evidence.open[traits[len(traits)-1]]) == 0
}

// finding returns what is known about a trait that is suspected or convicted.
func (d *Detector) finding(t Trait) (finding, bool) {
	if f := d.findings[t]; f != nil {
		return *f, true
	}
	return d.evidence.single(t)
}

// convicted reports whether a trait is convicted.
func (d *Detector) convicted(t Trait) bool {
	_, convicted := d.evidence.convicted[t]
	return convicted
}

func (d *Detector) verdict(now time.Time, f *finding) Verdict {
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
	if d.convicted(t) {
		d.probes[t] = now
	}
}

// Crashes returns the number of crashes of which evidence is kept.
func (d *Detector) Crashes() int { return len(d.evidence.records) }

// LeftOut returns the number of suspects that were left out of crashes with too many.
func (d *Detector) LeftOut() int64 { return d.evidence.leftOut }

// Expire drops the evidence that did not change for long.
func (d *Detector) Expire(now time.Time) { d.evidence.expire(now) }

// Revision returns a number that grows with each change of the evidence.
func (d *Detector) Revision() uint64 { return d.evidence.revision }

// Suspicions returns a decision for each trait that is suspected or convicted, as if
// no trait could be probed.
func (d *Detector) Suspicions(now time.Time) []Decision {
	d.refresh(now)
	var list []Decision
	for t := range d.evidence.open {
		f, found := d.finding(t)
		if !found {
			continue
		}
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
	return slices.Sorted(maps.Keys(d.evidence.convicted))
}

// refresh derives the findings anew if the evidence has changed.
func (d *Detector) refresh(now time.Time) {
	d.evidence.expire(now)
	if !d.evidence.changed {
		return
	}
	d.evidence.changed = false
	clear(d.findings)
	d.judged = judge(&d.evidence, d.judged[:0])
	for i := range d.judged {
		f := &d.judged[i]
		if f.convicted {
			f.probeAt = f.last.Add(f.probeWait() + probeDelay(d.self, f.trait, d.maxDelay(f)))
		}
		f.records = nil
		d.findings[f.trait] = f
	}
	for t := range d.probes {
		if !d.convicted(t) {
			delete(d.probes, t)
		}
	}
}
