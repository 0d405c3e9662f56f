package agent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
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

// engineer owns what the engine holds and must hold. The gate learns of the
// engine's state only from here, so that health and served root go together.
type engineer struct {
	agent    *Agent
	core     *rollout.Core
	upstream gate.HealthCheck
}

func (a *Agent) runEngineer(ctx context.Context) error {
	e := &engineer{agent: a, core: rollout.New(rollout.Options{
		Self: a.self().ID, StartedAt: time.Now(), OrderSettleTime: a.settings.OrderSettleTime,
	})}
	for {
		select {
		case v := <-a.engineerViews.Out():
			e.step(ctx, a.target(v))
		case ev := <-a.engineer.Out():
			e.step(ctx, ev)
		case question := <-a.rollouts.Out():
			_ = question.Put(ctx, e.core.State())
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *engineer) step(ctx context.Context, ev engineerEvent) {
	reported, isReport := ev.(rollout.Reported)
	if isReport {
		e.upstream = health(reported, e.upstream)
	}
	actions := e.core.Step(time.Now(), ev)
	e.upstream.Root = e.core.Serving()
	if isReport {
		_ = e.agent.gate.Put(ctx, upstreamSeen{e.upstream})
	}
	for _, action := range actions {
		e.carryOut(ctx, action)
	}
}

// health translates a load report for the gate.
func health(ev rollout.Reported, old gate.HealthCheck) gate.HealthCheck {
	if ev.Report == nil {
		return gate.HealthCheck{StartedAt: ev.RequestedAt, BootID: old.BootID}
	}
	r := ev.Report
	return gate.HealthCheck{
		StartedAt: ev.RequestedAt, Healthy: true, Warm: r.Warm, Overloaded: r.Waiting > 0, BootID: r.BootID,
	}
}

func (a *Agent) target(v node.View) rollout.Target {
	s := v.Config.Service(a.self().Service)
	if s == nil || s.Kind != config.KindModel {
		return rollout.Target{}
	}
	t := rollout.Target{
		Profile:        v.Config.ServedProfile(s.Name),
		ActiveRoots:    map[fleet.Digest]bool{},
		LoadsAlongside: s.LoadsAlongside,
		ChecksFence:    s.ChecksFence,
		MaxUnavailable: s.Limits.MaxUnavailable,
	}
	for i := range v.Config.Profiles {
		if p := &v.Config.Profiles[i]; !p.Retired {
			t.ActiveRoots[p.Weights.Root] = true
		}
	}
	for _, m := range v.Members {
		if m.Role == fleet.RoleAgent && m.Service == s.Name && m.State == fleet.StateLive {
			t.Members = append(t.Members, m)
		}
	}
	return t
}

func (e *engineer) carryOut(ctx context.Context, action rollout.Action) {
	a := e.agent
	switch action := action.(type) {
	case rollout.Fetch:
		_ = a.puller.Put(ctx, startTransfer{profile: action.Profile})
	case rollout.Load:
		p := action.Profile
		loaded := engine.Loaded{Model: p.Model, Version: p.Version, Root: p.Weights.Root}
		_ = a.orders.Put(ctx, order{load: &engine.LoadOrder{
			Loaded: loaded, ServeAs: engine.ServedName(loaded.Root),
			Source: a.weightsURL(loaded.Root), Fence: action.Fence,
		}})
		a.node.Record(timeline.Event{Kind: timeline.EngineOrdered, Profile: p.Name, Detail: "load " + string(p.Version)})
	case rollout.Unload:
		_ = a.orders.Put(ctx, order{unload: &engine.UnloadOrder{Root: action.Root, Fence: action.Fence}})
		a.node.Record(timeline.Event{Kind: timeline.EngineOrdered, Detail: "unload " + action.Root.String()})
	case rollout.Drain:
		_ = a.gate.Put(ctx, drainRoot(action))
	case rollout.Serve:
		a.node.SetServing(action.Root, action.Switching)
		_ = a.gate.Put(ctx, upstreamSeen{e.upstream})
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
		a.metrics.order(err)
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

// askRollout returns the state of the engineer's core.
func (a *Agent) askRollout(ctx context.Context) (rollout.State, error) {
	answer := ring.New[rollout.State](1, ring.Refuse)
	if err := a.rollouts.Put(ctx, answer); err != nil {
		return rollout.State{}, err
	}
	return answer.Take(ctx)
}
