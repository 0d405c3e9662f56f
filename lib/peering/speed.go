package peering

import "time"

const (
	// MaxSpeeds is the maximum number of speeds in one message, which holds the loads of
	// hundreds of upstreams and other reports beside them.
	MaxSpeeds = 96
	// maxSpeed bounds the speeds in a message, in percent.
	maxSpeed = 100_000
)

// Speed is what an upstream last stated to a process about its speed. The zero value means
// that it stated none, or that the process passes none on.
type Speed struct {
	// Percent is how long work takes, in percent of the usual time; 0 if unknown.
	Percent int `json:"v,omitempty"`
	// AgeMS is how long before the message the upstream stated it, in milliseconds.
	AgeMS int `json:"a,omitempty"`
}

// Age returns how long ago the upstream stated the speed.
func (s Speed) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// Known reports whether there is a speed.
func (s Speed) Known() bool { return s.Percent > 0 }

// valid reports whether both numbers are possible.
func (s Speed) valid() bool {
	return s.Percent >= 0 && s.Percent <= maxSpeed && validCount(s.AgeMS)
}

// aged returns the speed as it is a time later. The age is rounded up, so that a speed
// never becomes younger by being passed on.
func (s Speed) aged(by time.Duration) Speed {
	if !s.Known() {
		return Speed{}
	}
	return Speed{Percent: s.Percent, AgeMS: s.AgeMS + CeilMS(by)}
}

// younger returns the speed that was stated last. Of two of the same age it is the slower
// one, so that the result does not depend on their order.
func (s Speed) younger(o Speed) Speed {
	switch {
	case !s.Known():
		return o
	case !o.Known() || o.AgeMS > s.AgeMS:
		return s
	case o.AgeMS < s.AgeMS || o.Percent > s.Percent:
		return o
	default:
		return s
	}
}

// CeilMS returns a duration in milliseconds, rounded up; 0 if it is negative.
func CeilMS(d time.Duration) int {
	return int((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}
