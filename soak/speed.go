package soak

import (
	"fmt"
	"time"
)

const (
	// speedInterval is the interval between two changes of a replica's speed.
	speedInterval = 150 * time.Millisecond
	// usualSpeed and maxSpeed bound how long work takes, in percent of its usual time.
	usualSpeed = 100
	maxSpeed   = 400
	// One in wrongSpeedOneIn answers with a speed has a malformed one.
	wrongSpeedOneIn = 10
)

// wrongSpeeds are malformed speeds: no number, out of range, followed by a fifth figure, or
// empty.
var wrongSpeeds = []string{"fast", "NaN", "-50", "1e300", "99999999999999999999", "250,1", ""}

// tellsSpeed reports whether the replica varies its speed and tells it. About a third of the
// replicas do not.
func (r *replica) tellsSpeed() bool { return seededRandom(r.env.options.Seed, r.name, 0).IntN(3) > 0 }

// speed returns how long work takes at a time, in percent of its usual time.
func (r *replica) speed(at time.Time) int {
	random := seededRandom(r.env.options.Seed, r.name, int(at.UnixNano()/int64(speedInterval)))
	if !r.tellsSpeed() || random.IntN(2) == 0 {
		return usualSpeed
	}
	return usualSpeed + random.IntN(maxSpeed-usualSpeed)
}

// workingTime returns how long work takes now that usually takes the given time.
func (r *replica) workingTime(usual time.Duration) time.Duration {
	return usual * time.Duration(r.speed(time.Now())) / usualSpeed
}

// loadHeader returns the load that the replica tells in its answer to an attempt.
func (r *replica) loadHeader(attempt string, running int) string {
	load := fmt.Sprintf("%d,0,%d", running, replicaSlots)
	random := seededRandom(r.env.options.Seed, "load "+attempt, 0)
	switch {
	case !r.tellsSpeed():
		return load
	case random.IntN(wrongSpeedOneIn) == 0:
		return load + "," + wrongSpeeds[random.IntN(len(wrongSpeeds))]
	default:
		return fmt.Sprintf("%s,%d", load, r.speed(time.Now()))
	}
}
