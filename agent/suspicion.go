package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/wire"
)

// began reports that the upstream began to answer a call.
type began struct{ ticket gate.Ticket }

// recordBegan reports that the upstream began to answer a call. A refusal is no
// beginning, because an upstream that refuses has not begun to work on the prompt.
func (a *Agent) recordBegan(call admittedCall, status int) {
	if wire.AnswerBegan(status) {
		_ = a.gateEvents.Put(context.WithoutCancel(call.ctx), began{ticket: call.ticket})
	}
}

// crashHeader returns the header that tells the entry of which crash a call may be
// the cause. It is empty if the connection to the upstream did not break.
func crashHeader(call admittedCall, outcome gate.Outcome) http.Header {
	h := http.Header{}
	if outcome == gate.ConnectionLost {
		wire.SetCrash(h, call.crash)
	}
	return h
}

// crashID returns the identifier of the crash of a start of the upstream.
func (g *gateController) crashID(s gate.Start) poison.CrashID {
	boot := s.BootID
	if boot == "" {
		boot = strconv.FormatInt(s.HealthySince.UnixNano(), 10)
	}
	return poison.NewBootCrashID(g.agent.self().ID, boot)
}

// suspicion returns the trait for which a call must run alone, or 0. A call that
// entries would block may have been sent by one that does not know yet.
func (g *gateController) suspicion(now time.Time, traits []poison.Trait) poison.Trait {
	d := g.evidence.Check(now, traits)
	if !g.evidence.RunsAlone(d, traits) {
		return 0
	}
	return d.Trait
}

// began clears the traits of a call that the upstream began to answer.
func (g *gateController) began(now time.Time, ev began) {
	g.gate.Began(ev.ticket)
	g.evidence.Began(now, ev.ticket.Traits)
}

// recordCrash records the evidence that a health check yields. An entry records the
// loss of a call at once, so a crash that did not happen has to be refuted.
func (g *gateController) recordCrash(now time.Time, check gate.HealthCheck, change gate.Change) {
	id := g.crashID(change.Start)
	for _, traits := range change.Crashed {
		g.evidence.Lost(now, id, traits)
	}
	if !change.BrokenAt.IsZero() {
		g.evidence.Lost(change.BrokenAt, id, nil)
		g.evidence.Answered(now, id, check.StartedAt)
	}
}
