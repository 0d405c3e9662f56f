package poison

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Traits of the scenarios. The request traits are those from 100.
const (
	firstPart Trait = iota + 1
	laterPart
	otherPart
	request Trait = 100
)

// crashes records crashes with the same suspects, a second apart, and returns the
// time of the last one. Their identifiers follow those of the crashes known.
func crashes(now time.Time, d *Detector, count int, traits ...Trait) time.Time {
	for range count {
		now = now.Add(time.Second)
		d.Lost(now, CrashID(d.Crashes()+1), traits)
	}
	return now
}

// event is one step of a scenario, at a time in milliseconds.
type event struct {
	atMS   int
	kind   string
	crash  CrashID
	traits []Trait
}

// Guards against sound traits that are blocked for others, and harmful ones that
// are not found.
func TestVerdictsOfScenarios(t *testing.T) {
	for name, s := range map[string]struct {
		events []event
		want   map[Trait]Verdict
	}{
		"a part beside a first part that sound requests share": {
			events: []event{
				{0, "lost", 1, []Trait{firstPart, laterPart, request}},
				{1000, "lost", 2, []Trait{firstPart, laterPart, request + 1}},
				{2000, "lost", 3, []Trait{firstPart, laterPart, request + 2}},
			},
			want: map[Trait]Verdict{firstPart: Clear, laterPart: Blocked, request: Clear},
		},
		"a known first part beside a part with fewer crashes": {
			events: []event{
				{0, "survived", 0, []Trait{firstPart}},
				{100, "lost", 1, []Trait{firstPart, laterPart, request}},
				{1000, "lost", 2, []Trait{firstPart, laterPart, request + 1}},
				{2000, "lost", 3, []Trait{firstPart, laterPart, request + 2}},
				{3000, "lost", 4, []Trait{firstPart, otherPart, request + 3}},
			},
			want: map[Trait]Verdict{firstPart: Clear, laterPart: Blocked, otherPart: Suspected},
		},
		"a first part that was known and became harmful": {
			events: []event{
				{0, "survived", 0, []Trait{firstPart}},
				{100, "lost", 1, []Trait{firstPart, request}},
				{1000, "lost", 2, []Trait{firstPart, request + 1}},
				{2000, "lost", 3, []Trait{firstPart, request + 2}},
			},
			want: map[Trait]Verdict{firstPart: Blocked, request: Clear},
		},
		"a known trait is suspected after two episodes": {
			events: []event{
				{0, "survived", 0, []Trait{firstPart, otherPart}},
				{100, "lost", 1, []Trait{firstPart, laterPart}},
				{1000, "lost", 2, []Trait{firstPart}},
				{2000, "lost", 3, []Trait{otherPart}},
			},
			want: map[Trait]Verdict{firstPart: Suspected, laterPart: Suspected, otherPart: Clear},
		},
		"requests that only shared upstreams begin elsewhere": {
			events: []event{
				{0, "lost", 1, []Trait{laterPart}},
				{0, "lost", 1, []Trait{otherPart}},
				{1000, "lost", 2, []Trait{laterPart}},
				{1000, "lost", 2, []Trait{otherPart}},
				{1500, "survived", 0, []Trait{otherPart}},
				{2000, "lost", 3, []Trait{laterPart}},
				{2000, "lost", 3, []Trait{otherPart}},
			},
			want: map[Trait]Verdict{laterPart: Blocked, otherPart: Clear},
		},
		"a failure domain that is lost at once": {
			events: []event{
				{0, "lost", 1, []Trait{firstPart, request}},
				{50, "lost", 2, []Trait{firstPart, request}},
				{100, "lost", 3, []Trait{firstPart, request}},
				{200, "lost", 4, []Trait{firstPart, request}},
			},
			want: map[Trait]Verdict{firstPart: Suspected, request: Suspected},
		},
		"connections that are reset": {
			events: []event{
				{0, "lost", 1, []Trait{request}},
				{1000, "lost", 2, []Trait{request}},
				{2000, "lost", 3, []Trait{request}},
				{2500, "answered", 3, nil},
			},
			want: map[Trait]Verdict{request: Suspected},
		},
		"an answer long after the crash refutes nothing": {
			events: []event{
				{0, "lost", 1, []Trait{request}},
				{1000, "lost", 2, []Trait{request}},
				{2000, "lost", 3, []Trait{request}},
				{3001, "answered", 3, nil},
			},
			want: map[Trait]Verdict{request: Blocked},
		},
		"one request that is repeated alone": {
			events: []event{
				{0, "lost", 1, []Trait{firstPart, laterPart, request}},
				{1000, "lost", 2, []Trait{firstPart, laterPart, request}},
				{2000, "lost", 3, []Trait{firstPart, laterPart, request}},
			},
			want: map[Trait]Verdict{firstPart: Clear, laterPart: Clear, request: Blocked},
		},
		"a repeated request, then others with its part": {
			events: []event{
				{0, "lost", 1, []Trait{laterPart, request}},
				{1000, "lost", 2, []Trait{laterPart, request}},
				{2000, "lost", 3, []Trait{laterPart, request}},
				{3000, "lost", 4, []Trait{laterPart, request + 1}},
			},
			want: map[Trait]Verdict{laterPart: Blocked, request: Clear, request + 1: Clear},
		},
		"a repeated request and others with its part in the same episodes": {
			events: []event{
				{0, "lost", 1, []Trait{laterPart, request}},
				{1000, "lost", 2, []Trait{laterPart, request}},
				{2000, "lost", 3, []Trait{laterPart, request}},
				{2100, "lost", 4, []Trait{laterPart, request + 1}},
			},
			want: map[Trait]Verdict{laterPart: Blocked, request: Clear, request + 1: Clear},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := New("gateway")
			now := start
			for _, e := range s.events {
				now = start.Add(time.Duration(e.atMS) * time.Millisecond)
				switch e.kind {
				case "lost":
					d.Lost(now, e.crash, e.traits)
				case "survived":
					d.Survived(now, e.traits)
				case "answered":
					d.Answered(now, e.crash, now)
				}
			}
			for trait, want := range s.want {
				require.Equal(t, want, d.Check(now, []Trait{trait}).Verdict, "trait %d", trait)
			}
		})
	}
}

