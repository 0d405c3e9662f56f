package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// requireBounds checks the limits and that the index agrees with the records.
func requireBounds(t require.TestingT, d *Detector, now time.Time) {
	require.LessOrEqual(t, d.Crashes(), MaxRecords)
	require.LessOrEqual(t, d.survived.Len(), maxRecentTraits)
	open, repeated := 0, 0
	for _, r := range d.evidence.records {
		require.LessOrEqual(t, len(r.suspects), maxSuspects)
		require.True(t, slices.IsSortedFunc(r.suspects, compareTraits))
		for _, s := range r.suspects {
			require.Equal(t, r.counts(s), slices.Contains(d.evidence.open[s.Trait], r))
			if r.counts(s) {
				open++
			}
		}
	}
	for trait, records := range d.evidence.open {
		open -= len(records)
		require.True(t, slices.IsSortedFunc(records, compareTimes))
		if len(records) > 1 {
			repeated++
			_, found := d.evidence.repeated[trait]
			require.True(t, found)
		}
	}
	require.Len(t, d.evidence.repeated, repeated)
	require.Zero(t, open, "the index lists records that do not count")
	reports := d.Reports(now)
	require.LessOrEqual(t, len(reports), MaxReports)
	suspects := 0
	for i := range reports {
		require.True(t, reports[i].Valid())
		suspects += len(reports[i].Suspects)
	}
	require.LessOrEqual(t, suspects, maxReportedSuspects)
	require.LessOrEqual(t, len(d.probes), MaxRecords/BlockAfter)
}

// Guards against state or messages that grow with the input.
func TestBoundsHoldForAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, other := New("gateway"), New("other")
		now := start
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "s")) * time.Second)
			first := rapid.IntRange(1, 1000).Draw(t, "first")
			count := rapid.IntRange(1, 300).Draw(t, "count")
			traits := make([]Trait, rapid.IntRange(0, 300).Draw(t, "traits"))
			for i := range count {
				for j := range traits {
					traits[j] = Trait(first + i*j)
				}
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					d.Survived(now, traits)
				case 1:
					other.Lost(now, CrashID(first+i), traits)
				default:
					d.Lost(now, CrashID(first+i), traits)
				}
			}
			d.Merge(now, export(other, now))
			d.Answered(now.Add(time.Second), CrashID(first), now.Add(time.Millisecond))
			for _, t := range d.Convicted(now) {
				d.ProbeSent(now, t)
			}
			requireBounds(t, d, now)
		}
	})
}

// Guards against an attack with long requests that hides the cause among traits
// that are known to be sound.
func TestKnownSuspectsAreLeftOutFirst(t *testing.T) {
	d := New("gateway")
	var known, unknown []Trait
	for i := range Trait(maxSuspects) {
		known = append(known, i+1)
		unknown = append(unknown, i+1000)
	}
	d.Survived(start, known)
	d.Lost(start, 1, known)
	require.Len(t, d.evidence.records[1].suspects, maxSuspects)
	d.Lost(start, 1, unknown)
	for _, s := range d.evidence.records[1].suspects {
		require.False(t, s.Known)
	}
}

// Guards against a crash with many requests in the middle of their answers that hide the one
// which has just begun.
func TestLateSuspectsAreLeftOutBeforeEarlyOnes(t *testing.T) {
	const harmful Trait = 1
	d := New("gateway")
	for i := range Trait(4 * maxSuspects) {
		d.LostAnswering(start, 1, []Trait{i + 1000}, time.Second)
	}
	d.LostAnswering(start, 1, []Trait{harmful}, 20*time.Millisecond)
	for i := range Trait(4 * maxSuspects) {
		d.LostAnswering(start, 1, []Trait{i + 2000}, time.Second)
	}
	require.Len(t, d.evidence.records[1].suspects, maxSuspects)
	require.Equal(t, Suspect{Trait: harmful, Early: true}, d.evidence.records[1].suspects[0])
}

// Guards against a harmful trait that the bound on suspects leaves out of every crash.
func TestEachCrashKeepsAnotherSampleOfItsSuspects(t *testing.T) {
	const harmful = ^Trait(0)
	d := New("gateway")
	now := start
	for i := range 50 {
		now = now.Add(time.Second)
		d.Lost(now, CrashID(i+1), []Trait{harmful, RequestTrait("key", "/p", []byte{byte(i)})})
		for j := range 63 {
			d.Lost(now, CrashID(i+1), []Trait{RequestTrait("other", "/p", []byte{byte(i), byte(j)})})
		}
	}
	require.Equal(t, Blocked, d.Check(now, []Trait{harmful}).Verdict)
}

// Guards against a harmful part that is never convicted because a thousand other unknown parts
// come with it each time, more than a crash keeps, and against a sound request that is blocked
// for it.
func TestHarmfulPartAmongAThousandIsBlocked(t *testing.T) {
	d := New("gateway")
	traits := []Trait{PartTrait("m", "sound"), PartTrait("m", "harmful")}
	for i := range 1000 {
		traits = append(traits, PartTrait("m", fmt.Sprint("part ", i)))
	}
	own := func(i int) Trait { return RequestTrait("key", "/", []byte{byte(i)}) }
	d.Survived(start, traits[:1])
	now := start
	for i := range BlockAfter + 1 {
		now = now.Add(time.Second)
		d.LostAnswering(now, CrashID(i), append(slices.Clone(traits), own(i)), 20*time.Millisecond)
	}
	require.Equal(t, Blocked, d.Check(now, append(slices.Clone(traits), own(100))).Verdict)
	require.Equal(t, Clear, d.Check(now, []Trait{traits[0], own(101)}).Verdict)
	require.Positive(t, d.LeftOut())
}

