package agent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/timeline"
)

// engineerEvent is an input of the engineer duty.
type engineerEvent = rollout.Event

// order is one order to the engine.
type order struct {
	load   *engine.LoadOrder
	unload *engine.UnloadOrder
}

// runEngineer owns what the engine holds and must hold.
func (a *Agent) runEngineer(ctx context.Context) error {
	core := rollout.New(time.Now())
	for {
		var ev engineerEvent
		select {
		case v := <-a.engineerViews.Out():
			ev = a.target(v)
		case ev = <-a.engineer.Out():
		case <-ctx.Done():
			return nil
		}
		for _, action := range core.Step(ev) {
			a.carryOut(ctx, action)
		}
	}
}

func (a *Agent) target(v node.View) rollout.Target {
	s := v.Config.Service(a.self().Service)
	if s == nil || s.Kind != config.KindModel {
		return rollout.Target{}
	}
	return rollout.Target{Profile: v.Config.ServedProfile(s.Name), LoadsAlongside: s.LoadsAlongside}
}

func (a *Agent) carryOut(ctx context.Context, action rollout.Action) {
	switch action := action.(type) {
	case rollout.Fetch:
		_ = a.puller.Put(ctx, startTransfer{profile: action.Profile})
	case rollout.Load:
		p := action.Profile
		loaded := engine.Loaded{Model: p.Model, Version: p.Version, Root: p.Weights.Root}
		_ = a.orders.Put(ctx, order{load: &engine.LoadOrder{
			Loaded: loaded, Source: a.weightsURL(loaded.Root), Fence: action.Fence,
		}})
		a.node.Record(timeline.Event{Kind: timeline.EngineOrdered, Profile: p.Name, Detail: "load " + string(p.Version)})
	case rollout.Unload:
		_ = a.orders.Put(ctx, order{unload: &engine.UnloadOrder{Root: action.Root, Fence: action.Fence}})
		a.node.Record(timeline.Event{Kind: timeline.EngineOrdered, Detail: "unload " + action.Root.String()})
	case rollout.Serve:
		_ = a.gate.Put(ctx, serveRoot{root: action.Root})
		_ = a.puller.Put(ctx, weightsLoaded{root: action.Root})
		a.node.Record(timeline.Event{Kind: timeline.EngineServing, Detail: action.Root.String()})
	}
}

func (a *Agent) weightsURL(root fleet.Digest) string {
	return "http://" + a.weights.Addr().String() + "/weights/" + root.String()
}

// runOrderer carries out one order after the other.
func (a *Agent) runOrderer(ctx context.Context) error {
	for {
		o, err := a.orders.Take(ctx)
		if err != nil {
			return nil
		}
		err = a.sendOrder(ctx, o)
		if err != nil {
			_ = level.Warn(a.node.Logger()).Log("msg", "engine order failed", "err", err)
		}
		if a.engineer.Put(ctx, rollout.OrderEnded{Err: err}) != nil {
			return nil
		}
	}
}

func (a *Agent) sendOrder(ctx context.Context, o order) error {
	limited, cancel := context.WithTimeout(ctx, a.settings.OrderTimeout)
	defer cancel()
	if o.load != nil {
		return a.engine.Load(limited, *o.load)
	}
	return a.engine.Unload(limited, *o.unload)
}

// runReporter reads the engine's load report and tells engineer and gatekeeper.
func (a *Agent) runReporter(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.ReportEvery)
	defer ticker.Stop()
	for {
		limited, cancel := context.WithTimeout(ctx, shortTimeout)
		report, err := a.engine.Report(limited)
		cancel()
		if err != nil {
			report = nil
		}
		_ = a.engineer.Put(ctx, rollout.Reported{Report: report})
		_ = a.gate.Put(ctx, health{report: report})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