// Guards against two gateways that count the same crash twice.
func TestCrashThatTwoGatewaysReportCountsOnce(t *testing.T) {
	a, b := New("a"), New("b")
	now := crashes(start, a, 2, request)
	crashes(start.Add(300*time.Millisecond), b, 2, request)
	a.Merge(now, b.Reports(now))
	require.Equal(t, 2, a.Crashes())
	require.Equal(t, Decision{Verdict: Suspected, Trait: request, Episodes: 2}, a.Check(now, []Trait{request}))
}

// Guards against a request with several traits that follows the milder verdict.
func TestStrictestTraitDecides(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, laterPart)
	now = crashes(now, d, 1, otherPart)
	want := Decision{Verdict: Blocked, Trait: laterPart, Episodes: 3}
	require.Equal(t, want, d.Check(now, []Trait{firstPart, otherPart, laterPart, request}))
	require.Equal(t, want, d.Check(now, []Trait{laterPart, otherPart}))
}

// Guards against a trait that stays blocked when it is harmless again.
func TestHarmlessTraitIsProbedOnceAndFreeEverywhere(t *testing.T) {
	a, b := New("a"), New("b")
	now := crashes(start, a, 3, request)
	b.Merge(now, a.Reports(now))
	require.Equal(t, []Trait{request}, b.Convicted(now), "a new detector learns convictions")
	check := func(d *Detector, now time.Time) Verdict { return d.Check(now, []Trait{request}).Verdict }
	probeAt := now.Add(probeInterval + probeDelay("a", request, probeInterval))
	require.Equal(t, Blocked, check(a, probeAt.Add(-time.Millisecond)))
	require.Equal(t, Probe, check(a, probeAt))
	a.ProbeSent(probeAt, request)
	require.Equal(t, Blocked, check(a, probeAt.Add(probeRepeat-time.Millisecond)))
	require.Equal(t, Probe, check(a, probeAt.Add(probeRepeat)), "the probe got no answer")
	a.Survived(probeAt, []Trait{request})
	b.Merge(probeAt, a.Reports(probeAt))
	require.Equal(t, Clear, check(a, probeAt))
	require.Equal(t, Clear, check(b, probeAt))
}

