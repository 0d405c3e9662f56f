package emulator

import (
	"math/rand/v2"
	"time"
)

// speedStream is the stream of random numbers of the engines' speeds. It differs from
// the others, so that the speeds do not depend on what gateways and callers do.
const speedStream = 2 << 32

// EngineSpeed lets the speed of the engines change, as when they share their machines with
// others. Each engine draws its speed anew in each of its intervals, which begin at
// different times, and states it in its answers unless Unstated is set.
type EngineSpeed struct {
	// Share is the fraction of the engines that are slow at a time; 0 means that all work
	// at one speed and state none.
	Share float64 `ini:"share"`
	// Factor is how many times as long work takes at a slow engine.
	Factor float64 `ini:"factor"`
	// Interval is the time between two draws.
	Interval time.Duration `ini:"interval"`
	// Unstated is set if the answers do not state the speed.
	Unstated bool `ini:"unstated"`
}

// valid reports whether the section can be played.
func (v *EngineSpeed) valid() bool {
	return v.Share == 0 && v.Factor == 0 && v.Interval == 0 || v.Share > 0 && v.Share <= 1 && v.Factor > 0 && v.Interval > 0
}

// changeSpeed lets the speed of an engine change until the end of the run.
func (s *simulation) changeSpeed(e *engine, number int) {
	v := &s.scenario.Speed
	if v.Share == 0 {
		return
	}
	e.speedUnstated = v.Unstated
	random := rand.New(rand.NewPCG(s.seed, speedStream+uint64(number)))
	draw := func() {
		e.slowdown = 1
		if random.Float64() < v.Share {
			e.slowdown = v.Factor
		}
	}
	draw()
	s.every(time.Duration(random.Int64N(int64(v.Interval))), v.Interval, draw)
}

// atSpeed returns how long work takes now that takes d at the usual speed.
func (e *engine) atSpeed(d time.Duration) time.Duration {
	if e.slowdown == 0 {
		return d
	}
	return time.Duration(float64(d) * e.slowdown)
}

// statedSlowdown returns the slowdown that the engine states in its answers; 0 if none.
func (e *engine) statedSlowdown() float64 {
	if e.speedUnstated {
		return 0
	}
	return e.slowdown
}
