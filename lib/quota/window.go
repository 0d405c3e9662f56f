// Package quota divides budgets that all processes share, such as the number of
// requests that an upstream may get in some time, so that each process keeps its part
// without asking the others about a single request. It performs no I/O and has no
// clock.
package quota

import "time"

// Window counts events within a sliding window. The zero value is empty.
type Window struct{ times []time.Time }

// Add records an event.
func (w *Window) Add(now time.Time) { w.times = append(w.times, now) }

// Count returns the number of events within the last span. Older ones are dropped, so
// that all calls for one window must pass the same span.
func (w *Window) Count(now time.Time, span time.Duration) int {
	for len(w.times) > 0 && now.Sub(w.times[0]) >= span {
		w.times = w.times[1:]
	}
	return len(w.times)
}

// Last returns the time of the last event that was not dropped, or zero.
func (w *Window) Last() time.Time {
	if len(w.times) == 0 {
		return time.Time{}
	}
	return w.times[len(w.times)-1]
}