// Guards against probes at a rate that crashes upstreams one after the other.
func TestCrashOfAProbeRenewsTheConviction(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, request)
	now = now.Add(2 * probeInterval)
	d.ProbeSent(now, request)
	now = crashes(now, d, 1, request)
	require.Equal(t, Blocked, d.Check(now.Add(probeInterval-time.Millisecond), []Trait{request}).Verdict)
	require.Equal(t, 4, d.Check(now, []Trait{request}).Episodes)
}

// Guards against a part that stays harmful and costs an upstream every minute.
func TestFailedProbesComeLessOften(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, request)
	for _, wait := range []time.Duration{1, 2, 4, 8, 8} {
		d.Check(now, []Trait{request})
		last := d.findings[request].last
		now = last.Add(wait*time.Minute + probeDelay("gateway", request, probeInterval))
		require.Equal(t, Blocked, d.Check(now.Add(-time.Millisecond), []Trait{request}).Verdict, wait)
		require.Equal(t, Probe, d.Check(now, []Trait{request}).Verdict, wait)
		now = crashes(now, d, 1, request)
	}
}

// Guards against a sound trait that stays blocked for minutes because a whole service
// was lost in stages, and against probes of whole requests that come as soon.
func TestKnownTraitIsProbedSooner(t *testing.T) {
	repeated := RequestTrait("key", "/", nil)
	for trait, interval := range map[Trait]time.Duration{firstPart: 10 * time.Second, repeated: time.Minute} {
		d := New("gateway")
		d.Survived(start, []Trait{trait})
		now := crashes(start, d, 3, trait)
		for _, wait := range []time.Duration{1, 2, 4, 8, 8} {
			now = now.Add(wait*interval + probeDelay("gateway", trait, interval))
			require.Equal(t, Blocked, d.Check(now.Add(-time.Millisecond), []Trait{trait}).Verdict, wait)
			require.Equal(t, Probe, d.Check(now, []Trait{trait}).Verdict, wait)
			now = crashes(now, d, 1, trait)
		}
	}
}

// Guards against gateways that all probe at the same time.
func TestProbeDelaysDiffer(t *testing.T) {
	a, b := probeDelay("a", request, probeInterval), probeDelay("b", request, probeInterval)
	require.NotEqual(t, a, b)
	require.Less(t, max(a, b), probeInterval)
}

// Guards against probes of many processes before the crash of the first one is known,
// and against evidence that expires between two of their probes.
func TestProbesOfManyProcessesAreSpread(t *testing.T) {
	for _, processes := range []int{4, 21, 200, 760, 5000} {
		var probes []time.Duration
		for i := range processes {
			d := New("gateway " + strconv.Itoa(i))
			now := crashes(start, d, 3, firstPart)
			d.Check(now, []Trait{firstPart})
			d.SetProcesses(processes)
			d.Check(now, []Trait{firstPart})
			probes = append(probes, d.findings[firstPart].probeAt.Sub(now))
		}
		slices.Sort(probes)
		bound := max(time.Minute, time.Duration(min(processes, 720))*500*time.Millisecond)
		require.GreaterOrEqual(t, probes[0], time.Minute)
		require.Less(t, probes[processes-1], time.Minute+bound)
		require.Greater(t, probes[processes-1], time.Minute+bound/2)
	}
	longest := probeInterval<<maxProbeDoublings + maxProbeDelay
	require.Greater(t, evidenceTTL, (BlockAfter-1)*longest)
}

// Guards against a process that was paused and sends crashes with ages that are too
// small, and without what it missed.
func TestMessageOfAPausedProcessChangesNoVerdict(t *testing.T) {
	a, b := New("a"), New("b")
	now := crashes(start, a, 3, request)
	late := a.Reports(now)
	b.Merge(now, late)
	now = crashes(now, b, 1, laterPart)
	b.Survived(now, []Trait{laterPart})
	before := state(b)
	now = now.Add(5 * time.Second)
	b.Merge(now, late)
	require.Equal(t, before, state(b))
	require.Equal(t, []Trait{request}, b.Convicted(now))
}

