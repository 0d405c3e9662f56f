package dispatch

import "time"

const (
	// minEffectSamples is the number of responses of slow upstreams, and of usual ones, after
	// which their times tell how much of a stated speed counts.
	minEffectSamples = 12
	// maxEffectSamples bounds the number of responses over which the times are averaged.
	maxEffectSamples = 48
	// minEffect is the effect below which stated speeds do not count: times differ by chance.
	minEffect = 0.2
)

// speedEffect measures how much of the slowdowns that the upstreams of a service state shows in
// their responses. An upstream may share its processors with others and do its work on an
// accelerator of its own: avoiding it would only overload the others. The zero value, and nil,
// trust the upstreams.
type speedEffect struct {
	usual, slow responseTimes
	// ignored is the part of the stated slowdowns that does not show, from 0 to 1.
	ignored float64
}

// responseTimes averages times to the first byte and the slowdowns that were stated with them.
type responseTimes struct {
	count           int
	mean, slowdowns float64
}

func (t *responseTimes) add(firstByte time.Duration, slowdown float64) {
	t.count = min(t.count+1, maxEffectSamples)
	t.mean += (firstByte.Seconds() - t.mean) / float64(t.count)
	t.slowdowns += (slowdown - t.slowdowns) / float64(t.count)
}

// add records the time to the first byte of a response and the slowdown that it stated; 0 if
// it stated none.
func (e *speedEffect) add(firstByte time.Duration, slowdown float64) {
	switch {
	case firstByte <= 0 || slowdown <= 0:
		return
	case slowdown > sameSpeedRatio:
		e.slow.add(firstByte, min(slowdown, maxSlowdown))
	case slowdown >= 1/sameSpeedRatio:
		e.usual.add(firstByte, slowdown)
	default:
		return
	}
	if e.slow.count < minEffectSamples || e.usual.count < minEffectSamples {
		return
	}
	shown := (e.slow.mean/e.usual.mean - 1) / (e.slow.slowdowns/e.usual.slowdowns - 1)
	if shown < minEffect {
		shown = 0
	}
	e.ignored = 1 - min(shown, 1)
}

// weight returns the part of stated slowdowns that counts, from 0 to 1.
func (e *speedEffect) weight() float64 {
	if e == nil {
		return 1
	}
	return 1 - e.ignored
}
