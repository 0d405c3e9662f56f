package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unevenSpeed returns the scenario of engines whose speed changes, below its capacity.
func unevenSpeed(t *testing.T) *Scenario {
	t.Helper()
	s, err := ReadScenario("scenarios/uneven-speed.ini")
	require.NoError(t, err)
	s.Traffic.RampUntil = 0
	s.Traffic.PerSecond = 350
	s.Traffic.Length = 6 * time.Second
	return s
}

// minLateReduction is the fraction of the late answers that placement by speed must avoid.
const minLateReduction = 0.1

// Pattern: engines that are slow in some of short intervals, with capacity left. Guards
// against gateways that send to an engine while it is slow although it states so.
func TestStatedSpeedsKeepAnswersInTime(t *testing.T) {
	late := func(unstated bool) (sum int) {
		s := unevenSpeed(t)
		s.Speed.Unstated = unstated
		for seed := range uint64(3) {
			r := Run(s, seed)
			require.Equal(t, r.Total.Asked, r.Total.InTime+r.Total.Late, "no request is refused or fails while capacity is left")
			sum += r.Total.Late
		}
		return sum
	}
	unstated, stated := late(true), late(false)
	t.Logf("late answers: %d if the speeds are not stated, %d if they are", unstated, stated)
	require.Less(t, float64(stated), (1-minLateReduction)*float64(unstated))
}

// Guards against engines that are slow more or less often than the scenario says, and
// against ones that all change at the same moment.
func TestSpeedsChangeAsTheScenarioSays(t *testing.T) {
	s := unevenSpeed(t)
	s.Fleet.Engines = 400
	sim := &simulation{scenario: s, seed: 1}
	var engines []*engine
	for i := range s.Fleet.Engines {
		e := &engine{clock: &sim.clock}
		engines = append(engines, e)
		sim.changeSpeed(e, i)
	}
	slow, changes := 0, map[time.Time]int{}
	const steps = 600
	before := make([]float64, len(engines))
	start := sim.clock.now
	for step := range steps {
		sim.clock.runUntil(start.Add(time.Duration(step) * 10 * time.Millisecond))
		for i, e := range engines {
			if e.slowdown == s.Speed.Factor {
				slow++
			}
			if step > 0 && e.slowdown != before[i] {
				changes[sim.clock.now]++
			}
			before[i] = e.slowdown
		}
	}
	assert.InDelta(t, s.Speed.Share, float64(slow)/float64(steps*len(engines)), 0.02)
	assert.NotEmpty(t, changes)
	for at, n := range changes {
		assert.Less(t, n, len(engines)/20, at)
	}
	assert.Equal(t, 2500*time.Millisecond, (&engine{slowdown: 2.5}).atSpeed(time.Second))
	assert.Equal(t, time.Second, (&engine{}).atSpeed(time.Second))
}

// Guards against a section that is played otherwise than intended.
func TestSpeedSectionIsChecked(t *testing.T) {
	for _, v := range []EngineSpeed{
		{Share: 0.2}, {Share: 1.5, Factor: 2, Interval: time.Second}, {Share: 0.2, Factor: 2}, {Factor: 2, Interval: time.Second},
	} {
		s := unevenSpeed(t)
		s.Speed = v
		assert.ErrorContains(t, s.check("x"), "[speed]", "%+v", v)
	}
	s := unevenSpeed(t)
	s.Speed = EngineSpeed{}
	assert.NoError(t, s.check("x"))
}
