package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const gracePeriod = 8 * time.Second

// atSecond returns a time in seconds after start.
func atSecond(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against all engines that must stop at once shortly after an outage, since versions that
// were named around it are due although no process could learn of them.
func TestGracePeriodStartsAnewAfterAnOutage(t *testing.T) {
	outages := Outages{}.Note(atSecond(18.5), atSecond(21.5)).Note(atSecond(20), atSecond(23)).Note(atSecond(22.6), atSecond(25.6))
	require.Equal(t, Outages{{Began: atSecond(18.5), Until: atSecond(25.6)}}, outages)
	for published, expected := range map[float64]float64{18: 25.6, 21: 25.6, 26: 26} {
		require.Equal(t, atSecond(expected), outages.graceStart(atSecond(published), gracePeriod), "published at %g", published)
	}
}

// Guards against old weights that begin requests again because the store becomes unavailable
// after they were due.
func TestOutageDoesNotReviveWhatWasDue(t *testing.T) {
	d := DesiredVersion{Model: "m", Version: 2, Published: At(atSecond(10)), Previous: []PreviousVersion{{Version: 1}}}
	d.Outages = d.Outages.Note(atSecond(18), atSecond(30))
	require.Equal(t, int64(2), d.Due(atSecond(18), gracePeriod))
	d.Outages = nil
	d.Outages = d.Outages.Note(atSecond(17.9), atSecond(30))
	require.Equal(t, int64(0), DesiredVersion{Version: 2, Published: At(atSecond(10)), Outages: d.Outages}.Due(atSecond(37.9), gracePeriod))
	require.Equal(t, int64(2), d.Due(atSecond(38), gracePeriod))
	require.Equal(t, int64(1), d.Due(atSecond(37.9), gracePeriod), "the version of the first snapshot has no end of its own")
}

// Guards against a second outage that makes a version due at once whose grace period the first
// one had put off.
func TestGracePeriodsOfSeveralOutages(t *testing.T) {
	outages := Outages{}.Note(atSecond(12), atSecond(15)).Note(atSecond(19), atSecond(22))
	require.Len(t, outages, 2)
	require.Equal(t, atSecond(22), outages.graceStart(atSecond(10), gracePeriod))
	require.Equal(t, atSecond(15), outages[:1].graceStart(atSecond(10), gracePeriod))
	for i := range 3 * maxOutages {
		outages = outages.Note(atSecond(float64(30+10*i)), atSecond(float64(33+10*i)))
	}
	require.Len(t, outages, maxOutages)
}

// Guards against a process that learns of the end of a grace period only with the next read that
// succeeds: an outage may last longer than the period.
func TestOutageIsNotedWhileItLasts(t *testing.T) {
	s := NewState()
	s.Replace(atSecond(0), []Change{desired(1, 1)}, 1)
	require.False(t, s.NoteOutage(atSecond(1), atSecond(1), atSecond(2)), "no version was published lately")
	s.Apply(atSecond(10), []Change{desired(2, 2)}, 2)
	require.True(t, s.NoteOutage(atSecond(11), atSecond(11), atSecond(14)))
	require.Equal(t, int64(1), s.View().Desired["m"].Due(atSecond(18.5), gracePeriod))
	require.Equal(t, int64(2), s.View().Desired["m"].Due(atSecond(22), gracePeriod))
}
