package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a soak whose replicas all tell three figures or all tell four, whose speed
// does not change, or that never tells a malformed speed.
func TestReplicasTellTheirSpeed(t *testing.T) {
	figures, speeds := map[int]int{}, map[int]bool{}
	var wrong int
	for i := range 20 {
		r := &replica{name: fmt.Sprint("r", i), env: &environment{options: Options{Seed: 1}}}
		for attempt := range 20 {
			speed := r.speed(time.Unix(0, 0).Add(time.Duration(attempt) * speedInterval))
			require.GreaterOrEqual(t, speed, usualSpeed)
			require.Less(t, speed, maxSpeed)
			speeds[speed] = true
			load := strings.SplitN(r.loadHeader(fmt.Sprint(attempt), 1), ",", 4)
			require.Equal(t, []string{"1", "0", fmt.Sprint(replicaSlots)}, load[:3])
			figures[len(load)]++
			if len(load) == 4 && slices.Contains(wrongSpeeds, load[3]) {
				wrong++
			}
		}
	}
	require.Greater(t, figures[3], 20)
	require.Greater(t, figures[4], 20)
	require.Positive(t, wrong)
	require.Greater(t, len(speeds), 20)
}
