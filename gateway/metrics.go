package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
)

// gatewayMetrics holds the counters and histograms of a gateway.
type gatewayMetrics struct {
	set        *metrics.Set
	requests   *metrics.Counter
	dials      *metrics.Counter
	latency    *metrics.Histogram
	firstByte  *metrics.Histogram
	timeBudget *metrics.Histogram
	// badMessages counts messages of peers that could not be decoded, and
	// messages to peers that could not be encoded or were too large.
	badMessages *metrics.Counter
	// panics counts the panics after which the core was replaced.
	panics *metrics.Counter
	// blocked counts the requests that were rejected because of a convicted trait.
	blocked *metrics.Counter
	// silences counts the attempts that were found silent, resumptions those that went on,
	// hedges the attempts that began beside them, and interrupts the attempts whose place
	// hedges took and those that a planned stop ended.
	silences    *metrics.Counter
	resumptions *metrics.Counter
	hedges      *metrics.Counter
	interrupts  *metrics.Counter
	// connectionsDisplaced counts the connections that were closed because others
	// needed their place.
	connectionsDisplaced *metrics.Counter
	// limitsStated counts the answers that state a limit, limitsUnreadable those whose
	// limit cannot be parsed.
	limitsStated     *metrics.Counter
	limitsUnreadable *metrics.Counter
	// partsLeftOut counts the parts of prompts that do not count, suspectsLeftOut the suspects
	// that were left out of crashes with too many; the latter is set by the router.
	partsLeftOut    *metrics.Counter
	suspectsLeftOut atomic.Int64
	// loadUnreadable counts the figures of upstreams' loads that cannot be parsed.
	loadUnreadable *metrics.Counter
	// statedLimits is the number of upstreams that state a limit, set by the router.
	statedLimits atomic.Int64
	// crashRecords and convictedTraits are set by the router, which owns the
	// evidence.
	crashRecords    atomic.Int64
	convictedTraits atomic.Int64
}

func newMetrics(g *Gateway) *gatewayMetrics {
	set := metrics.NewSet()
	m := &gatewayMetrics{
		set:        set,
		requests:   set.NewCounter("gateway_requests_total"),
		dials:      set.NewCounter("gateway_dials_total"),
		latency:    set.NewHistogram("gateway_request_seconds"),
		firstByte:  set.NewHistogram("gateway_first_byte_seconds"),
		timeBudget: set.NewHistogram("gateway_patience_seconds"),

		badMessages: set.NewCounter("gateway_bad_messages_total"),
		panics:      set.NewCounter("gateway_panics_total"),
		blocked:     set.NewCounter("gateway_blocked_total"),

		silences:    set.NewCounter("gateway_silent_attempts_total"),
		resumptions: set.NewCounter("gateway_resumed_attempts_total"),
		hedges:      set.NewCounter("gateway_hedges_total"),
		interrupts:  set.NewCounter("gateway_interrupted_attempts_total"),

		connectionsDisplaced: set.NewCounter("gateway_connections_displaced_total"),

		partsLeftOut: set.NewCounter("gateway_prompt_parts_left_out_total"),

		limitsStated:     set.NewCounter("gateway_limits_stated_total"),
		limitsUnreadable: set.NewCounter("gateway_limits_unreadable_total"),
		loadUnreadable:   set.NewCounter("gateway_load_figures_unreadable_total"),
	}
	set.NewGauge("gateway_crash_suspects_left_out", func() float64 { return float64(m.suspectsLeftOut.Load()) })
	set.NewGauge("gateway_crash_records", func() float64 { return float64(m.crashRecords.Load()) })
	set.NewGauge("gateway_convicted_traits", func() float64 { return float64(m.convictedTraits.Load()) })
	set.NewGauge("gateway_stated_limits", func() float64 { return float64(m.statedLimits.Load()) })
	set.NewGauge("gateway_inbox_depth", func() float64 { return float64(g.inbox.Depth()) })
	g.bodies.AddMetrics(set, "gateway_")
	return m
}

func (m *gatewayMetrics) recordArrival(timeBudget time.Duration) {
	m.requests.Inc()
	m.timeBudget.Update(timeBudget.Seconds())
}

func (m *gatewayMetrics) recordAttempt(end retry.End) {
	m.set.GetOrCreateCounter(`gateway_attempts_total{end="` + end.String() + `"}`).Inc()
}

func (m *gatewayMetrics) recordAbort(reason abortReason) {
	m.set.GetOrCreateCounter(`gateway_connections_closed_total{reason="` + string(reason) + `"}`).Inc()
}

// recordLimit counts answers that state a limit.
func (m *gatewayMetrics) recordLimit(s ratelimit.Statement) {
	switch s.Kind {
	case ratelimit.Stated:
		m.limitsStated.Inc()
	case ratelimit.Unreadable:
		m.limitsUnreadable.Inc()
	}
}

// recordRank counts a request of a service that admits requests by rank.
func (m *gatewayMetrics) recordRank(rank int, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gateway_ranked_requests_total{rank=\"%d\",result=%q}", rank, result)).Inc()
}

func (m *gatewayMetrics) recordRefusal(a *dispatch.Refuse) {
	if a.Ranked {
		m.recordRank(a.Rank, "refused")
	}
	m.set.GetOrCreateCounter(`gateway_refused_total{verdict="` + a.Verdict.String() + `"}`).Inc()
	if a.Trait != 0 {
		m.blocked.Inc()
	}
}

func (m *gatewayMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
}
