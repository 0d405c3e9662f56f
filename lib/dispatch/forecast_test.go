package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// overloaded returns a harness whose only engine ends one request in 100 ms, while
// requests of one customer have waited for longer than a forecast needs.
func overloaded(t *testing.T) *harness {
	v := view(replica("a", 1))
	v.Upstreams[0].Slots = 1
	v.Config.Services[engine].Engine.PromptTokensPerSecond = 0
	v.Config.Customers["other"] = &published.Customer{Name: "other"}
	v.Config.Customers["urgent"] = &published.Customer{Name: "customer", Rank: -1, HasRank: true}
	h := newHarness(t, v)
	var running Ticket
	record := func(_ Ticket, actions []Action) {
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				running = s.Ticket
			}
		}
	}
	for range 8 {
		record(h.arrive("/stream/1"))
		record(h.arrive("/stream/1"))
		h.now = h.now.Add(100 * time.Millisecond)
		record(0, h.core.AttemptEnded(h.now, running, AttemptResult{End: retry.Answered}))
	}
	return h
}

// arriveAs lets a request arrive with the key of a customer.
func (h *harness) arriveAs(key string) []Action {
	h.next++
	return h.core.Arrive(h.now, h.next, Call{ID: "id", Host: "h", Path: "/stream/1", Key: key, TimeBudget: 6 * time.Second, Model: model})
}

// Pattern: more requests than a service can serve, for a while. Guards against callers
// that wait in vain until the end of the time that they may wait, although it is known
// how fast the others are sent.
func TestRequestThatWouldExpireIsRejectedAtOnce(t *testing.T) {
	h := overloaded(t)
	h.arriveAs("key")
	h.arriveAs("key")
	r := h.refused(h.arriveAs("key"))
	require.Equal(t, NotRun, r.Verdict)
	require.Positive(t, r.RetryAfter)
}

// Guards against an urgent request, or one of a customer with nothing waiting, that is
// rejected because many others wait which go after it.
func TestForecastCountsOnlyRequestsAhead(t *testing.T) {
	for _, key := range []string{"urgent", "other"} {
		h := overloaded(t)
		for len(h.arriveAs("key")) == 0 {
		}
		for _, a := range h.arriveAs(key) {
			r, refused := a.(Refuse)
			require.False(t, refused, "%s: %s", key, r.Reason)
		}
	}
}

// Guards against requests that are rejected by a forecast although nothing has waited for
// long, as at the start of a burst, or that are still rejected after it.
func TestNoForecastWithoutWaitingRequests(t *testing.T) {
	h := overloaded(t)
	h.core.Update(h.now, h.core.view)
	h.now = h.now.Add(2 * time.Second)
	h.core.Tick(h.now)
	h.now = h.now.Add(2 * time.Second)
	for range 3 {
		for _, a := range h.arriveAs("key") {
			_, refused := a.(Refuse)
			require.False(t, refused)
		}
	}
}
