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
		var bestKey [4]int
		for t := Trait(1); t <= 8; t++ {
			known, depth, _ := evidenceAgainst(all, t)
			_, _, times := evidenceAgainst(unexplained, t)
			key := [4]int{0, naiveEpisodes(times), depth, -int(t)}
			if !known {
				key[0] = 1
			}
			if key[1] >= 3 && (best == 0 || slices.Compare(key[:], bestKey[:]) > 0) {
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

// Guards against verdicts that differ from the specification, also after a change
// of the evidence.
func TestVerdictsMatchANaiveImplementation(t *testing.T) {
	convictions := 0
	rapid.Check(t, func(t *rapid.T) {
		d := New("gateway")
		for _, message := range rapid.SliceOfN(genReports(), 1, 3).Draw(t, "messages") {
			d.Merge(start, message)
			d.refresh(start)
			want := naiveVerdicts(slices.Collect(maps.Values(state(d))))
			got := map[Trait]outcome{}
			for trait, f := range d.findings {
				got[trait] = outcome{convicted: f.convicted, episodes: f.episodes, last: f.last}
			}
			require.Equal(t, want, got)
			convictions += len(d.Convicted(start))
		}
	})
	require.Positive(t, convictions, "the drawn evidence convicts nothing")
}
