package agent

import (
	"context"
	"time"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
)

// gateEvent is an input of the gatekeeper duty.
type gateEvent interface{ gateEvent() }

// admit asks for a call to be counted in; the answer is a Reason.
type admit struct {
	call   gate.Call
	answer *ring.Ring[gate.Reason]
}

// recheck repeats the check right before hand-over.
type recheck admit

// done counts a call out.
type done struct{ completed bool }

// serveRoot names the root that calls may reach.
type serveRoot struct{ root fleet.Digest }

// health carries the engine's report; nil means that it did not answer.
type health struct{ report *engine.Report }

// leave refuses all further calls.
type leave struct{}

func (admit) gateEvent()     {}
func (recheck) gateEvent()   {}
func (done) gateEvent()      {}
func (serveRoot) gateEvent() {}
func (health) gateEvent()    {}
func (leave) gateEvent()     {}

// runGatekeeper owns the gate.
func (a *Agent) runGatekeeper(ctx context.Context) error {
	g := gate.New()
	for {
		select {
		case v := <-a.gateViews.Out():
			g.Configure(v.Config.Service(a.self().Service), v.Config.DomainIn(a.self().FailureDomain))
		case ev := <-a.gate.Out():
			a.gateStep(ctx, g, ev)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Agent) gateStep(ctx context.Context, g *gate.Gate, ev gateEvent) {
	switch ev := ev.(type) {
	case admit:
		_ = ev.answer.Put(ctx, g.Admit(time.Now(), ev.call))
	case recheck:
		reason := g.Check(time.Now(), ev.call)
		if reason != gate.Admitted {
			g.Done(false)
		}
		_ = ev.answer.Put(ctx, reason)
	case done:
		g.Done(ev.completed)
	case serveRoot:
		g.Serve(ev.root)
	case leave:
		g.Leave()
	case health:
		r := ev.report
		if r == nil {
			g.Health(false, false, "")
			return
		}
		if g.Health(true, r.Warm, r.BootID) {
			a.node.Record(timeline.Event{Kind: timeline.EngineCold, Detail: r.BootID})
		}
	}
}
