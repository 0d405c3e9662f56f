package retry

import "time"

// WindowLimits bound the retries of all processes together: within any period of
// length Window, a service gets at most Reserve retries in addition to Ratio
// times its first attempts.
type WindowLimits struct {
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

// windowParts is the number of parts that a window is divided into for counting. One
// more part is kept: retries are counted in all of them, which cover a complete window at
// any time, and first attempts in those that lie in the window completely.
const windowParts = 20

// ratioFraction is the fraction of the ratio that is used: processes look at windows that
// end at different times, and the first attempts in them may be fewer in any one window.
const ratioFraction = 0.9

// windowPart holds the counts of one part of the window.
type windowPart struct {
	// index is the number of the part since startedAt.
	index                  int64
	firstAttempts, retries float64
}

// Window is one process's part of a retry budget that all processes share
// without communication: the ratio applies to the process's own first attempts,
// and the reserve is divided by the number of processes.
type Window struct {
	limits    WindowLimits
	startedAt time.Time
	parts     [windowParts + 1]windowPart
}

// NewWindow returns an empty window whose parts are counted from now.
func NewWindow(l WindowLimits, now time.Time) *Window { return &Window{limits: l, startedAt: now} }

// RecordFirst counts a first attempt.
func (w *Window) RecordFirst(now time.Time) { w.currentPart(now).firstAttempts++ }

// Spend counts a retry and returns true if the budget allows one. The reserve is
// divided by the number of processes.
func (w *Window) Spend(now time.Time, processes int) bool {
	current := w.index(now)
	var first, retries float64
	for i := range w.parts {
		part := &w.parts[i]
		age := current - part.index
		if age <= windowParts {
			retries += part.retries
		}
		if age < windowParts {
			first += part.firstAttempts
		}
	}
	if retries+1 > ratioFraction*w.limits.Ratio*first+w.limits.Reserve/float64(max(processes, 1)) {
		return false
	}
	w.currentPart(now).retries++
	return true
}

// index returns the number of the part that now belongs to.
func (w *Window) index(now time.Time) int64 {
	return int64(now.Sub(w.startedAt) / max(w.limits.Window/windowParts, 1))
}

// currentPart returns the part that now belongs to, cleared if it held the
// counts of an older part.
func (w *Window) currentPart(now time.Time) *windowPart {
	index := w.index(now)
	part := &w.parts[index%int64(len(w.parts))]
	if part.index != index {
		*part = windowPart{index: index}
	}
	return part
}
