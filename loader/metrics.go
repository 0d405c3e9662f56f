package loader

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"rattanspur.example/lib/transfer"
)

// loaderMetrics holds the counters of one loader.
type loaderMetrics struct{ set *metrics.Set }

func newMetrics() *loaderMetrics { return &loaderMetrics{set: metrics.NewSet()} }

// sourceNames are the values of the metric label and log key source.
var sourceNames = map[transfer.SourceKind]string{
	transfer.FromPeer: "peer", transfer.FromStore: "store", transfer.FromOrigin: "origin",
}

// outcomeNames are the values of the metric label and log key outcome.
var outcomeNames = map[transfer.Outcome]string{
	transfer.Verified: "verified", transfer.Corrupt: "corrupt", transfer.Busy: "busy",
	transfer.Failed: "failed", transfer.Absent: "absent", transfer.Changed: "changed",
}

func (m *loaderMetrics) countPiece(e transfer.ChunkEnded, bytes int) {
	labels := `{source="` + sourceNames[e.Source.Kind] + `",outcome="` + outcomeNames[e.Outcome] + `"}`
	m.set.GetOrCreateCounter("loader_pieces_total" + labels).Inc()
	m.set.GetOrCreateCounter("loader_piece_bytes_total" + labels).Add(bytes)
}

func (m *loaderMetrics) serve(w http.ResponseWriter, _ *http.Request) { m.set.WritePrometheus(w) }
