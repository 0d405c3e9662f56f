package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/retry"
)

// Guards against an emulator whose gateways leave requests at engines that do not begin
// them in time, and against one that ends those which have begun.
func TestAttemptBeginsInTimeOrEnds(t *testing.T) {
	for _, c := range []struct {
		beginBy time.Duration
		end     retry.End
	}{{50 * time.Millisecond, retry.NotBegun}, {200 * time.Millisecond, retry.Answered}} {
		s := &simulation{scenario: manyGateways(t), result: newResult(0)}
		s.clock.now = time.Unix(0, 0)
		a := &attempt{
			gateway: newGateway(s, "gateway", 0, nil), call: &call{}, engine: testEngine(&s.clock),
			send: dispatch.Send{ExpectVersion: 1, BeginBy: s.clock.now.Add(c.beginBy)},
		}
		// The prompt is read in 100 ms; the answer lasts longer than 200 ms.
		j, events, end := testJob(&s.clock, 1000, 100)
		a.arrive(j)
		s.clock.runUntil(s.clock.now.Add(10 * time.Second))
		if c.end == retry.NotBegun {
			require.Equal(t, c.end, a.result.End)
			require.Empty(t, *events)
			continue
		}
		require.Equal(t, c.end, *end)
		require.False(t, a.ended)
	}
}
