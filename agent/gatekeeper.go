package agent

import (
	"context"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// gateTick is the time between two looks of the gatekeeper at the clock, by
// which a pause of the process is noticed.
const gateTick = 200 * time.Millisecond

// gateOptions bound how old the gate's knowledge may be. A pause is longer
// than what a busy machine causes and shorter than the time in which a failure
// domain that is out must be free of new work (3 s).
var gateOptions = gate.Options{
	StaleAfter:          3 * time.Second,
	PauseAfter:          2 * time.Second,
	PauseHold:           2 * time.Second,
	ReservationTime:     2 * time.Second,
	ReservationInterval: 10 * time.Second,
}

// gateEvent is an input of the gatekeeper duty.
type gateEvent interface{ gateEvent() }

// admit asks for a call to be counted in.
type admit struct {
	call gate.Call
	// entry and stamp say who decided, and by which configuration.
	entry  fleet.InstanceID
	stamp  config.Stamp
	answer *ring.Ring[verdict]
}

// recheck repeats the check right before hand-over. A refused ticket is
// counted out.
type recheck struct {
	ticket gate.Ticket
	answer *ring.Ring[verdict]
}

// verdict answers admit and recheck.
type verdict struct {
	reason gate.Reason
	ticket gate.Ticket
	load   wire.Load
	stamp  config.Stamp
	// at is when the gate decided.
	at time.Time
}

// done counts a call out that was handed over.
type done struct {
	ticket  gate.Ticket
	outcome gate.Outcome
}

// release counts a call out that was not handed over.
type release struct{ ticket gate.Ticket }

// upstreamSeen carries the result of a health check.
type upstreamSeen struct{ upstream gate.HealthCheck }

// drainRoot asks for a rollout.Drained event once a root has no calls.
type drainRoot rollout.Drain

// leave refuses all further calls.
type leave struct{}

// awaitIdle asks for an answer once no call is in flight.
type awaitIdle struct{ answer *ring.Ring[struct{}] }

// gateQuestion asks for the gate's state.
type gateQuestion struct{ answer *ring.Ring[gate.State] }

func (admit) gateEvent()        {}
func (recheck) gateEvent()      {}
func (done) gateEvent()         {}
func (release) gateEvent()      {}
func (upstreamSeen) gateEvent() {}
func (drainRoot) gateEvent()    {}
func (leave) gateEvent()        {}
func (awaitIdle) gateEvent()    {}
func (gateQuestion) gateEvent() {}

// gatekeeper owns the gate and who waits for it.
type gatekeeper struct {
	agent *Agent
	gate  *gate.Gate
	view  node.View
	// reserving is the suspected call that waits until it can run alone.
	reserving *admit
	until     time.Time
	drains    []drainRoot
	idle      []awaitIdle
}

func (a *Agent) runGatekeeper(ctx context.Context) error {
	defer a.gate.Close()
	k := &gatekeeper{agent: a, gate: gate.New(gateOptions)}
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()
	for {
		select {
		case v := <-a.gateViews.Out():
			k.setView(v)
		case ev := <-a.gate.Out():
			k.step(ctx, ev)
		case <-ticker.C:
			k.gate.Tick(time.Now())
		case <-ctx.Done():
			return nil
		}
		k.settle(ctx)
		a.metrics.gate(k.gate.State())
	}
}

func (k *gatekeeper) setView(v node.View) {
	k.view = v
	self := k.agent.self()
	k.gate.Tick(time.Now())
	k.gate.Configure(v.Config.Service(self.Service), v.Config.DomainIn(self.FailureDomain))
	suspects := make([]string, 0, len(v.Suspects))
	for _, s := range v.Suspects {
		suspects = append(suspects, s.Fingerprint)
	}
	k.gate.SetSuspects(suspects)
}

func (k *gatekeeper) step(ctx context.Context, ev gateEvent) {
	now := time.Now()
	switch ev := ev.(type) {
	case admit:
		k.admit(ctx, now, ev)
	case recheck:
		_ = ev.answer.Put(ctx, k.verdict(now, ev.ticket, k.gate.Recheck(now, ev.ticket)))
	case done:
		k.done(ctx, now, ev)
	case release:
		k.gate.Release(ev.ticket)
	case upstreamSeen:
		k.observe(now, ev.upstream)
	case connected:
		same := k.gate.RecordConnection(now, ev.bootID, ev.warm)
		if !same {
			_ = k.agent.probe.Put(ctx, struct{}{})
		}
		_ = ev.answer.Put(ctx, same)
	case drainRoot:
		k.drains = append(k.drains, ev)
	case leave:
		k.gate.Leave()
	case awaitIdle:
		k.idle = append(k.idle, ev)
	case gateQuestion:
		_ = ev.answer.Put(ctx, k.gate.State())
	}
}

func (k *gatekeeper) verdict(now time.Time, t gate.Ticket, r gate.Reason) verdict {
	v := verdict{reason: r, ticket: t, at: now}
	v.load = wire.Load{Limit: k.gate.Limit(), InFlight: k.gate.InFlight(), Warm: k.gate.Warm()}
	if k.view.Config != nil {
		v.stamp = k.view.Config.Stamp
	}
	return v
}

func (k *gatekeeper) admit(ctx context.Context, now time.Time, ev admit) {
	k.hear(ev)
	ticket, reason := k.gate.Admit(now, ev.call)
	if reason == gate.Exclusive && k.reserving == nil {
		if until, ok := k.gate.Reserve(now, ev.call); ok {
			k.reserving, k.until = &ev, until
			return
		}
	}
	_ = ev.answer.Put(ctx, k.verdict(now, ticket, reason))
}

// hear has the configuration fetched that an entry decided by, if it is newer.
func (k *gatekeeper) hear(ev admit) {
	if k.view.Config == nil || ev.stamp.Compare(k.view.Config.Stamp) <= 0 {
		return
	}
	for _, m := range k.view.Members {
		if m.ID == ev.entry {
			k.agent.node.ObserveStamp(m.Address, ev.stamp)
			return
		}
	}
}

func (k *gatekeeper) done(ctx context.Context, now time.Time, ev done) {
	k.gate.Done(now, ev.ticket, ev.outcome)
	switch ev.outcome {
	case gate.Completed:
		if ev.ticket.Suspect() {
			k.agent.node.ReportSuccess(ev.ticket.Fingerprint)
		}
	case gate.ConnectionLost, gate.Unreachable:
		_ = k.agent.probe.Put(ctx, struct{}{})
	}
}

func (k *gatekeeper) observe(now time.Time, u gate.HealthCheck) {
	change := k.gate.Observe(now, u)
	if change.BecameCold {
		k.agent.metrics.cold.Inc()
		k.agent.node.Record(timeline.Event{Kind: timeline.EngineCold, Detail: u.BootID})
	}
	if len(change.Crashed) > 0 {
		k.agent.node.ReportCrash(change.Crashed)
	}
}

// settle answers whoever waits for calls to end.
func (k *gatekeeper) settle(ctx context.Context) {
	if k.reserving != nil {
		k.settleReservation(ctx, time.Now())
	}
	kept := k.drains[:0]
	for _, d := range k.drains {
		if k.gate.InFlightOf(d.Root) > 0 || k.agent.engineer.Put(ctx, rollout.Drained(d)) != nil {
			kept = append(kept, d)
		}
	}
	k.drains = kept
	if k.gate.InFlight() > 0 {
		return
	}
	for _, w := range k.idle {
		_ = w.answer.Put(ctx, struct{}{})
	}
	k.idle = nil
}

func (k *gatekeeper) settleReservation(ctx context.Context, now time.Time) {
	ticket, reason := k.gate.Admit(now, k.reserving.call)
	if reason == gate.Exclusive && now.Before(k.until) {
		return
	}
	_ = k.reserving.answer.Put(ctx, k.verdict(now, ticket, reason))
	k.reserving = nil
}
