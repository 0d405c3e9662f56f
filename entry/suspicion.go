package entry

import (
	"context"
	"net/http"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// answerBegan reports that the answer to an attempt began while the rest of it is
// still being received.
type answerBegan struct{ attempt attempt }

func (answerBegan) event() {}

// evidence is what the response to an attempt says about a loss.
type evidence struct {
	// answered is true if the agent responded to the attempt.
	answered bool
	// begun is true if the answer of the upstream began, and success if its status is that of
	// a success.
	begun, success bool
	// crash identifies the crash that the upstream may have had; known is true if
	// the agent named one.
	crash poison.CrashID
	known bool
}

// evidenceOf returns what the head of a response says.
func evidenceOf(resp *http.Response) evidence {
	ran := wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) == wire.Ran
	v := evidence{answered: true, begun: ran && wire.AnswerBegan(resp.StatusCode), success: resp.StatusCode < http.StatusBadRequest}
	v.crash, v.known = wire.GetCrash(resp.Header)
	return v
}

// reportBegan reports that the answer to the attempt began, if it did.
func (x *exchange) reportBegan(ctx context.Context, res *result) {
	if res.evidence.begun {
		_ = x.entry.inbox.Put(ctx, answerBegan{attempt: x.attempt})
	}
}

// agentCrashID identifies the end of the start of an agent that an attempt is sent
// to. The agent itself reports the crashes of its upstream.
func agentCrashID(a *attempt) poison.CrashID {
	return poison.NewCrashID(a.upstream.ID, int64(a.upstream.Incarnation))
}

// recordBegan records that an answer began, which shows that the agent has not crashed. The
// agent itself reports which requests its upstream has survived while they are answered.
func (r *router) recordBegan(a attempt) {
	r.evidence.Answered(r.entry.now(), agentCrashID(&a), a.sentAt)
}

// recordEvidence records what the end of an attempt says about the traits of its
// call. If the agent responded, it says whether its upstream may have crashed before
// the answer began, and which crash that is. Otherwise the agent itself was lost, and
// its upstream may have been lost with it.
func (r *router) recordEvidence(a attempt, res result) {
	now := r.entry.now()
	v := res.evidence
	if v.answered {
		r.evidence.Answered(now, agentCrashID(&a), a.sentAt)
	}
	if v.begun && v.success && res.complete {
		r.evidence.Survived(now, a.call.traits)
	}
	switch {
	case !res.end.Crash():
	case !v.answered:
		r.evidence.Lost(now, agentCrashID(&a), a.call.traits)
	case v.known:
		r.evidence.Lost(now, v.crash, a.call.traits)
	}
}

// decide returns how a call may run.
func (r *router) decide(c *call) poison.Decision { return r.evidence.Check(r.entry.now(), c.traits) }

// isSuspected reports whether a call may not be sent again after a loss. Otherwise
// it could crash one upstream after the other.
func (r *router) isSuspected(c *call) bool { return r.evidence.RunsAlone(r.decide(c), c.traits) }

// blockIfConvicted refuses a call that must not run any more. It returns false if
// the call may run.
func (r *router) blockIfConvicted(ctx context.Context, a attempt) bool {
	d := r.decide(a.call)
	if d.Verdict != poison.Blocked {
		return false
	}
	r.entry.recordBlocked(a.call, a.customer.Name, d.Trait)
	if a.mayHaveRun {
		r.refuse(ctx, a.call, outcomeUnknown(a.call, blockedDetail, http.StatusBadGateway))
		return true
	}
	r.refuse(ctx, a.call, blocked(a.call))
	return true
}

// moveQueued moves a waiting call to the queue that it belongs to since suspicion
// changed. It returns false if that is the one where it waits.
func (r *router) moveQueued(key queueKey, a attempt) bool {
	next := r.queueKeyOf(&a)
	if next == key {
		return false
	}
	r.queues.get(next).PutBack(queueItem(a))
	return true
}

// decide returns how a call with a key or token may run. Of the calls with a
// convicted trait, one may run now and then to find out whether it is still harmful.
func (r *onceRouter) decide(c *call) poison.Decision {
	now := r.entry.now()
	d := r.evidence.Check(now, c.traits)
	if d.Verdict == poison.Probe {
		r.evidence.ProbeSent(now, d.Trait)
	}
	return d
}

func (e *Entry) recordBlocked(c *call, customer fleet.Customer, t poison.Trait) {
	e.node.Record(timeline.Event{
		Kind: timeline.RequestBlocked, Request: c.id, Detail: string(customer) + " " + t.String(),
	})
}
