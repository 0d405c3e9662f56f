package timeline

import (
	"cmp"
	"slices"

	"rattanspur.example/lib/fleet"
)

// Query selects events. An empty field matches every event.
type Query struct {
	Request       string
	Profile       fleet.ProfileName
	Instance      fleet.InstanceID
	FailureDomain fleet.FailureDomain
}

// Response is the response of one process to a query for its events.
type Response struct {
	Instance fleet.Instance
	Events   []Event
	// MissingReason says why the process returned no events; empty if it
	// answered.
	MissingReason string
}

// Gap identifies a process whose events are missing from a report.
type Gap struct {
	Instance      fleet.InstanceID    `json:"instance"`
	FailureDomain fleet.FailureDomain `json:"failure_domain,omitempty"`
	Reason        string              `json:"reason"`
}

// Report is the time line of several processes.
type Report struct {
	Events []Event `json:"events"`
	// Missing lists the processes that did not answer and whose events the query
	// might have selected.
	Missing []Gap `json:"missing,omitempty"`
}

// Select merges the responses of several processes and keeps the events that the
// query selects.
func Select(q Query, responses []Response) Report {
	var r Report
	logs := make([][]Event, 0, len(responses))
	for _, response := range responses {
		switch {
		case response.MissingReason == "":
			logs = append(logs, q.filter(response.Events))
		case q.concerns(response.Instance):
			r.Missing = append(r.Missing, Gap{
				Instance: response.Instance.ID, FailureDomain: response.Instance.FailureDomain, Reason: response.MissingReason,
			})
		}
	}
	r.Events = Merge(logs...)
	slices.SortFunc(r.Missing, func(a, b Gap) int { return cmp.Compare(a.Instance, b.Instance) })
	return r
}

func (q Query) filter(events []Event) []Event {
	var kept []Event
	for _, e := range events {
		if q.Matches(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// Matches reports whether the query selects an event. A query for an instance
// also selects events of other processes that have the instance as their peer.
func (q Query) Matches(e Event) bool {
	return matches(q.Request, e.Request) && matches(q.Profile, e.Profile) &&
		matches(q.FailureDomain, e.FailureDomain) &&
		(matches(q.Instance, e.Instance) || q.Instance == e.Peer)
}

// concerns reports whether the query can select events of an instance. Events
// that the query would select only by their peer are not considered.
func (q Query) concerns(i fleet.Instance) bool {
	return matches(q.FailureDomain, i.FailureDomain) && matches(q.Instance, i.ID)
}

func matches[T ~string](filter, value T) bool { return filter == "" || filter == value }
