package emulator

import (
	"time"

	"rattanspur.example/lib/dispatch"
)

// call is a caller's request, including its retry after a rejection.
type call struct {
	sim          *simulation
	class        *Class
	prompt       prompt
	gateway      *gateway
	ticket       dispatch.Ticket
	promptTokens int
	totalEvents  int
	maxTokens    int
	// expectedTokens is the caller's estimate of the length of the answer.
	expectedTokens int
	firstSentAt    time.Time
	deadline       time.Time
	retriesLeft    int
	rejections     int
	// events counts the events received, of which the last arrived at lastEventAt.
	events      int
	lastEventAt time.Time
	// arrivedAt is when the call last arrived at a gateway.
	arrivedAt time.Time
	late      bool
	done      bool
	// attempt is the last attempt of the call, and hedge the one beside it; nil if there is
	// none.
	attempt, hedge *attempt
}

// remainingTokens returns the number of tokens that an engine has yet to
// generate.
func (c *call) remainingTokens(perEvent int) int { return (c.totalEvents - c.events) * perEvent }

// eventReceived records an event that arrived at the gateway.
func (c *call) eventReceived() {
	now := c.sim.clock.now
	if c.events == 0 {
		c.late = now.Sub(c.firstSentAt) > c.class.Goal
	} else if now.Sub(c.lastEventAt) > c.class.GapGoal {
		c.late = true
	}
	c.events++
	c.lastEventAt = now
	events := c.events
	c.sim.clock.after(c.class.gapPatience(), func() {
		if c.events == events {
			c.expire()
		}
	})
}

// completed records that all events have arrived.
func (c *call) completed() {
	if c.late {
		c.finish(outcomeLate)
		return
	}
	c.finish(outcomeInTime)
}

// refused handles a rejection: the caller returns after the stated delay if it
// has a retry left and the delay leaves it enough time.
func (c *call) refused(after time.Duration) {
	c.rejections++
	c.sim.result.RefusedAfter = append(c.sim.result.RefusedAfter, c.sim.clock.now.Sub(c.arrivedAt))
	left := c.deadline.Sub(c.sim.clock.now)
	if c.retriesLeft == 0 || after > left/3 {
		c.finish(outcomeRefused)
		return
	}
	c.retriesLeft--
	c.sim.clock.after(after+2*c.sim.scenario.Network.Caller, func() { c.sim.arrive(c) })
}

// failed records that the request ended without an answer.
func (c *call) failed() { c.finish(outcomeFailed) }

// expire ends a call whose deadline has passed, or whose caller bears no longer gap.
func (c *call) expire() {
	if c.done {
		return
	}
	c.cancelJobs()
	if g := c.gateway; g != nil && g.calls[c.ticket] == c {
		delete(g.calls, c.ticket)
		g.execute(g.core.Cancel(c.sim.clock.now, c.ticket))
	}
	c.finish(outcomeFailed)
}

// cancelJobs lets the engines drop the attempts of the call.
func (c *call) cancelJobs() {
	for _, a := range []*attempt{c.attempt, c.hedge} {
		if a != nil {
			a.job.canceled = true
		}
	}
}

func (c *call) finish(o outcome) {
	if c.done {
		return
	}
	c.done = true
	r := c.sim.result
	if c.prompt.harmful {
		if o == outcomeRefused {
			r.Harm.Refused++
		}
		return
	}
	at := c.firstSentAt.Sub(c.sim.startedAt)
	e := ending{outcome: o, begun: c.events > 0, returned: c.rejections > 0}
	r.add(at, c.class.Name, e)
	if c.sim.scenario.Harmful.during(c.class.Name, at) {
		r.Harm.addSound(&c.prompt, e)
	}
}
