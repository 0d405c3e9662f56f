package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	pauseSeeds = 3
	// maxLateBesidePauses is the share of requests that may be late while a third of the
	// engines pause for 1.3 s, one after the other, in 12 s.
	maxLateBesidePauses = 0.04
)

// Pattern: engines stand still for 1.3 s and go on, some in turn or all together. Guards
// against gateways that end streams because their engine is silent, although no other
// one has capacity, and against requests that wait for a silent engine while others are
// free.
func TestPausesOfEnginesCutNoStream(t *testing.T) {
	s, err := ReadScenario("scenarios/small-pauses.ini")
	require.NoError(t, err)
	for seed := uint64(1); seed <= pauseSeeds; seed++ {
		total := Run(s, seed).Total
		require.Zero(t, total.Cut+total.Failed+total.Refused, "seed %d", seed)
		require.LessOrEqual(t, share(total.Late, total.Asked), maxLateBesidePauses, "seed %d", seed)
	}
	s.Pause.Share, s.Pause.Turn = 1, 0
	for seed := uint64(1); seed <= pauseSeeds; seed++ {
		total := Run(s, seed).Total
		require.Zero(t, total.Cut+total.Failed, "all engines pause, seed %d", seed)
	}
	s.Fleet = Fleet{Regions: 1, Gateways: 2, Engines: 1}
	s.Traffic.PerSecond = 10
	for seed := uint64(1); seed <= pauseSeeds; seed++ {
		total := Run(s, seed).Total
		require.Zero(t, total.Cut+total.Failed, "the only engine pauses, seed %d", seed)
	}
}
