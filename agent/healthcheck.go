package agent

import (
	"context"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/rollout"
)

// runHealthChecker checks the health of the upstream at each interval, on a new
// view and when a check is requested, as after a broken connection. The load report
// of a model engine goes to the engine controller, the check of a plain service to
// the gate controller.
func (a *Agent) runHealthChecker(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case v := <-a.healthViews.Out():
			s := v.Config.Service(a.self().Service)
			a.plain.Store(s != nil && s.Kind == config.KindPlain)
		case <-ticker.C:
		case <-a.healthCheckRequests.Out():
		case <-ctx.Done():
			return nil
		}
		if a.plain.Load() {
			a.checkPlainService(ctx)
		} else {
			a.checkEngine(ctx)
		}
	}
}

func (a *Agent) checkEngine(ctx context.Context) {
	requestedAt := time.Now()
	limited, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	report, err := a.engine.Report(limited)
	if err != nil {
		report = nil
	}
	_ = a.engineEvents.Put(ctx, rollout.Reported{RequestedAt: requestedAt, Report: report})
}

func (a *Agent) checkPlainService(ctx context.Context) {
	requestedAt := time.Now()
	limited, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	err := a.engine.Probe(limited, a.settings.HealthPath)
	_ = a.gateEvents.Put(ctx, healthChecked{gate.HealthCheck{StartedAt: requestedAt, Healthy: err == nil, Warm: true}})
}
