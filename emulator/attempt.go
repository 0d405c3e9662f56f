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
	job     *job
	// hedge is set while the attempt runs beside the current one of the call.
	hedge bool
	// ended is set once the engine or the gateway has ended the attempt, over once the
	// gateway knows.
	ended, over bool
	// since is when the last event came, or when the request was sent. silent is set while
	// the core knows that the attempt is silent.
	since  time.Time
	silent bool
	// begunAt is when the response began, and milestones are those that it has not reached.
	begunAt    time.Time
	milestones []time.Duration
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
		if a.over {
			return
		}
		a.result.FirstByte = now.Sub(a.sentAt)
		o.Attempt = a.send.Attempt
		if o.Limit.Kind == ratelimit.Stated {
			limits.toldGateway(now, a.engine.id, g.address)
		}
		g.core.Observe(now, a.send.Ticket, o)
		if a.hedge {
			a.replace()
		}
		a.begunAt, a.milestones = now, a.send.Milestones
		g.execute(g.core.ResponseStarted(now, a.send.Ticket))
	})
}

// eventReceived passes on an event that arrived at the gateway.
func (a *attempt) eventReceived() {
	if a.over {
		return
	}
	a.call.eventReceived()
	g := a.gateway
	if h := a.call.hedge; h != nil {
		h.endHere(retry.Canceled)
	}
	if a.silent {
		a.silent = false
		g.execute(g.core.AttemptResumed(g.sim.clock.now, a.send.Ticket))
	}
	a.reportMilestone()
	a.watch(a.send.GapSilence, a.send.GapTimeout)
}

// reportMilestone tells the core if the response has gone on for long enough to be evidence.
func (a *attempt) reportMilestone() {
	now := a.gateway.sim.clock.now
	if len(a.milestones) == 0 || now.Sub(a.begunAt) < a.milestones[0] {
		return
	}
	a.milestones = a.milestones[1:]
	a.gateway.execute(a.gateway.core.ResponseGoesOn(now, a.send.Ticket, now.Sub(a.begunAt)))
}

// watch begins a new silence: the core is told if it lasts for report, and the attempt ends
// if it lasts for end; 0 means never.
func (a *attempt) watch(report, end time.Duration) {
	clock := &a.gateway.sim.clock
	a.since = clock.now
	after := func(d time.Duration, f func()) {
		if d == 0 {
			return
		}
		since := a.since
		clock.after(d, func() {
			if !a.ended && a.since.Equal(since) {
				f()
			}
		})
	}
	after(report, a.reportSilence)
	after(end, func() { a.endHere(retry.Stalled) })
}

// reportSilence tells the core that nothing has come for a while.
func (a *attempt) reportSilence() {
	g := a.gateway
	if a.hedge {
		g.core.HedgeSilent(g.sim.clock.now, a.send.Ticket, a.since)
		return
	}
	a.silent = true
	s := dispatch.Silence{Since: a.since, Version: a.result.Version}
	s.Started, s.LastEventID = a.begun()
	g.execute(g.core.AttemptSilent(g.sim.clock.now, a.send.Ticket, s))
}

// begun returns whether the caller has events, and the id of the last one.
func (a *attempt) begun() (started bool, lastEventID string) {
	if a.call.events == 0 {
		return false, ""
	}
	return true, "event"
}

// end reports the end of the attempt at the engine. Only the first end counts.
func (a *attempt) end(how retry.End) {
	if a.ended {
		return
	}
	a.ended = true
	a.reply(func() { a.finish(how) })
}

// endHere ends the attempt at the gateway. The engine drops the request.
func (a *attempt) endHere(how retry.End) {
	if a.ended {
		return
	}
	a.ended = true
	a.job.canceled = true
	a.finish(how)
}

// replace lets a hedge that makes progress take the place of the current attempt.
func (a *attempt) replace() {
	previous := a.call.attempt
	previous.ended = true
	previous.job.canceled = true
	previous.finish(retry.Stalled)
}

// promote makes the hedge of a call its current attempt.
func (c *call) promote() {
	c.attempt, c.hedge = c.hedge, nil
	c.attempt.hedge = false
}

// finish passes the end of the attempt to the core.
func (a *attempt) finish(how retry.End) {
	if a.over {
		return
	}
	a.over = true
	g := a.gateway
	a.result.End, a.result.Idle = how, g.sim.clock.now.Sub(a.since)
	a.result.Started, a.result.LastEventID = a.begun()
	switch {
	case a.hedge:
		a.call.hedge = nil
		g.execute(g.core.HedgeEnded(g.sim.clock.now, a.send.Ticket, a.result))
		return
	case how == retry.Answered:
		a.call.completed()
	case a.call.hedge != nil:
		a.call.promote()
		g.execute(g.core.AttemptReplaced(g.sim.clock.now, a.send.Ticket, a.result))
		return
	}
	g.execute(g.core.AttemptEnded(g.sim.clock.now, a.send.Ticket, a.result))
}
