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

// Status is the state of an agent and its upstream, as served to operators.
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
		s.Gate, err = a.queryGateState(ctx)
	}
	if err == nil {
		s.Rollout, err = a.queryRollout(ctx)
	}
	if err != nil {
		http.Error(w, "state does not answer: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, s)
}

// serveReady responds with 200 while calls for the served version are admitted,
// and with 503 and the reason otherwise.
func (a *Agent) serveReady(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	s, err := a.queryGateState(ctx)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !s.Ready:
		http.Error(w, string(s.ClosedReason), http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (a *Agent) queryGateState(ctx context.Context) (gate.State, error) {
	reply := ring.New[gate.State](1, ring.Refuse)
	if err := a.gateEvents.Put(ctx, gateStateQuery{reply: reply}); err != nil {
		return gate.State{}, err
	}
	return reply.Take(ctx)
}

func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	a.metrics.set.WritePrometheus(w)
	a.once.metrics.WritePrometheus(w)
	a.node.WriteMetrics(w)
}

// agentMetrics holds the metrics of the gate, calls and orders.
type agentMetrics struct {
	set      *metrics.Set
	cold     *metrics.Counter
	limit    *metrics.Gauge
	inFlight *metrics.Gauge
	ready    *metrics.Gauge
}

func newAgentMetrics(a *Agent) *agentMetrics {
	set := metrics.NewSet()
	a.bodies.AddMetrics(set, "rattanspur_agent_")
	return &agentMetrics{
		set:      set,
		cold:     set.NewCounter("rattanspur_agent_cold_total"),
		limit:    set.NewGauge("rattanspur_agent_gate_limit", nil),
		inFlight: set.NewGauge("rattanspur_agent_gate_in_flight", nil),
		ready:    set.NewGauge("rattanspur_agent_ready", nil),
	}
}

func (m *agentMetrics) setGateState(s gate.State) {
	m.limit.Set(float64(s.Limit))
	m.inFlight.Set(float64(s.InFlight))
	ready := 0.0
	if s.Ready {
		ready = 1
	}
	m.ready.Set(ready)
}

func (m *agentMetrics) countRefusal(reason gate.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_agent_refused_total{reason=%q}", string(reason))).Inc()
}

func (m *agentMetrics) countCall(outcome wire.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_agent_calls_total{outcome=%q}", string(outcome))).Inc()
}

func (m *agentMetrics) countOrder(err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("rattanspur_agent_orders_total{result=%q}", result)).Inc()
}
