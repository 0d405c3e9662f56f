package bodybudget

import "github.com/VictoriaMetrics/metrics"

// AddMetrics adds the metrics of the budget to a set, with a prefix for their names.
func (b *Budget) AddMetrics(set *metrics.Set, prefix string) {
	for name, value := range map[string]func(s Stats) float64{
		"body_bytes":           func(s Stats) float64 { return float64(s.Held) },
		"body_bytes_limit":     func(s Stats) float64 { return float64(s.Limit) },
		"body_bytes_free":      func(s Stats) float64 { return float64(s.Free) },
		"bodies_incomplete":    func(s Stats) float64 { return float64(s.Incomplete) },
		"bodies_refused_total": func(s Stats) float64 { return float64(s.Refused) },
		"bodies_evicted_total": func(s Stats) float64 { return float64(s.Evicted) },
	} {
		set.NewGauge(prefix+name, func() float64 { return value(b.Stats()) })
	}
}
