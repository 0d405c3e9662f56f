package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a budget that several processes exceed together although each
// keeps within its part: in every window the retries of all processes must stay
// within the ratio of all first attempts plus the reserve.
func TestWindowsOfAllProcessesKeepTheBudget(t *testing.T) {
	limits := WindowLimits{Ratio: 0.2, Reserve: 40, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		startedAt := time.Unix(1000, 0)
		processes := rapid.IntRange(1, 5).Draw(t, "processes")
		windows := make([]*Window, processes)
		for i := range windows {
			windows[i] = NewWindow(limits, startedAt)
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		at := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			w := windows[rapid.IntRange(0, processes-1).Draw(t, "process")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				w.RecordFirst(startedAt.Add(at))
				events = append(events, event{at: at})
			} else if w.Spend(startedAt.Add(at), processes) {
				events = append(events, event{at: at, retry: true})
			}
		}
		for _, last := range events {
			// First attempts count in the window of the retries, the one before it, or the
			// one half a window earlier, whichever has most.
			var first [3]float64
			retries := 0.0
			for _, e := range events {
				age := last.at - e.at
				if e.retry && age >= 0 && age < limits.Window {
					retries++
				}
				for i, earlier := range []time.Duration{0, limits.Window / 2, limits.Window} {
					if !e.retry && age >= earlier && age < earlier+limits.Window {
						first[i]++
					}
				}
			}
			require.LessOrEqual(t, retries, limits.Ratio*max(first[0], first[1], first[2])+limits.Reserve)
		}
	})
}

// Guards against retries that are never allowed again after a budget was used
// up.
func TestWindowForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(WindowLimits{Reserve: 2, Window: 10 * time.Second}, now)
	require.True(t, w.Spend(now, 1))
	require.True(t, w.Spend(now, 1))
	require.False(t, w.Spend(now.Add(9*time.Second), 1))
	require.True(t, w.Spend(now.Add(11*time.Second), 1))
}
