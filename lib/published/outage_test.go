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
	require.Equal(t, int64(2), d.Due(atSecond(26), gracePeriod))
	require.Equal(t, int64(1), d.Due(atSecond(25.9), gracePeriod), "the version of the first snapshot has no end of its own")
}

// Guards against a second outage that makes a version due at once whose grace period the first
// one had put off.
func TestGracePeriodsOfSeveralOutages(t *testing.T) {
	outages := Outages{}.Note(atSecond(12), atSecond(15)).Note(atSecond(19), atSecond(22))
	require.Len(t, outages, 2)
	require.Equal(t, atSecond(22), outages.graceStart(atSecond(14), gracePeriod))
	require.Equal(t, atSecond(15), outages[:1].graceStart(atSecond(14), gracePeriod))
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

// Guards against weights that stay in use for good because the store is seldom available.
func TestOutagesPutOffAGracePeriodByItsLengthAtMost(t *testing.T) {
	var outages Outages
	for second := 10.0; second < 70; second++ {
		outages = outages.Note(atSecond(second), atSecond(second+3))
	}
	require.Equal(t, atSecond(13), outages.graceStart(atSecond(5), gracePeriod))
}

// Guards against a process whose own path to the store fails and that keeps old weights in use,
// although others read the store all the time.
func TestOutageThatPeersDoNotShareIsNone(t *testing.T) {
	s := NewState()
	s.Replace(atSecond(0), []Change{desired(1, 1)}, 1)
	s.Apply(atSecond(10), []Change{desired(2, 2)}, 2)
	s.NoteOutage(atSecond(11), atSecond(11), atSecond(14))
	require.Len(t, s.View().Desired["m"].Outages, 1)
	s.ApplyPeer(atSecond(12), []Change{upstream("a", 3)}, 3)
	s.NoteOutage(atSecond(13), atSecond(11.5), atSecond(14.5))
	require.Len(t, s.View().Desired["m"].Outages, 1, "the read was refused before the peer's")
	s.NoteOutage(atSecond(13), atSecond(12.5), atSecond(15.5))
	require.Empty(t, s.View().Desired["m"].Outages)
	s.Apply(atSecond(14), nil, 3)
	s.NoteOutage(atSecond(15), atSecond(15), atSecond(18))
	require.Len(t, s.View().Desired["m"].Outages, 1)
}

// Guards against old weights that are used for longer by the time for which the machine was
// suspended in or after an outage.
func TestSuspensionMovesOutages(t *testing.T) {
	s := NewState()
	s.Replace(atSecond(0), []Change{desired(1, 1)}, 1)
	s.Apply(atSecond(10), []Change{desired(2, 2)}, 2)
	s.NoteOutage(atSecond(11), atSecond(11), atSecond(14))
	s.CountSuspension(atSecond(15), 4*time.Second)
	d := s.View().Desired["m"]
	require.Equal(t, atSecond(10), d.GraceStart(d.Published, gracePeriod))
}

// Guards against decisions with different margins that disagree on whether an outage counts.
func TestMarginDoesNotDecideWhichOutagesCount(t *testing.T) {
	d := DesiredVersion{Model: "m", Version: 2, Published: At(atSecond(10)), Outages: Outages{}.Note(atSecond(17.5), atSecond(20.5))}
	require.Zero(t, d.DueAhead(atSecond(18), gracePeriod, time.Second))
	require.Equal(t, int64(2), d.DueAhead(atSecond(27.5), gracePeriod, time.Second))
}
