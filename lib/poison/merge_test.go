package poison

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// state returns the records of a detector without what only concerns messages.
func state(d *Detector) map[CrashID]crash {
	s := map[CrashID]crash{}
	for id, r := range d.evidence.records {
		c := r.crash
		c.suspects = append([]Suspect{}, c.suspects...)
		s[id] = c
	}
	return s
}

// export returns all records as reports.
func export(d *Detector, now time.Time) []Report {
	var reports []Report
	for _, r := range d.evidence.records {
		reports = append(reports, r.report(now))
	}
	return reports
}

func merged(now time.Time, messages ...[]Report) *Detector {
	d := New("gateway")
	for _, m := range messages {
		d.Merge(now, m)
	}
	return d
}

func genSuspect() *rapid.Generator[Suspect] {
	return rapid.Custom(func(t *rapid.T) Suspect {
		return Suspect{
			Trait:   Trait(rapid.IntRange(1, 8).Draw(t, "trait")),
			Depth:   rapid.IntRange(0, 3).Draw(t, "depth"),
			Known:   rapid.Bool().Draw(t, "known"),
			Cleared: rapid.IntRange(0, 3).Draw(t, "cleared") == 0,
		}
	})
}

// genReports draws messages about few crashes and traits. The ages are multiples of
// half of episodeGap, so that crashes lie on both sides of the limit.
func genReports() *rapid.Generator[[]Report] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
		return Report{
			Crash:    CrashID(rapid.IntRange(1, 12).Draw(t, "crash")),
			AgeMS:    int64(rapid.IntRange(0, 30).Draw(t, "age")) * 100,
			Refuted:  rapid.IntRange(0, 7).Draw(t, "refuted") == 0,
			Suspects: rapid.SliceOfN(genSuspect(), 0, 5).Draw(t, "suspects"),
		}
	}), 0, 12)
}

// Guards against messages whose loss, repetition or order changes what is known.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genReports().Draw(t, "a"), genReports().Draw(t, "b"), genReports().Draw(t, "c")
		require.Equal(t, state(merged(start, a)), state(merged(start, a, a)), "idempotent")
		require.Equal(t, state(merged(start, a, b)), state(merged(start, b, a)), "commutative")
		bc := export(merged(start, b, c), start)
		require.Equal(t, state(merged(start, a, b, c)), state(merged(start, a, bc)), "associative")
	})
}

// Guards against records that gateways send each other for ever.
func TestRepeatedMergeIsNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := merged(start, genReports().Draw(t, "reports"))
		all := export(d, start)
		for range 2 * messagesPerChange {
			d.Reports(start)
		}
		later := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		before := state(d)
		d.Merge(later, all)
		require.Equal(t, before, state(d))
		for _, r := range d.evidence.records {
			require.Zero(t, r.pending)
			require.Equal(t, start, r.changedAt)
		}
	})
}

// Guards against gateways that disagree after messages were lost, repeated, late or
// passed on by others.
func TestGatewaysAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		gateways := []*Detector{New("a"), New("b"), New("c")}
		var messages [][]Report
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			g := rapid.SampledFrom(gateways).Draw(t, "gateway")
			id := CrashID(rapid.IntRange(1, 8).Draw(t, "crash"))
			traits := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Trait {
				return Trait(rapid.IntRange(1, 6).Draw(t, "trait"))
			}), 1, 3).Draw(t, "traits")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				g.Lost(now, id, traits)
			case 2:
				g.Survived(now, traits[:1])
			case 3:
				g.Answered(now, id, now.Add(-50*time.Millisecond))
			case 4:
				messages = append(messages, g.Reports(now))
			default:
				if len(messages) > 0 {
					g.Merge(now, rapid.SampledFrom(messages).Draw(t, "message"))
				}
			}
		}
		for range gateways {
			for _, from := range gateways {
				for _, to := range gateways {
					to.Merge(now, export(from, now))
				}
			}
		}
		for _, g := range gateways[1:] {
			require.Equal(t, state(gateways[0]), state(g))
			require.Equal(t, gateways[0].Convicted(now), g.Convicted(now))
			for trait := Trait(1); trait <= 6; trait++ {
				require.Equal(t, gateways[0].Check(now, []Trait{trait}), g.Check(now, []Trait{trait}))
			}
		}
	})
}

// Guards against a conviction that stays at a gateway which was cut off when the
// trait was cleared: the others send what its own messages lack.
func TestGatewayThatWasCutOffLearnsThatATraitIsCleared(t *testing.T) {
	a, b := New("a"), New("b")
	now := crashes(start, a, 3, 7)
	b.Merge(now, a.Reports(now))
	a.Survived(now, []Trait{7})
	for range 2 * messagesPerChange {
		a.Reports(now)
	}
	require.Equal(t, []Trait{7}, b.Convicted(now))
	for range 2 * messagesPerRepeat {
		a.Merge(now, b.Reports(now))
		b.Merge(now, a.Reports(now))
	}
	require.Empty(t, b.Convicted(now))
	require.Empty(t, a.Convicted(now))
}

// Guards against impossible numbers in messages.
func TestImpossibleReportsAreIgnored(t *testing.T) {
	for name, r := range map[string]Report{
		"negative age":      {AgeMS: -1},
		"old":               {AgeMS: evidenceTTL.Milliseconds() + 1},
		"suspects":          {Suspects: make([]Suspect, maxSuspects+1)},
		"negative depth":    {Suspects: []Suspect{{Trait: 1, Depth: -1}}},
		"depth above limit": {Suspects: []Suspect{{Trait: 1, Depth: maxDepth + 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			r.Crash = 1
			require.False(t, r.Valid())
			require.Zero(t, merged(start, []Report{r}).Crashes())
		})
	}
	require.True(t, (&Report{Suspects: slices.Repeat([]Suspect{{}}, maxSuspects)}).Valid())
}
