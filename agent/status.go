package agent

import (
	"context"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/wire"
)

// Status is what an agent says of itself and of its upstream.
type Status struct {
	node.Status
	Gate    gate.State    `json:"gate"`
	Rollout rollout.State `json:"rollout"`
}

func (a *Agent) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	var s Status
	var err error
	if s.Status, err = a.node.Status(ctx); err == nil {
		s.Gate, err = a.askGateState(ctx)
	}
	if err == nil {
		s.Rollout, err = a.askRollout(ctx)
	}
	if err != nil {
		http.Error(w, "state does not answer: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, s)
}

// serveReady answers 200 while calls for the served version are admitted.
func (a *Agent) serveReady(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	s, err := a.askGateState(ctx)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !s.Ready:
		http.Error(w, string(s.ClosedReason), http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (a *Agent) askGateState(ctx context.Context) (gate.State, error) {
	answer := ring.New[gate.State](1, ring.Refuse)
	if err := a.gate.Put(ctx, gateQuestion{answer: answer}); err != nil {
		return gate.State{}, err
	}
	return answer.Take(ctx)
}

func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	a.metrics.set.WritePrometheus(w)
	a.once.metrics.WritePrometheus(w)
	a.node.WriteMetrics(w)
}

// agentMetrics are the counters of gate, calls and orders.
type agentMetrics struct {
	set      *metrics.Set
	cold     *metrics.Counter
	limit    *metrics.Gauge
	inFlight *metrics.Gauge
	ready    *metrics.Gauge
}

func newAgentMetrics() *agentMetrics {
	set := metrics.NewSet()
	return &agentMetrics{
		set:      set,
		cold:     set.NewCounter("rattanspur_agent_cold_total"),
		limit:    set.NewGauge("rattanspur_agent_gate_limit", nil),
		inFlight: set.NewGauge("rattanspur_agent_gate_in_flight", nil),
		ready:    set.NewGauge("rattanspur_agent_ready", nil),
	}
}

func (m *agentMetrics) gate(s gate.State) {
	m.limit.Set(float64(s.Limit))
	m.inFlight.Set(float64(s.InFlight))
	ready := 0.0
	if s.Ready {
		ready = 1
	}
	m.ready.Set(ready)
}

func (m *agentMetrics) refused(reason gate.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_agent_refused_total{reason=%q}", string(reason))).Inc()
}

func (m *agentMetrics) calls(outcome wire.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_agent_calls_total{outcome=%q}", string(outcome))).Inc()
}

func (m *agentMetrics) order(err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_agent_orders_total{result=%q}", result)).Inc()
}
