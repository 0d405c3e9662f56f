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

// began reports that the upstream began to answer a call, survived that it has not crashed
// although the answer came to its end or went on for long.
type (
	began    struct{ ticket gate.Ticket }
	survived struct{ ticket gate.Ticket }
)

// answerWatch tells the gate controller how far the answer to a call has gone. An error or a
// refusal is no answer, because an upstream that refuses has not begun to work on the prompt.
type answerWatch struct {
	agent    *Agent
	call     admittedCall
	begunAt  time.Time
	answer   bool
	survived bool
}

// watchAnswer begins to watch an answer with a status.
func (a *Agent) watchAnswer(call admittedCall, status int) *answerWatch {
	w := &answerWatch{agent: a, call: call, begunAt: time.Now(), answer: status < http.StatusBadRequest}
	if wire.AnswerBegan(status) {
		_ = a.gateEvents.Put(context.WithoutCancel(call.ctx), began{ticket: call.ticket})
	}
	return w
}

// goesOn records that a part of the answer has arrived.
func (w *answerWatch) goesOn() {
	if poison.Lasts(time.Since(w.begunAt)) {
		w.recordSurvived()
	}
}

// recordSurvived reports that the upstream has survived the call. Only the first call has an
// effect.
func (w *answerWatch) recordSurvived() {
	if !w.answer || w.survived {
		return
	}
	w.survived = true
	_ = w.agent.gateEvents.Put(context.WithoutCancel(w.call.ctx), survived{ticket: w.call.ticket})
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

// survived clears the traits of a call that the upstream survived.
func (g *gateController) survived(now time.Time, ev survived) {
	g.gate.Survived(ev.ticket)
	g.evidence.Survived(now, ev.ticket.Traits)
}

// recordCrash records the evidence that a health check yields. An entry records the
// loss of a call at once, so a crash that did not happen has to be refuted.
func (g *gateController) recordCrash(now time.Time, check gate.HealthCheck, change gate.Change) {
	id := g.crashID(change.Start)
	for _, call := range change.Crashed {
		g.evidence.LostAnswering(now, id, call.Traits, call.Answered)
	}
	if !change.BrokenAt.IsZero() {
		g.evidence.Lost(change.BrokenAt, id, nil)
		g.evidence.Answered(now, id, check.StartedAt)
	}
}
