package watcher

import "time"

// moment is a time on two clocks: the steady one, which stands still while the machine is
// suspended, and the uptime of the machine, which does not. The zero value is no time.
type moment struct {
	steady time.Time
	uptime time.Duration
}

// now returns the present.
func (w *Watcher) now() moment { return moment{steady: time.Now(), uptime: w.uptime()} }

// add returns the moment that is later by a duration.
func (m moment) add(d time.Duration) moment {
	return moment{steady: m.steady.Add(d), uptime: m.uptime + d}
}

// since returns the time since an earlier moment, by the clock that counted more: a clock
// that stood still makes nothing younger.
func (m moment) since(earlier moment) time.Duration {
	return max(m.steady.Sub(earlier.steady), m.uptime-earlier.uptime)
}
