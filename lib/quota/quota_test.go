package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261204") }

// Guards against parts that together exceed the whole or fall short of it.
func TestEqualPartsSumUpToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 40).Draw(t, "processes")
		total := rapid.IntRange(0, 100).Draw(t, "total")
		offset := rapid.IntRange(0, 1<<16).Draw(t, "offset")
		sum := 0
		for i := range processes {
			sum += Place{Position: i, Processes: processes}.EqualPart(total, offset)
		}
		require.Equal(t, total, sum)
	})
}

// Guards against a window that counts an event longer than its span, or forgets one
// within it.
func TestWindowCountsItsSpan(t *testing.T) {
	var w Window
	now := time.Unix(1000, 0)
	require.Zero(t, w.Last())
	w.Add(now)
	w.Add(now.Add(time.Second))
	require.Equal(t, 2, w.Count(now.Add(4*time.Second-1), 4*time.Second))
	require.Equal(t, 1, w.Count(now.Add(4*time.Second), 4*time.Second))
	require.Equal(t, now.Add(time.Second), w.Last())
}

func sharers(weights ...float64) []Sharer {
	var out []Sharer
	for i, w := range weights {
		out = append(out, NewSharer(fmt.Sprint("process-", i), w))
	}
	return out
}

// owned returns how many of a number of units each process owns.
func owned(list []Sharer, units int) map[uint64]int {
	out := map[uint64]int{}
	for i := range units {
		out[Owner(UnitKey("upstream", i), list)]++
	}
	return out
}

// Guards against a division that ignores demand: processes without any would own units
// that those with demand need.
func TestUnitsFollowWeights(t *testing.T) {
	list := sharers(1, 3, 0, 6)
	got := owned(list, 10000)
	for _, s := range list {
		require.InDelta(t, 1000*s.Weight, got[s.Process], 200)
	}
	require.Equal(t, map[uint64]int{0: 5}, owned(sharers(0, 0), 5))
}

// Guards against a division in which the change of one process's demand moves units
// between the others: each move leaves a unit unused for a while.
func TestChangedWeightMovesOnlyItsOwnUnits(t *testing.T) {
	before, after := sharers(2, 3, 4, 5), sharers(2, 3, 6, 5)
	changed := before[2].Process
	for i := range 5000 {
		unit := UnitKey(fleet.InstanceID(fmt.Sprint("upstream-", i)), 0)
		was, is := Owner(unit, before), Owner(unit, after)
		require.True(t, was == is || is == changed, "a unit moved between others")
	}
}

// Guards against a budget in a large fleet that many processes own a little of, and
// against one that moves to other owners when a process joins.
func TestCandidatesAreFewAndStable(t *testing.T) {
	weights := make([]float64, 200)
	for i := range weights {
		weights[i] = 1
	}
	all := sharers(weights...)
	key := UnitKey("upstream", 0)
	before, after := Candidates(key, all[:199], 16), Candidates(key, all, 16)
	require.Len(t, before, 16)
	kept := 0
	for _, position := range after {
		if slices.Contains(before, position) {
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, 15)
	require.Equal(t, []int{0, 1, 2, 3, 4}, Candidates(key, all[:5], 16))
}
