package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a check that misses a kind or a customer that starves in a burst, and
// against one that reports too few requests, those outside of the burst, or canceled ones.
func TestStarvationIsFound(t *testing.T) {
	// burst returns the violations of a burst of 400 lookups of the large customer, of which
	// the first half is served, and of some orders of another customer that are not.
	burst := func(orders int, sentAt time.Time, left bool) []string {
		r := &records{requests: map[string]request{}, answers: map[string]answer{}}
		r.changes = []change{{category: "burst", from: baseTime, to: baseTime.Add(burstLength)}}
		add := func(sent request, a answer) { r.requests[sent.attempt], r.answers[sent.attempt] = sent, a }
		for i := range 400 {
			served := answer{status: http.StatusServiceUnavailable}
			if i < 200 {
				served.status = http.StatusOK
			}
			add(request{attempt: attemptID("c", i, 1), kind: lookup, customer: customers[0], sentAt: baseTime}, served)
		}
		for i := range orders {
			add(request{attempt: fmt.Sprint("d-", i, ".1"), kind: order, customer: customers[1], sentAt: sentAt},
				answer{status: http.StatusServiceUnavailable, left: left})
		}
		v := &verification{records: r}
		v.shares()
		return v.violations
	}
	found := burst(200, baseTime, false)
	require.Len(t, found, 2)
	require.Contains(t, found[0], "STARVED: order was served 0 of 200 times")
	require.Contains(t, found[1], "STARVED: "+customers[1])
	require.Empty(t, burst(80, baseTime, false))
	require.Empty(t, burst(200, baseTime.Add(2*burstLength), false))
	require.Empty(t, burst(200, baseTime, true))
}