// Guards against records that are left out of messages, or sent in too many.
func TestReportsRepeatWhatCounts(t *testing.T) {
	d := New("gateway")
	require.Nil(t, d.Reports(start))
	now := crashes(start, d, 40, request)
	now = crashes(now, d, 1, otherPart)
	contained := map[CrashID]int{}
	reports := d.Reports(now)
	require.Len(t, reports, MaxReports)
	require.Equal(t, CrashID(40), reports[0].Crash, "convicted traits first, then the newest")
	for range 2 * 41 * messagesPerChange / MaxReports {
		d.Reports(now)
	}
	for range 3 * messagesPerRepeat {
		for _, r := range d.Reports(now) {
			contained[r.Crash]++
		}
	}
	require.Len(t, contained, 40, "the repeated records are those of the convicted trait, in rotation")
}

// Guards against a request that goes on crashing upstreams, against one that must run
// alone after a first crash of which it was only one of many victims, against one
// that stays under suspicion after it ran, and against a crash of before that counts
// against it again.
func TestRequestIsIsolatedStoppedAndCleared(t *testing.T) {
	d := New("gateway")
	const whole = request | requestTrait
	traits := []Trait{laterPart, whole}
	alone := func(now time.Time, traits ...Trait) bool { return d.RunsAlone(d.Check(now, traits), traits) }
	require.False(t, alone(start, traits...))
	now := crashes(start, d, 1, traits...)
	early := d.All(now)
	require.False(t, alone(now, traits...), "a single crash may have another cause")
	require.True(t, alone(now, laterPart, whole+1), "other requests with a suspected part")
	now = crashes(now.Add(time.Second), d, 1, traits...)
	require.True(t, alone(now, traits...))
	require.Equal(t, Suspected, d.Check(now, traits).Verdict)
	d.Survived(now, traits)
	require.False(t, alone(now, traits...))
	d.Merge(now, early)
	require.Equal(t, Clear, d.Check(now, traits).Verdict, "the crash was before the answer")
	now = crashes(now.Add(time.Second), d, BlockAfter, traits...)
	require.Equal(t, Blocked, d.Check(now, traits).Verdict)
	require.True(t, alone(now, traits...))
	require.Equal(t, []Decision{{Verdict: Blocked, Trait: whole, Episodes: BlockAfter}}, d.Suspicions(now))
	require.Equal(t, Clear, d.Check(now.Add(2*evidenceTTL), traits).Verdict)
	require.Empty(t, d.Suspicions(now.Add(2*evidenceTTL)))
}

// Guards against a process whose parts do not agree: the whole evidence must lead to
// the same verdicts, and only news may change the revision.
func TestAllIsTheWholeEvidence(t *testing.T) {
	for _, crashes := range []int{1, BlockAfter} {
		d, now := fullDetector(crashes)
		other := New("gateway")
		other.Merge(now, d.All(now))
		require.Len(t, d.All(now), MaxRecords)
		suspicions := d.Suspicions(now)
		require.Equal(t, suspicions, other.Suspicions(now))
		before := other.Revision()
		other.Merge(now, d.All(now))
		require.Equal(t, before, other.Revision())
		d.Survived(now, []Trait{suspicions[0].Trait})
		other.Merge(now, d.All(now))
		require.Greater(t, other.Revision(), before)
	}
}

// Guards against messages that exceed their space, against records that are not sent
// because others fill the messages, and against one that counts as sent although its
// message had no space for it.
func TestEveryChangeIsSent(t *testing.T) {
	d, now := fullDetector(1)
	other := New("gateway")
	contained := map[CrashID]int{}
	for range MaxRecords * maxSuspects * messagesPerChange / maxReportedSuspects {
		suspects := 0
		reports := d.Reports(now)
		for _, r := range reports {
			contained[r.Crash]++
			suspects += len(r.Suspects)
		}
		require.LessOrEqual(t, suspects, maxReportedSuspects)
		other.Merge(now, reports)
	}
	require.Equal(t, d.All(now), other.All(now))
	require.Len(t, contained, MaxRecords)
	for id, messages := range contained {
		require.Equal(t, messagesPerChange, messages, id)
	}
	require.Empty(t, d.Reports(now))
}

// Guards against a crash that the answer to a request sent before it refutes: such an
// answer may only have been delayed.
func TestAnswerToAnEarlierRequestRefutesNothing(t *testing.T) {
	for sentMS, want := range map[int]Verdict{500: Suspected, 1000: Suspected, 1001: Clear} {
		d := New("gateway")
		d.Lost(start.Add(time.Second), 1, []Trait{laterPart})
		now := start.Add(1100 * time.Millisecond)
		d.Answered(now, 1, start.Add(time.Duration(sentMS)*time.Millisecond))
		require.Equal(t, want, d.Check(now, []Trait{laterPart}).Verdict, sentMS)
	}
}

