package timeline

import (
	"cmp"
	"slices"

	"rattanspur.example/lib/fleet"
)

// Query chooses events. Empty fields take all.
type Query struct {
	Request       string
	Profile       fleet.ProfileName
	Instance      fleet.InstanceID
	FailureDomain fleet.FailureDomain
}

// Source is what one process answered.
type Source struct {
	Instance fleet.Instance
	Events   []Event
	// Missing says why the process gave no events; empty if it answered.
	Missing string
}

// Gap names a process whose events are not in a report.
type Gap struct {
	Instance      fleet.InstanceID    `json:"instance"`
	FailureDomain fleet.FailureDomain `json:"failure_domain,omitempty"`
	Reason        string              `json:"reason"`
}

// Report is the time line of several processes.
type Report struct {
	Events []Event `json:"events"`
	// Missing names the processes that did not answer and whose events the
	// query might have chosen.
	Missing []Gap `json:"missing,omitempty"`
}

// Select merges what processes answered and keeps what the query chooses.
func Select(q Query, sources []Source) Report {
	var r Report
	logs := make([][]Event, 0, len(sources))
	for _, s := range sources {
		switch {
		case s.Missing == "":
			logs = append(logs, q.filter(s.Events))
		case q.concerns(s.Instance):
			r.Missing = append(r.Missing, Gap{
				Instance: s.Instance.ID, FailureDomain: s.Instance.FailureDomain, Reason: s.Missing,
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

// Matches reports whether the query chooses an event. An event at another
// process concerns an instance if it names it as its peer.
func (q Query) Matches(e Event) bool {
	return matches(q.Request, e.Request) && matches(q.Profile, e.Profile) &&
		matches(q.FailureDomain, e.FailureDomain) &&
		(matches(q.Instance, e.Instance) || q.Instance == e.Peer)
}

// concerns reports whether events of an instance can be chosen. Events that
// only name it as their peer are not counted.
func (q Query) concerns(i fleet.Instance) bool {
	return matches(q.FailureDomain, i.FailureDomain) && matches(q.Instance, i.ID)
}

func matches[T ~string](want, value T) bool { return want == "" || want == value }