// Guards against a harmful part behind a thousand parts that sound requests share.
func TestHarmfulPartBehindAThousandSoundOnesIsBlocked(t *testing.T) {
	d := New("gateway")
	var sound []Trait
	for i := range 1000 {
		sound = append(sound, PartTrait("m", fmt.Sprint("part ", i)))
	}
	harmful := PartTrait("m", "harmful")
	d.Survived(start, sound)
	now := start
	for i := range BlockAfter {
		now = now.Add(time.Second)
		d.Lost(now, CrashID(i), append(slices.Clone(sound), harmful, RequestTrait("key", "/", []byte{byte(i)})))
	}
	require.Equal(t, []Trait{harmful}, d.Convicted(now))
	require.Equal(t, Clear, d.Check(now, sound).Verdict)
}

// Guards against evidence that is displaced by crashes that explain nothing.
func TestCrashesThatExplainNothingAreDroppedFirst(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, 7)
	for i := range CrashID(2 * MaxRecords) {
		now = now.Add(time.Second)
		d.Lost(now, 1000+i, []Trait{8})
		d.Survived(now, []Trait{8})
	}
	require.Equal(t, MaxRecords, d.Crashes())
	require.Equal(t, []Trait{7}, d.Convicted(now))
}

// Guards against the loss of a failure domain that displaces the evidence for a
// conviction, and against a conviction that is not renewed while there are as many
// crashes that nothing explains.
func TestConvictionOutlivesLossOfAFailureDomain(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, 7)
	require.Equal(t, []Trait{7}, d.Convicted(now))
	now = now.Add(10 * time.Second)
	for i := range CrashID(2 * MaxRecords) {
		d.Lost(now, 1000+i, []Trait{Trait(1000 + i)})
	}
	require.Equal(t, MaxRecords, d.Crashes())
	require.Equal(t, []Trait{7}, d.Convicted(now))
	d.Lost(now.Add(-time.Second), 9999, []Trait{7})
	require.Equal(t, 4, d.Check(now, []Trait{7}).Episodes)
}

// Guards against evidence that stays for ever, and convictions with it.
func TestEvidenceExpires(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, 7)
	require.Equal(t, []Trait{7}, d.Convicted(start.Add(evidenceTTL)))
	require.Empty(t, d.Convicted(now.Add(evidenceTTL+time.Second)))
	require.Zero(t, d.Crashes())
	require.Empty(t, d.evidence.open)
}

// Guards against a table of answers that grows or forgets traits in use.
func TestRecentTraitsForgetTheOldest(t *testing.T) {
	d := New("gateway")
	for i := range Trait(3 * maxRecentTraits) {
		d.Survived(start, []Trait{i})
		d.Survived(start, []Trait{0})
	}
	require.True(t, d.survived.Contains(0))
	require.False(t, d.survived.Contains(2*maxRecentTraits))
	require.True(t, d.survived.Contains(3*maxRecentTraits-1))
	require.Equal(t, maxRecentTraits, d.survived.Len())
}

// FuzzReports guards against messages that break a gateway.
func FuzzReports(f *testing.F) {
	d := New("gateway")
	now := crashes(start, d, 4, 7, 8)
	seed, err := json.Marshal(d.Reports(now))
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte(`[{"i":1,"a":-5,"s":[{"t":3,"d":-1}]},{"i":1,"a":600000,"r":true}]`))
	f.Add([]byte(`[{"i":18446744073709551615,"s":[{"t":1},{"t":1,"k":true}]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var reports []Report
		if json.Unmarshal(data, &reports) != nil {
			return
		}
		d := merged(start, reports)
		before := state(d)
		requireBounds(t, d, start)
		d.Merge(start, reports)
		if len(before) < MaxRecords {
			require.Equal(t, before, state(d))
		}
	})
}

// fullDetector returns a detector with all records and suspects that it may keep, in
// which each trait has the given number of crashes.
func fullDetector(crashes int) (*Detector, time.Time) {
	d := New("gateway")
	now := start
	for i := range MaxRecords {
		now = now.Add(time.Second)
		var traits []Trait
		for j := range maxSuspects {
			traits = append(traits, Trait(hash("trait", "", []byte{byte(i / crashes), byte(j)})))
		}
		d.Lost(now, CrashID(i), traits)
	}
	return d, now
}

func BenchmarkBegan(b *testing.B) {
	d, now := fullDetector(3)
	next := Trait(1 << 32)
	b.ReportAllocs()
	for b.Loop() {
		next++
		d.Survived(now, []Trait{1 << 31, 1<<31 + 1, next})
	}
}

func BenchmarkCheck(b *testing.B) {
	d, now := fullDetector(3)
	b.ReportAllocs()
	for b.Loop() {
		d.Check(now, []Trait{1, 2, 1 << 31})
	}
}

// BenchmarkCheckLongPrompt measures the check of prompts up to the longest ones that count.
func BenchmarkCheckLongPrompt(b *testing.B) {
	for _, parts := range []int{8, 1200, 4096} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			d, now := fullDetector(3)
			traits := make([]Trait, parts)
			for i := range traits {
				traits[i] = PartTrait("m", fmt.Sprint(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Check(now, traits)
			}
		})
	}
}

// BenchmarkCheckAfterChange includes the derivation of the verdicts.
func BenchmarkCheckAfterChange(b *testing.B) {
	for _, crashes := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			d, now := fullDetector(crashes)
			b.ReportAllocs()
			for b.Loop() {
				d.evidence.changed = true
				d.Check(now, []Trait{1, 2, 1 << 31})
			}
		})
	}
}
