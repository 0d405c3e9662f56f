package soak

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/standin/program"
)

// failedSeeds are the seeds that ever broke a promise, each with the cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{100, "the stand-in engine took an order while it was down and stayed busy"},
	{102, "the same"},
	{141, "the same"},
	{142, "the same"},
}

// Guards against a fault that a soak has found before. The faults are those of
// the seed for as long as the short soak lasts.
func TestSeedsThatFailedBefore(t *testing.T) {
	binary := build(t, program.Product)
	for _, s := range failedSeeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), short(t, s.seed, binary, binary))
			require.NoError(t, err)
			require.Empty(t, r.Broken, s.cause)
		})
	}
}
