package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Load: a burst and two changes of weights, with callers of three ranks and customers of
// different size. Guards against a rank that is served less often than one after it, and against
// one that is served next to never.
func TestRanksAreServedInTheirOrder(t *testing.T) {
	scenario, err := ReadScenario("scenarios/overload-ranks.ini")
	require.NoError(t, err)
	r := Run(scenario, 1)
	reel, clip, digest := r.Classes["reel"], r.Classes["clip"], r.Classes["digest"]
	require.Greater(t, reel.ServedShare(), clip.ServedShare())
	require.Greater(t, clip.ServedShare(), digest.ServedShare())
	require.Greater(t, 4*digest.ServedShare(), r.Total.ServedShare())
	require.Less(t, r.Total.ServedShare(), 1.0, "there is too little capacity")
}
