package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// minInTime is the share of requests that must be answered in time while
	// capacity is left, and minInTimePerSecond that of each second.
	minInTime          = 0.97
	minInTimePerSecond = 0.90
)

// manyGateways returns a scenario in which 21 gateways share 204 engines, two
// thirds of whose capacity is needed.
func manyGateways(t *testing.T) *Scenario {
	t.Helper()
	s, err := ReadScenario("scenarios/large-change-of-weights.ini")
	require.NoError(t, err)
	s.Fleet.Engines += s.Fleet.AddedEngines
	s.Fleet.AddedEngines = 0
	s.Traffic.RampUntil = 0
	s.Weights.At = 0
	return s
}

// Pattern: steady load from many gateways. Guards against gateways that choose the
// same engines, because each learns of the others' requests only later: some
// engines then have requests waiting while others have free slots.
func TestManyGatewaysLoadEnginesEvenly(t *testing.T) {
	s := manyGateways(t)
	s.Traffic.Length = 4 * time.Second
	r := Run(s, 1)
	require.GreaterOrEqual(t, r.Total.InTimeShare(), minInTime)
	require.Equal(t, r.Total.Asked, r.Total.InTime+r.Total.Late, "no request is refused or fails while capacity is left")
}

// Pattern: change of weights under load. Guards against engines that all gateways
// flood when they return with new weights, and against requests that are sent to an
// engine shortly before it stops for the change and keep it out of service.
func TestChangeOfWeightsKeepsAnswersInTime(t *testing.T) {
	s := manyGateways(t)
	s.Weights.At = time.Second
	s.Traffic.Length = 9 * time.Second
	r := Run(s, 1)
	require.GreaterOrEqual(t, r.Total.InTimeShare(), minInTime)
	for second := range int(s.Traffic.Length / time.Second) {
		require.GreaterOrEqual(t, r.Seconds[second].InTimeShare(), minInTimePerSecond, "second %d", second)
	}
	require.Len(t, r.LoadedAfter, s.Fleet.Engines)
}

// Pattern: overload for some seconds, until engines are added. Guards against a
// service that goes on refusing requests after the overload, because the gateways
// divide the slots among themselves and each may not use what it has got.
func TestOverloadEndsWhenEnginesAreAdded(t *testing.T) {
	s := manyGateways(t)
	s.Fleet = Fleet{Regions: 5, Gateways: 21, Engines: 96, AddedEngines: 108, AddedFrom: 2 * time.Second, AddedUntil: 4 * time.Second}
	s.Traffic.PerSecond = 954
	s.Traffic.Length = 10 * time.Second
	r := Run(s, 1)
	require.Positive(t, r.Total.Refused)
	after := r.Between(7*time.Second, 10*time.Second)
	require.GreaterOrEqual(t, after.InTimeShare(), minInTime)
}

// Pattern: many engines crash at once and return without weights. Guards against
// requests that fail although other engines can resume them, and against a service
// that does not recover.
func TestCrashOfManyEngines(t *testing.T) {
	s := manyGateways(t)
	s.Traffic.Length = 8 * time.Second
	s.Crash = Crash{At: 2 * time.Second, For: 2 * time.Second, Share: 0.17}
	r := Run(s, 1)
	after := r.Between(6*time.Second, 8*time.Second)
	require.GreaterOrEqual(t, after.InTimeShare(), minInTime)
	require.LessOrEqual(t, share(r.Total.Refused+r.Total.Failed, r.Total.Asked), 1-minInTime)
}

// Guards against an emulator whose outcome depends on anything but the scenario and
// the seed.
func TestSameSeedSameResult(t *testing.T) {
	s := manyGateways(t)
	s.Fleet.Gateways, s.Fleet.Engines = 3, 12
	s.Traffic.PerSecond = 40
	s.Traffic.Length = 3 * time.Second
	require.Equal(t, Run(s, 7).Total, Run(s, 7).Total)
}

// Guards against a scenario file with an unknown setting or without a needed one,
// which would be played with other values than intended.
func TestScenarioErrors(t *testing.T) {
	_, err := ReadScenario("testdata/unknown-class-setting.ini")
	require.ErrorContains(t, err, "unknown key promt_tokens")
	_, err = ReadScenario("testdata/no-classes.ini")
	require.ErrorContains(t, err, "no section")
}
