package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const limitSeeds = 3

// Pattern: most engines state that they take only a few requests per second from all
// gateways together, and a gateway is restarted. Guards against gateways that send as
// before, or that each keep the limit by themselves, so that an engine in need gets
// more than it takes.
func TestStatedLimitsHoldForAllGateways(t *testing.T) {
	s, err := ReadScenario("scenarios/small-limits.ini")
	require.NoError(t, err)
	for seed := uint64(1); seed <= limitSeeds; seed++ {
		require.LessOrEqual(t, Run(s, seed).Limits.Excess, 0, "seed %d", seed)
	}
}

// Pattern: the same with more gateways than the requests per second that an engine
// takes. Guards against gateways that each take a whole request as their part.
func TestLimitBelowTheNumberOfGatewaysHolds(t *testing.T) {
	s := manyGateways(t)
	s.Limits = StatedLimits{At: time.Second, Until: 12 * time.Second, Share: 0.7, PerSecond: 1.5}
	s.Restart = GatewayRestart{At: 5 * time.Second, For: time.Second, Count: 3}
	s.Traffic.Length = 14 * time.Second
	require.LessOrEqual(t, Run(s, 1).Limits.Excess, 0)
}
