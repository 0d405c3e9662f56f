package gateway

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/retry"
)

// gatewayMetrics are the counters and histograms of one gateway.
type gatewayMetrics struct {
	set       *metrics.Set
	requests  *metrics.Counter
	dials     *metrics.Counter
	latency   *metrics.Histogram
	firstByte *metrics.Histogram
	patience  *metrics.Histogram
	// badMessages counts messages of peers that could not be read or sent.
	badMessages *metrics.Counter
}

func newMetrics(g *Gateway) *gatewayMetrics {
	set := metrics.NewSet()
	m := &gatewayMetrics{
		set:       set,
		requests:  set.NewCounter("gateway_requests_total"),
		dials:     set.NewCounter("gateway_dials_total"),
		latency:   set.NewHistogram("gateway_request_seconds"),
		firstByte: set.NewHistogram("gateway_first_byte_seconds"),
		patience:  set.NewHistogram("gateway_patience_seconds"),

		badMessages: set.NewCounter("gateway_bad_messages_total"),
	}
	set.NewGauge("gateway_inbox_depth", func() float64 { return float64(g.inbox.Depth()) })
	return m
}

func (m *gatewayMetrics) arrived(patience time.Duration) {
	m.requests.Inc()
	m.patience.Update(patience.Seconds())
}

func (m *gatewayMetrics) attempt(end retry.End) {
	m.set.GetOrCreateCounter(`gateway_attempts_total{end="` + end.String() + `"}`).Inc()
}

func (m *gatewayMetrics) refused(v dispatch.Verdict) {
	m.set.GetOrCreateCounter(`gateway_refused_total{verdict="` + v.String() + `"}`).Inc()
}

func (m *gatewayMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
}
