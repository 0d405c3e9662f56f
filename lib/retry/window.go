package retry

import "time"

// WindowLimits bound the repeats of all processes together: in any Window, a
// service gets at most Ratio times its first attempts plus Reserve repeats.
type WindowLimits struct {
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

// windowParts is the number of parts that a window is counted in. One more is
// kept, so that the parts cover a whole window at any time.
const windowParts = 20

type windowPart struct {
	index          int64
	first, repeats float64
}

// Window is one process's part of a budget that all processes share without
// speaking to each other: the ratio applies to its own first attempts, and the
// reserve is divided among the processes.
type Window struct {
	limits WindowLimits
	begun  time.Time
	parts  [windowParts + 1]windowPart
}

// NewWindow returns a budget with nothing counted.
func NewWindow(l WindowLimits, now time.Time) *Window { return &Window{limits: l, begun: now} }

// First counts a first attempt.
func (w *Window) First(now time.Time) { w.part(now).first++ }

// Spend counts a repeat if the budget allows it. The reserve is shared by a
// number of processes.
func (w *Window) Spend(now time.Time, processes int) bool {
	current := w.index(now)
	var first, repeats float64
	for i := range w.parts {
		if s := &w.parts[i]; current-s.index <= windowParts {
			first += s.first
			repeats += s.repeats
		}
	}
	if repeats+1 > w.limits.Ratio*first+w.limits.Reserve/float64(max(processes, 1)) {
		return false
	}
	w.part(now).repeats++
	return true
}

func (w *Window) index(now time.Time) int64 {
	return int64(now.Sub(w.begun) / max(w.limits.Window/windowParts, 1))
}

func (w *Window) part(now time.Time) *windowPart {
	index := w.index(now)
	s := &w.parts[index%int64(len(w.parts))]
	if s.index != index {
		*s = windowPart{index: index}
	}
	return s
}
