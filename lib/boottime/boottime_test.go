package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an age that is too small because the clock lags behind the monotonic one.
func TestNowAdvancesWithTheMonotonicClock(t *testing.T) {
	before, monotonic := Now(), time.Now()
	time.Sleep(10 * time.Millisecond)
	elapsed := time.Since(monotonic)
	require.GreaterOrEqual(t, Now()-before, elapsed)
}
