package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grace is the grace period of versions in these tests.
const grace = 8 * time.Second

// namedEvery returns a state in which versions from 2 on were named at an interval, version 2 at
// start.
func namedEvery(interval time.Duration, count int) *State {
	s := NewState()
	s.Replace(start.Add(-time.Hour), []Change{desired(1, 1)}, 1)
	for i := range count {
		v := int64(i + 2)
		s.Apply(start.Add(time.Duration(i)*interval), []Change{desired(v, Revision(v))}, Revision(v))
	}
	return s
}

// Guards against a version that is forgotten within its grace period because others follow
// fast: it is never due, and requests go on beginning on older weights.
func TestEachVersionBecomesDueHoweverManyFollow(t *testing.T) {
	const interval, count = 600 * time.Millisecond, 12
	s := namedEvery(interval, count)
	late := NewState()
	late.Replace(start.Add(-time.Hour), []Change{desired(1, 1)}, 1)
	now := start.Add(interval * (count - 1))
	late.Apply(now, []Change{desired(count+1, count+1)}, count+1)
	late.ApplyAges(now, s.View().Ages(now))
	for name, state := range map[string]*State{"seen": s, "learnt from a peer": late} {
		d := state.View().Desired["m"]
		for i := range count {
			due := start.Add(time.Duration(i)*interval + grace)
			require.Equal(t, int64(i+1), d.Due(due.Add(-50*time.Millisecond), grace), name)
			require.Equal(t, int64(i+2), d.Due(due, grace), name)
		}
	}
}

// Guards against state and messages that grow with the number of versions, and against bounds
// that make a version due late, or much too early.
func TestPreviousVersionsAreBounded(t *testing.T) {
	const interval, count = 20 * time.Millisecond, 500
	s := namedEvery(interval, count)
	d := s.View().Desired["m"]
	require.LessOrEqual(t, len(d.Previous), maxPreviousVersions)
	now := start.Add(interval * (count - 1))
	ages := s.View().Ages(now)
	require.True(t, ValidAges(ages))
	for i := range count {
		due := start.Add(time.Duration(i)*interval + grace)
		require.GreaterOrEqual(t, d.Due(due, grace), int64(i+2))
		require.LessOrEqual(t, d.Due(due, grace), int64(i+2+2*count/maxPreviousVersions))
	}
	later := now.Add(recentFor + time.Second)
	require.Len(t, s.View().Ages(later)["m"], 1+maxOldVersions)
	s.Apply(later, []Change{desired(count+2, count+2)}, count+2)
	require.Len(t, s.View().Desired["m"].Previous, maxOldVersions)
}

// Guards against two processes that change each other's lists without end when they know more
// versions than they keep.
func TestProcessesWithTooManyVersionsSettle(t *testing.T) {
	const interval, count = 50 * time.Millisecond, 150
	a, b := namedEvery(interval, count), namedEvery(2*interval, count/2)
	now := start.Add(interval * count)
	b.Apply(now, []Change{desired(count+1, count+1)}, count+1)
	for range 100 {
		a.ApplyAges(now, b.View().Ages(now))
		b.ApplyAges(now, a.View().Ages(now))
	}
	require.False(t, a.View().Learns(now, b.View().Ages(now)))
	require.False(t, b.View().Learns(now, a.View().Ages(now)))
}