// Guards against a trait that counts as known long after its last answer.
func TestKnownTraitIsForgotten(t *testing.T) {
	for age, want := range map[time.Duration]Verdict{knownFor: Clear, knownFor + 1: Suspected} {
		d := New("gateway")
		d.Survived(start, []Trait{laterPart})
		d.Lost(start.Add(age), 1, []Trait{laterPart})
		require.Equal(t, want, d.Check(start.Add(age), []Trait{laterPart}).Verdict, age)
	}
}

// Guards against gateways that differ about the time of a crash, and so about its
// episode, after one of them learns that it was earlier.
func TestEarlierTimeOfACrashIsSent(t *testing.T) {
	for earlierMS, want := range map[int64]int{50: 0, 51: 1} {
		d := New("gateway")
		d.Lost(start, 1, []Trait{laterPart})
		for range messagesPerChange {
			require.Len(t, d.Reports(start), 1)
		}
		d.Merge(start, []Report{{Crash: 1, AgeMS: earlierMS, Suspects: []Suspect{{Trait: laterPart, Early: true}}}})
		require.Len(t, d.Reports(start), want, earlierMS)
	}
}

// Guards against crashes that count against what many requests share, with each of the streams
// that are in the middle of their answers: after a moment only the request itself and its
// unknown parts are suspects, and none if the answer has lasted.
func TestSuspectsOfALateLoss(t *testing.T) {
	whole := RequestTrait("key", "/", nil)
	for answered, want := range map[time.Duration][]Suspect{
		0:                {{Trait: firstPart, Known: true, Early: true}, {Trait: laterPart, Depth: 1, Early: true}, {Trait: whole, Depth: 2, Known: true, Early: true}},
		earlyFor:         {{Trait: firstPart, Known: true, Early: true}, {Trait: laterPart, Depth: 1, Early: true}, {Trait: whole, Depth: 2, Known: true, Early: true}},
		earlyFor + 1:     {{Trait: laterPart, Depth: 1}, {Trait: whole, Depth: 2, Known: true}},
		lastingAfter - 1: {{Trait: laterPart, Depth: 1}, {Trait: whole, Depth: 2, Known: true}},
		lastingAfter:     nil,
	} {
		d := New("gateway")
		d.Survived(start, []Trait{firstPart})
		d.LostAnswering(start, 1, []Trait{firstPart, laterPart, whole}, answered)
		if want == nil {
			require.Zero(t, d.Crashes())
			continue
		}
		require.Equal(t, want, d.evidence.records[1].suspects, answered)
	}
}

// Guards against a harmful part that each of its requests clears, since its upstream crashes a
// while after the answer began, and against a sound part that is cleared only when answers end,
// although many have gone on for a moment since the crash.
func TestAnswerThatGoesOnClearsKnownTraits(t *testing.T) {
	for answered, cleared := range map[time.Duration][]Trait{
		earlyFor:     {firstPart},
		lastingAfter: {firstPart, laterPart},
	} {
		d := New("gateway")
		d.Survived(start, []Trait{firstPart})
		now := crashes(start, d, BlockAfter, firstPart)
		now = crashes(now, d, BlockAfter, laterPart)
		d.GoesOn(now, []Trait{firstPart, laterPart}, answered)
		for _, trait := range []Trait{firstPart, laterPart} {
			want := slices.Contains(cleared, trait)
			require.Equal(t, want, d.Check(now, []Trait{trait}).Verdict == Clear, "%v, trait %d", answered, trait)
		}
	}
}

// Guards against gateways of different builds, or with different views of one crash, that never
// agree on it.
func TestEarlySuspectsAreJoined(t *testing.T) {
	a, b := New("a"), New("b")
	a.LostAnswering(start, 1, []Trait{laterPart}, time.Second)
	b.Lost(start, 1, []Trait{laterPart})
	a.Merge(start, b.All(start))
	b.Merge(start, a.All(start))
	require.Equal(t, a.All(start), b.All(start))
	require.True(t, a.evidence.records[1].suspects[0].Early)
}
