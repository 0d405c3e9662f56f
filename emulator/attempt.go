package emulator

import (
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
)

// attempt is one attempt of a call at an engine. What the engine reports travels back
// to the gateway with the same delay as the request.
type attempt struct {
	gateway *gateway
	call    *call
	engine  *engine
	send    dispatch.Send
	sentAt  time.Time
	delay   time.Duration
	result  dispatch.AttemptResult
	ended   bool
}

// arrive passes the request to the engine. One that is paused reads it afterwards.
func (a *attempt) arrive(j *job) {
	a.gateway.sim.result.Limits.arrived(a.gateway.sim.clock.now, a.engine.id, a.gateway.address)
	a.limitBegin(j)
	a.engine.whenAwake(func() { a.read(j) })
}

// read lets the engine accept the request or refuse it.
func (a *attempt) read(j *job) {
	e := a.engine
	if a.ended {
		return
	}
	if j.harmful && !e.down {
		a.gateway.sim.result.Harm.reached(a.gateway.sim.clock.now)
	}
	switch {
	case e.down && e.refuses:
		a.end(retry.Unreachable)
	case e.down:
		a.gateway.sim.clock.after(connectTimeout, func() { a.end(retry.Unreachable) })
	case e.submit(j, a.send.ExpectVersion):
	case e.loading == 0 && a.send.ExpectVersion != 0 && a.send.ExpectVersion != e.version:
		a.result.Misdirected = true
		a.end(retry.Refused)
	default:
		a.end(retry.Busy)
	}
}

// limitBegin ends the attempt if its first event does not come in time.
func (a *attempt) limitBegin(j *job) {
	if a.send.BeginBy.IsZero() {
		return
	}
	a.gateway.sim.clock.at(a.send.BeginBy, func() {
		if !j.started && !j.canceled && !a.ended {
			j.canceled = true
			a.end(retry.NotBegun)
		}
	})
}

// reply runs a function at the gateway after the delay of the network.
func (a *attempt) reply(f func()) { a.gateway.sim.clock.after(a.delay, f) }

// started reports the head of the response.
func (a *attempt) started(o dispatch.Observation) {
	limits := a.gateway.sim.result.Limits
	if o.Limit.Kind == ratelimit.Stated {
		limits.stated(a.gateway.sim.clock.now, a.engine.id)
	}
	a.reply(func() {
		g := a.gateway
		now := g.sim.clock.now
		a.result.FirstByte = now.Sub(a.sentAt)
		if o.Limit.Kind == ratelimit.Stated {
			limits.toldGateway(now, a.engine.id, g.address)
		}
		g.core.Observe(now, a.send.Ticket, o)
		g.execute(g.core.ResponseStarted(now, a.send.Ticket))
	})
}

// end reports the end of the attempt. Only the first one counts.
func (a *attempt) end(how retry.End) {
	if a.ended {
		return
	}
	a.ended = true
	a.reply(func() {
		a.result.End = how
		if a.call.events > 0 {
			a.result.Started, a.result.LastEventID = true, "event"
		}
		if how == retry.Answered {
			a.call.completed()
		}
		g := a.gateway
		g.execute(g.core.AttemptEnded(g.sim.clock.now, a.send.Ticket, a.result))
	})
}
