package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
)

const (
	// No kind of request and no customer is served less than starvedShare times as often as
	// all requests. minExpectedServed is how many of its calls must be served at the share of
	// all requests, so that chance does not bring it below.
	starvedShare      = 0.25
	minExpectedServed = 40
)

// burstShare is how many calls were made in a burst, and how many of them were served.
type burstShare struct{ calls, served int }

// burstShares returns the shares of all calls in a burst, under "", and of each kind and
// customer. A call is served if one of its attempts is. Those that their callers ended do not
// count.
func (r *records) burstShares(burst *change) map[string]burstShare {
	// served says for each call, by its id, whether it was served.
	served, groups := map[string]bool{}, map[string][]string{}
	for attempt, sent := range r.requests {
		a := r.answers[attempt]
		if sent.sentAt.Before(burst.from) || sent.sentAt.After(burst.to) || a.left {
			continue
		}
		call, _, _ := strings.Cut(attempt, ".")
		served[call] = served[call] || a.status == http.StatusOK
		groups[call] = []string{"", sent.kind.String(), sent.customer}
	}
	shares := map[string]burstShare{}
	for call, ok := range served {
		for _, name := range groups[call] {
			s := shares[name]
			s.calls++
			if ok {
				s.served++
			}
			shares[name] = s
		}
	}
	return shares
}

// shares verifies that no kind of request and no customer starved in a burst without other
// faults.
func (v *verification) shares() {
	for i := range v.changes {
		if v.changes[i].category != "burst" {
			continue
		}
		shares := v.burstShares(&v.changes[i])
		all := shares[""]
		for _, name := range slices.Sorted(maps.Keys(shares)) {
			s := shares[name]
			expected := float64(s.calls) * float64(all.served) / float64(all.calls)
			if expected >= minExpectedServed && float64(s.served) < starvedShare*expected {
				v.violations = append(v.violations, fmt.Sprintf("STARVED: %s was served %d of %d times in a burst, all requests %d of %d times",
					name, s.served, s.calls, all.served, all.calls))
			}
		}
	}
}
