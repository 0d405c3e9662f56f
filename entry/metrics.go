package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/wire"
)

// endNames maps the ends of attempts to values of the metric label "end".
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

// entryMetrics holds the metrics of an entry. All duties may use it concurrently.
type entryMetrics struct {
	node        *node.Node
	set         *metrics.Set
	latency     *metrics.Histogram
	truncations *metrics.Counter
	retries     *metrics.Counter
	// hedges counts the attempts that began beside silent ones, which are retries too.
	hedges *metrics.Counter
	// partsLeftOut counts the parts of prompts that get no trait.
	partsLeftOut *metrics.Counter
	// calls is the number of calls whose handlers run.
	calls atomic.Int64
}

func newMetrics(e *Entry) *entryMetrics {
	set := metrics.NewSet()
	set.NewGauge("rattanspur_entry_inbox_depth", func() float64 { return float64(e.inbox.Depth()) })
	set.NewGauge("rattanspur_entry_attempts_depth", func() float64 { return float64(e.attempts.Depth()) })
	e.bodies.AddMetrics(set, "rattanspur_entry_")
	return &entryMetrics{
		node:        e.node,
		set:         set,
		latency:     set.NewHistogram("rattanspur_entry_request_duration_seconds"),
		truncations: set.NewCounter("rattanspur_entry_responses_cut_total"),
		retries:     set.NewCounter("rattanspur_entry_retries_total"),
		hedges:      set.NewCounter("rattanspur_entry_hedges_total"),

		partsLeftOut: set.NewCounter("rattanspur_entry_prompt_parts_left_out_total"),
	}
}

func (m *entryMetrics) recordAttempt(end retry.End) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_entry_attempts_total{end=%q}", endNames[end])).Inc()
}

func (m *entryMetrics) countClosed(reason closeReason, calls int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_entry_connections_closed_total{reason=%q}", string(reason))).Add(calls)
}

func (m *entryMetrics) recordProblem(t wire.ProblemType) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_entry_problems_total{type=%q}", string(t))).Inc()
}

func (m *entryMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	m.node.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}
