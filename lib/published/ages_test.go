package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ageOf returns the report of a peer about version 2 of the model m.
func ageOf(age time.Duration, bounded bool) map[string][]VersionAge {
	return map[string][]VersionAge{"m": {{Version: 2, Number: 2, AgeMS: age.Milliseconds(), Bounded: bounded}}}
}

// Guards against weights that no process may use because one that was paused for long, or
// whose reads failed, takes a new version for as old as its last read, and all others believe
// it although they saw the version when it was published.
func TestBoundsGiveWayToObservations(t *testing.T) {
	now := start.Add(time.Minute)
	s := NewState()
	s.Replace(start, []Change{desired(1, 1)}, 1)
	s.SetAbsentUntil(now.Add(-10 * time.Second))
	s.Apply(now, []Change{desired(2, 2)}, 2)
	firstSeen := func() time.Time { return s.View().Desired["m"].FirstSeen }
	require.Equal(t, now.Add(-10*time.Second), firstSeen())
	require.Equal(t, ageOf(10*time.Second, true), s.View().Ages(now))

	require.False(t, s.ApplyAges(now, ageOf(12*time.Second, true)), "an earlier bound says less")
	require.True(t, s.ApplyAges(now, ageOf(4*time.Second, true)))
	require.Equal(t, now.Add(-4*time.Second), firstSeen())
	require.True(t, s.ApplyAges(now, ageOf(time.Second, false)), "an observation counts, though it is later")
	require.Equal(t, now.Add(-time.Second), firstSeen())
	require.False(t, s.ApplyAges(now, ageOf(10*time.Second, true)))
	require.True(t, s.ApplyAges(now, ageOf(2*time.Second, false)), "the earlier one of two observations counts")
	require.Equal(t, ageOf(2*time.Second, false), s.View().Ages(now))
}

// Guards against a process that has just started and keeps a bound that it heard first.
func TestStartedProcessTakesBoundsAndObservations(t *testing.T) {
	now := start.Add(time.Minute)
	s := NewState()
	s.Replace(start, []Change{desired(2, 2)}, 2)
	require.Zero(t, s.View().Desired["m"].FirstSeen)
	require.True(t, s.ApplyAges(now, ageOf(4*time.Second, true)))
	require.True(t, s.ApplyAges(now, ageOf(time.Second, false)))
	require.Equal(t, now.Add(-time.Second), s.View().Desired["m"].FirstSeen)
}
