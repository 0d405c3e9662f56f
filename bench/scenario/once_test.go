package scenario

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/standin/program"
)

// Guards against a booking that runs twice and against a wrong "not run" under
// two pairs of faults: one agent killed and another paused, and a failure domain
// taken out while the configuration service is down. The histories of all
// callers are compared with the ledger.
func TestHistoriesUnderPairsOfFaults(t *testing.T) {
	binary, err := program.Build(t.TempDir(), program.Product)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	r, err := startOnce(ctx, binary, nil)
	require.NoError(t, err)
	t.Cleanup(r.lab.Close)
	faults := onceFaultList()
	for _, set := range [][]fault{faults[0:2], faults[3:5]} {
		r.reset()
		require.NoError(t, r.bookDuring(ctx, func(ctx context.Context) error { return r.inject(ctx, set) }))
		v := r.history.check(r.lab.Options.Ledger)
		require.Positive(t, v.ran)
		require.Zero(t, v.ranTwice, "requests that ran more than once")
		require.Zero(t, v.wrongOutcomes, "submissions with a wrong outcome")
		require.NoError(t, r.awaitBookings(ctx))
	}
}

// Guards against a history check that misses a booking that ran twice, a
// submission that ran although it was reported as not run, or a booking that was
// reported as run and did not run.
func TestHistoryCheckNoticesFaults(t *testing.T) {
	o := onceOptions("", nil)
	h := &history{bookings: map[string][]submission{
		"twice":   {{id: "twice/0", outcome: "ran"}, {id: "twice/1", outcome: "ran"}},
		"refused": {{id: "refused/0", outcome: "not-run"}},
		"never":   {{id: "never/0", outcome: "ran"}},
	}}
	o.Ledger.Record("twice", "twice/0")
	o.Ledger.Record("twice", "twice/1")
	o.Ledger.Record("refused", "refused/0")
	require.Equal(t, verdict{bookings: 3, submissions: 4, ran: 2, ranTwice: 1, wrongOutcomes: 2}, h.check(o.Ledger))
}
