package entry

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/wire"
)

// endNames are the values of the metric label for the end of an attempt.
var endNames = map[retry.End]string{
	retry.Answered:    "answered",
	retry.Busy:        "busy",
	retry.Refused:     "refused",
	retry.Unreachable: "unreachable",
	retry.Lost:        "lost",
	retry.Stalled:     "silent",
	retry.Mismatched:  "mismatched",
	retry.TimedOut:    "timed_out",
	retry.Canceled:    "caller_left",
}

// entryMetrics counts what an entry does. Counters may be used by all duties.
type entryMetrics struct {
	node    *node.Node
	set     *metrics.Set
	latency *metrics.Histogram
	cuts    *metrics.Counter
	retries *metrics.Counter
}

func newMetrics(e *Entry) *entryMetrics {
	set := metrics.NewSet()
	set.NewGauge("rattanspur_entry_inbox_depth", func() float64 { return float64(e.inbox.Depth()) })
	set.NewGauge("rattanspur_entry_attempts_depth", func() float64 { return float64(e.attempts.Depth()) })
	return &entryMetrics{
		node:    e.node,
		set:     set,
		latency: set.NewHistogram("rattanspur_entry_request_duration_seconds"),
		cuts:    set.NewCounter("rattanspur_entry_responses_cut_total"),
		retries: set.NewCounter("rattanspur_entry_retries_total"),
	}
}

func (m *entryMetrics) attempt(end retry.End) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_entry_attempts_total{end=%q}", endNames[end])).Inc()
}

func (m *entryMetrics) refused(t wire.ProblemType) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_entry_problems_total{type=%q}", string(t))).Inc()
}

func (m *entryMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	m.node.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}
