package retry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20260101") }

// Guards against a second run of a request that must not be repeated, against a
// retry after bytes have reached the caller, and against endless retries.
func TestDecisionsOverAllAttempts(t *testing.T) {
	for end := Answered; end <= Canceled; end++ {
		for failures := range 5 {
			for _, once := range []bool{false, true} {
				for _, started := range []bool{false, true} {
					a := Attempt{End: end, Failures: failures, Placements: failures, Once: once, Started: started}
					action := Decide(a, func() bool { return true })
					retried := action == Resend || action == Requeue
					name := fmt.Sprintf("%+v", a)
					if retried {
						require.False(t, started, name)
						require.True(t, end.NotRun() || !once, name)
						require.NotEqual(t, Canceled, end, name)
					}
					if failures >= maxFailures {
						require.NotEqual(t, Resend, action, name)
					}
					require.NotEqual(t, Resend, Decide(a, func() bool { return false }), name)
				}
			}
		}
	}
	require.Equal(t, GiveUp, Decide(Attempt{End: Refused, Placements: maxPlacements}, nil))
}

// Guards against retries beyond the budgets: at any time, the retries of a
// customer are at most the capacity and a tenth of the successes.
func TestBudgetsAgainstCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudgets()
		type pair struct {
			customer fleet.Customer
			upstream fleet.InstanceID
		}
		successes, retries := map[any]float64{}, map[any]float64{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			p := pair{
				fleet.Customer(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "customer"))),
				fleet.InstanceID(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "upstream"))),
			}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.Succeeded(p.customer, p.upstream)
				successes[p.customer]++
				successes[p.upstream]++
				continue
			}
			if b.Spend(p.customer, p.upstream) {
				retries[p.customer]++
				retries[p.upstream]++
			} else {
				// Spend may fail only if one of the two has used its capacity.
				require.True(t, retries[p.customer] >= budgetCapacity || retries[p.upstream] >= budgetCapacity)
			}
		}
		for key, n := range retries {
			require.LessOrEqual(t, n, budgetCapacity+tokensPerSuccess*successes[key]+1e-9)
		}
	})
}
