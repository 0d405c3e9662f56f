package poison

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type outcome struct {
	convicted bool
	episodes  int
	last      time.Time
}

// evidenceAgainst returns what counts against a trait, by a direct reading of the
// specification.
func evidenceAgainst(crashes []crash, t Trait) (known bool, depth int, times []time.Time) {
	for _, c := range crashes {
		for _, s := range c.suspects {
			if s.Trait == t && !s.Cleared && !c.refuted {
				known = known || s.Known
				depth = max(depth, s.Depth)
				times = append(times, c.at)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return known, depth, times
}

func naiveEpisodes(times []time.Time) int {
	if len(times) == 0 {
		return 0
	}
	next := 0
	for next < len(times) && times[next].Sub(times[0]) <= 200*time.Millisecond {
		next++
	}
	return 1 + naiveEpisodes(times[next:])
}

// naiveVerdicts applies the specification step by step.
func naiveVerdicts(all []crash) map[Trait]outcome {
	outcomes := map[Trait]outcome{}
	unexplained := slices.Clone(all)
	for {
		var best Trait
		var bestKey [5]int
		for t := Trait(1); t <= 8; t++ {
			known, depth, _ := evidenceAgainst(all, t)
			_, _, times := evidenceAgainst(unexplained, t)
			key := [5]int{0, naiveEpisodes(times), len(times), depth, -int(t)}
			if !known {
				key[0] = 1
			}
			fast := !known && key[1] == 2 && len(times) >= 5
			if (key[1] >= 3 || fast) && (best == 0 || slices.Compare(key[:], bestKey[:]) > 0) {
				best, bestKey = t, key
			}
		}
		if best == 0 {
			break
		}
		_, _, times := evidenceAgainst(unexplained, best)
		outcomes[best] = outcome{convicted: true, episodes: bestKey[1], last: times[len(times)-1]}
		unexplained = slices.DeleteFunc(unexplained, func(c crash) bool {
			_, _, own := evidenceAgainst([]crash{c}, best)
			return len(own) > 0
		})
	}
	for t := Trait(1); t <= 8; t++ {
		known, _, _ := evidenceAgainst(all, t)
		_, _, times := evidenceAgainst(unexplained, t)
		n := naiveEpisodes(times)
		if n >= 2 || n == 1 && !known {
			outcomes[t] = outcome{episodes: n, last: times[len(times)-1]}
		}
	}
	return outcomes
}

// Guards against a whole service that is lost within two episodes, because many requests
// with an unknown harmful trait are in progress, and against the conviction of a known
// trait as fast.
func TestFastCrashesConvictAnUnknownTrait(t *testing.T) {
	times := []time.Duration{0, 10, 20, 30, 250}
	for _, known := range []bool{false, true} {
		d := New("gateway")
		if known {
			d.Survived(start, []Trait{7})
		}
		for i, ms := range times {
			now := start.Add(ms * time.Millisecond)
			require.NotEqual(t, Blocked, d.Check(now, []Trait{7}).Verdict)
			d.Lost(now, CrashID(i), []Trait{7})
		}
		end := start.Add(time.Second)
		require.Equal(t, !known, d.Check(end, []Trait{7}).Verdict == Blocked)
	}
}

// genFastCrashes draws crashes that follow each other fast, mostly with unknown traits.
func genFastCrashes() *rapid.Generator[[]Report] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
		r := Report{Crash: CrashID(rapid.IntRange(1, 12).Draw(t, "crash")), AgeMS: int64(rapid.IntRange(0, 4).Draw(t, "age")) * 100}
		for trait := Trait(1); trait <= 3; trait++ {
			r.Suspects = append(r.Suspects, Suspect{Trait: trait, Known: rapid.IntRange(0, 20).Draw(t, "known") == 0, Cleared: rapid.Bool().Draw(t, "cleared")})
		}
		return r
	}), 4, 12)
}

// Guards against verdicts that differ from the specification, also after a change
// of the evidence.
func TestVerdictsMatchANaiveImplementation(t *testing.T) {
	convictions := 0
	rapid.Check(t, func(t *rapid.T) {
		d := New("gateway")
		for _, message := range rapid.SliceOfN(rapid.OneOf(genReports(), genFastCrashes()), 1, 3).Draw(t, "messages") {
			d.Merge(start, message)
			d.refresh(start)
			want := naiveVerdicts(slices.Collect(maps.Values(state(d))))
			got := map[Trait]outcome{}
			for trait := Trait(1); trait <= 8; trait++ {
				if f, found := d.finding(trait); found {
					got[trait] = outcome{convicted: f.convicted, episodes: f.episodes, last: f.last}
				}
			}
			require.Equal(t, want, got)
			convictions += len(d.Convicted(start))
		}
	})
	require.Positive(t, convictions, "the drawn evidence convicts nothing")
}
