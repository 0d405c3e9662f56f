package soak

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/standin/program"
)

// failedSeeds are all seeds that ever showed a violation, each with its cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{100, "the stand-in engine accepted an order while it was down and stayed busy"},
	{102, "same cause as seed 100"},
	{141, "same cause as seed 100"},
	{142, "same cause as seed 100"},
}

// Guards against faults in the code that a soak has found before. The short soak
// injects the faults that the seed determines for its length.
func TestSeedsThatFailedBefore(t *testing.T) {
	binary := build(t, program.Product)
	for _, s := range failedSeeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), shortOptions(t, s.seed, binary, binary))
			require.NoError(t, err)
			require.Empty(t, r.Violations, s.cause)
		})
	}
}
