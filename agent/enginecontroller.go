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

// engineEvent is an input of the engine controller.
type engineEvent = rollout.Event

// order is an order to the engine. Exactly one field is set.
type order struct {
	load   *engine.LoadOrder
	unload *engine.UnloadOrder
}

// engineController owns the rollout state: the roots that the engine has loaded
// and should load. It alone reports the engine's state to the gate, so that
// health and served root always match.
type engineController struct {
	agent     *Agent
	core      *rollout.Core
	lastCheck gate.HealthCheck
}

// runEngineController passes views and events to the rollout core, executes the
// resulting actions and answers queries for the rollout state.
func (a *Agent) runEngineController(ctx context.Context) error {
	c := &engineController{agent: a, core: rollout.New(rollout.Options{
		Self: a.self().ID, StartedAt: time.Now(), OrderSettleTime: a.settings.OrderSettleTime,
	})}
	for {
		select {
		case v := <-a.engineViews.Out():
			c.step(ctx, a.rolloutTarget(v))
		case ev := <-a.engineEvents.Out():
			c.step(ctx, ev)
		case reply := <-a.rolloutQueries.Out():
			_ = reply.Put(ctx, c.core.State())
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *engineController) step(ctx context.Context, ev engineEvent) {
	report, isReport := ev.(rollout.Reported)
	if isReport {
		c.lastCheck = healthCheck(report, c.lastCheck)
	}
	actions := c.core.Step(time.Now(), ev)
	c.lastCheck.Root = c.core.Serving()
	if isReport {
		_ = c.agent.gateEvents.Put(ctx, healthChecked{c.lastCheck})
	}
	for _, action := range actions {
		c.execute(ctx, action)
	}
}

// healthCheck converts a load report to a health check for the gate.
func healthCheck(ev rollout.Reported, previous gate.HealthCheck) gate.HealthCheck {
	if ev.Report == nil {
		return gate.HealthCheck{StartedAt: ev.RequestedAt, BootID: previous.BootID}
	}
	r := ev.Report
	return gate.HealthCheck{
		StartedAt: ev.RequestedAt, Healthy: true, Warm: r.Warm, Overloaded: r.Waiting > 0, BootID: r.BootID,
	}
}

// rolloutTarget returns the target that a view defines for this agent's engine.
// It is empty unless the service is a model service.
func (a *Agent) rolloutTarget(v node.View) rollout.Target {
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

func (c *engineController) execute(ctx context.Context, action rollout.Action) {
	a := c.agent
	switch action := action.(type) {
	case rollout.Fetch:
		_ = a.pullerEvents.Put(ctx, startTransfer{profile: action.Profile})
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
		_ = a.gateEvents.Put(ctx, drainRoot(action))
	case rollout.Serve:
		a.node.SetServing(action.Root, action.Switching)
		_ = a.gateEvents.Put(ctx, healthChecked{c.lastCheck})
		_ = a.pullerEvents.Put(ctx, weightsLoaded{root: action.Root})
		a.node.Record(timeline.Event{Kind: timeline.EngineServing, Detail: action.Root.String()})
	}
}

func (a *Agent) weightsURL(root fleet.Digest) string {
	return "http://" + a.weightsListener.Addr().String() + "/weights/" + root.String()
}

// runOrderSender sends orders to the engine, one at a time.
func (a *Agent) runOrderSender(ctx context.Context) error {
	for {
		o, err := a.orders.Take(ctx)
		if err != nil {
			return nil
		}
		err = a.sendOrder(ctx, o)
		a.metrics.countOrder(err)
		if err != nil {
			_ = level.Warn(a.node.Logger()).Log("msg", "sending an order to the engine failed", "err", err)
		}
		if a.engineEvents.Put(ctx, rollout.OrderEnded{Err: err}) != nil {
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

// queryRollout returns the rollout state from the engine controller.
func (a *Agent) queryRollout(ctx context.Context) (rollout.State, error) {
	reply := ring.New[rollout.State](1, ring.Refuse)
	if err := a.rolloutQueries.Put(ctx, reply); err != nil {
		return rollout.State{}, err
	}
	return reply.Take(ctx)
}
