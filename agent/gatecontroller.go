package agent

import (
	"context"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// gateTickInterval is the interval at which the gate reads the clock to detect a
// pause of the process.
const gateTickInterval = 200 * time.Millisecond

// gateOptions limit the age of the gate's information. PauseAfter is longer than
// the delays of a busy machine and shorter than the time after which a failure
// domain that was taken out must get no new work (3 s).
var gateOptions = gate.Options{
	StaleAfter:          3 * time.Second,
	PauseAfter:          2 * time.Second,
	PauseHold:           2 * time.Second,
	ReservationTime:     2 * time.Second,
	ReservationInterval: 10 * time.Second,
}

// gateEvent is an input of the gate controller.
type gateEvent interface{ gateEvent() }

// admit requests the admission of a call.
type admit struct {
	call gate.Call
	// entry is the entry that routed the call, stamp the configuration that it
	// used.
	entry fleet.InstanceID
	stamp config.Stamp
	reply *ring.Ring[verdict]
}

// recheck repeats the check right before a call is sent to the upstream. If the
// call is refused, its ticket is released.
type recheck struct {
	ticket gate.Ticket
	reply  *ring.Ring[verdict]
}

// verdict is the reply to admit and recheck.
type verdict struct {
	reason gate.Reason
	ticket gate.Ticket
	load   wire.Load
	stamp  config.Stamp
	// crash identifies the crash of the present start of the upstream.
	crash poison.CrashID
	// at is the time of the decision.
	at time.Time
}

// done releases the ticket of a call that was sent to the upstream.
type done struct {
	ticket  gate.Ticket
	outcome gate.Outcome
}

// release releases the ticket of a call that was not sent to the upstream.
type release struct{ ticket gate.Ticket }

// healthChecked carries the result of a health check.
type healthChecked struct{ check gate.HealthCheck }

// drainRoot requests a rollout.Drained event once no call for a root is in
// flight.
type drainRoot rollout.Drain

// leave makes the gate refuse all further calls.
type leave struct{}

// awaitIdle requests a reply once no call is in flight.
type awaitIdle struct{ reply *ring.Ring[struct{}] }

// gateStateQuery requests the gate's state.
type gateStateQuery struct{ reply *ring.Ring[gate.State] }

func (admit) gateEvent()          {}
func (began) gateEvent()          {}
func (survived) gateEvent()       {}
func (recheck) gateEvent()        {}
func (done) gateEvent()           {}
func (release) gateEvent()        {}
func (healthChecked) gateEvent()  {}
func (drainRoot) gateEvent()      {}
func (leave) gateEvent()          {}
func (awaitIdle) gateEvent()      {}
func (gateStateQuery) gateEvent() {}

// gateController owns the gate and the requests that wait for calls to end.
type gateController struct {
	agent *Agent
	gate  *gate.Gate
	view  node.View
	// evidence is about requests that crash upstreams.
	evidence *node.Evidence
	// reserved is the suspected call that waits until it can run alone, at most
	// until reservedUntil.
	reserved      *admit
	reservedUntil time.Time
	drains        []drainRoot
	idleWaiters   []awaitIdle
}

// runGateController decides on the admission of calls.
func (a *Agent) runGateController(ctx context.Context) error {
	defer a.gateEvents.Close()
	g := &gateController{agent: a, gate: gate.New(gateOptions), evidence: node.NewEvidence(a.node)}
	ticker := time.NewTicker(gateTickInterval)
	defer ticker.Stop()
	for {
		select {
		case v := <-a.gateViews.Out():
			g.setView(v)
		case ev := <-a.gateEvents.Out():
			g.step(ctx, ev)
		case <-ticker.C:
			g.gate.Tick(time.Now())
		case <-ctx.Done():
			return nil
		}
		g.answerWaiting(ctx)
		g.evidence.Share(time.Now())
		a.metrics.setGateState(g.gate.State())
	}
}

func (g *gateController) setView(v node.View) {
	g.view = v
	self := g.agent.self()
	g.gate.Tick(time.Now())
	g.gate.Configure(v.Config.Service(self.Service), v.Config.DomainIn(self.FailureDomain))
	g.evidence.Apply(time.Now(), v)
}

func (g *gateController) step(ctx context.Context, ev gateEvent) {
	now := time.Now()
	switch ev := ev.(type) {
	case admit:
		g.admit(ctx, now, ev)
	case recheck:
		_ = ev.reply.Put(ctx, g.newVerdict(now, ev.ticket, g.gate.Recheck(now, ev.ticket)))
	case began:
		g.gate.Began(now, ev.ticket)
	case survived:
		g.survived(now, ev)
	case done:
		g.done(ctx, now, ev)
	case release:
		g.gate.Release(ev.ticket)
	case healthChecked:
		g.applyHealthCheck(now, ev.check)
	case connectionCheck:
		allowed := g.gate.RecordConnection(now, ev.bootID, ev.warm)
		if !allowed {
			_ = g.agent.healthCheckRequests.Put(ctx, struct{}{})
		}
		_ = ev.reply.Put(ctx, allowed)
	case drainRoot:
		g.drains = append(g.drains, ev)
	case leave:
		g.gate.Leave()
	case awaitIdle:
		g.idleWaiters = append(g.idleWaiters, ev)
	case gateStateQuery:
		_ = ev.reply.Put(ctx, g.gate.State())
	}
}

func (g *gateController) newVerdict(now time.Time, t gate.Ticket, r gate.Reason) verdict {
	v := verdict{reason: r, ticket: t, crash: g.crashID(g.gate.Start()), at: now}
	v.load = wire.Load{Limit: g.gate.Limit(), InFlight: g.gate.InFlight(), Warm: g.gate.Warm()}
	if g.view.Config != nil {
		v.stamp = g.view.Config.Stamp
	}
	return v
}

func (g *gateController) admit(ctx context.Context, now time.Time, ev admit) {
	g.observeStamp(ev)
	ev.call.Suspect = g.suspicion(now, ev.call.Traits)
	ticket, reason := g.gate.Admit(now, ev.call)
	if reason == gate.Exclusive && g.reserved == nil {
		if until, ok := g.gate.Reserve(now, ev.call); ok {
			g.reserved, g.reservedUntil = &ev, until
			return
		}
	}
	_ = ev.reply.Put(ctx, g.newVerdict(now, ticket, reason))
}

// observeStamp checks whether the entry of a call used a newer configuration than
// this agent has. If so, it makes the node fetch that configuration.
func (g *gateController) observeStamp(ev admit) {
	if g.view.Config == nil || ev.stamp.Compare(g.view.Config.Stamp) <= 0 {
		return
	}
	for _, m := range g.view.Members {
		if m.ID == ev.entry {
			g.agent.node.ObserveStamp(m.Address, ev.stamp)
			return
		}
	}
}

func (g *gateController) done(ctx context.Context, now time.Time, ev done) {
	g.gate.Done(now, ev.ticket, ev.outcome)
	if ev.outcome == gate.ConnectionLost || ev.outcome == gate.Unreachable {
		_ = g.agent.healthCheckRequests.Put(ctx, struct{}{})
	}
}

func (g *gateController) applyHealthCheck(now time.Time, check gate.HealthCheck) {
	change := g.gate.Observe(now, check)
	if change.BecameCold {
		g.agent.metrics.cold.Inc()
		g.agent.node.Record(timeline.Event{Kind: timeline.EngineCold, Detail: check.BootID})
	}
	g.recordCrash(now, check, change)
}

// answerWaiting replies to the requests that wait for calls to end, if their
// condition is met.
func (g *gateController) answerWaiting(ctx context.Context) {
	if g.reserved != nil {
		g.answerReserved(ctx, time.Now())
	}
	kept := g.drains[:0]
	for _, d := range g.drains {
		if g.gate.InFlightOf(d.Root) > 0 || g.agent.engineEvents.Put(ctx, rollout.Drained(d)) != nil {
			kept = append(kept, d)
		}
	}
	g.drains = kept
	if g.gate.InFlight() > 0 {
		return
	}
	for _, w := range g.idleWaiters {
		_ = w.reply.Put(ctx, struct{}{})
	}
	g.idleWaiters = nil
}

// answerReserved replies to the reserved call if it is decided or its reservation
// has expired.
func (g *gateController) answerReserved(ctx context.Context, now time.Time) {
	ticket, reason := g.gate.Admit(now, g.reserved.call)
	if reason == gate.Exclusive && now.Before(g.reservedUntil) {
		return
	}
	_ = g.reserved.reply.Put(ctx, g.newVerdict(now, ticket, reason))
	g.reserved = nil
}
