package agent

import (
	"context"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/rollout"
)

// runReporter checks the upstream's health: the load report of a model engine
// goes to the engineer, the check of a plain service to the gatekeeper. A
// broken connection asks for a check at once.
func (a *Agent) runReporter(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case v := <-a.reporterViews.Out():
			s := v.Config.Service(a.self().Service)
			a.plain.Store(s != nil && s.Kind == config.KindPlain)
		case <-ticker.C:
		case <-a.probe.Out():
		case <-ctx.Done():
			return nil
		}
		if a.plain.Load() {
			a.checkPlain(ctx)
		} else {
			a.readReport(ctx)
		}
	}
}

func (a *Agent) readReport(ctx context.Context) {
	asked := time.Now()
	limited, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	report, err := a.engine.Report(limited)
	if err != nil {
		report = nil
	}
	_ = a.engineer.Put(ctx, rollout.Reported{RequestedAt: asked, Report: report})
}

func (a *Agent) checkPlain(ctx context.Context) {
	asked := time.Now()
	limited, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	err := a.engine.Probe(limited, a.settings.HealthPath)
	_ = a.gate.Put(ctx, upstreamSeen{gate.HealthCheck{StartedAt: asked, Healthy: err == nil, Warm: true}})
}
