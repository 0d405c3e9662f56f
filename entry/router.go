package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// event is an input of the router, sent through the entry's inbox.
type event interface{ event() }

// arrival is a new call.
type arrival struct{ call *call }

// attemptEnded reports how an attempt ended.
type attemptEnded struct {
	attempt attempt
	result  result
}

// loadReported carries the load in the head of an agent's response while the rest
// of the response is still being received.
type loadReported struct {
	id   fleet.InstanceID
	load routing.Load
}

func (arrival) event()      {}
func (attemptEnded) event() {}
func (loadReported) event() {}

// attempt is a call with the state of its current attempt at an upstream. It is
// passed between the router and the forwarders, and only one of them owns it at a
// time.
type attempt struct {
	call     *call
	customer *config.Customer
	// ctx is the context of the current attempt; end cancels it for a cause.
	ctx      context.Context
	end      context.CancelCauseFunc
	target   routing.Target
	upstream fleet.Instance
	pool     *connPool
	meta     wire.Call
	// sentAt is when the current attempt was sent, by the clock of the evidence, and
	// startedAt the same by the clock of the queue.
	sentAt    time.Time
	startedAt time.Time
	tried     []fleet.InstanceID
	// failures counts the attempts that may have been run and failed, placements
	// all attempts that were not refused for lack of capacity.
	failures   int
	placements int
	// mayHaveRun is true if an attempt of the call may have been run. The caller
	// must then not be told that the request was not run.
	mayHaveRun bool
	// hedge is set if the attempt was sent beside a silent one.
	hedge bool
	// queueDeadline is the time at which the call stops waiting for capacity. The
	// time of its attempts does not count.
	queueDeadline time.Time
}

// attemptEnd is how an attempt ended at an upstream.
type attemptEnd struct {
	end      retry.End
	upstream fleet.InstanceID
}

// count adds the end of an attempt to the history of the call.
func (a *attempt) count(e attemptEnd) {
	if e.end != retry.Busy {
		a.placements++
	}
	if !e.end.NotRun() {
		a.mayHaveRun = true
		a.failures++
	}
	if e.end.Failure() {
		a.tried = append(slices.Clip(a.tried), e.upstream)
	}
}

// router is the state of the router duty, the goroutine that owns the routing
// table, the waiting calls, the retry budgets and the evidence of an entry.
type router struct {
	entry   *Entry
	table   *routing.Table
	view    node.View
	queues  callQueues
	budgets *retry.Budgets
	pools   *connPools
	// evidence is about requests that crash upstreams.
	evidence *node.Evidence
	// inFlight is the number of attempts that the forwarders are handling.
	inFlight int
	// answered holds how long answers take.
	answered serviceTimes
	silent   silentCalls
}

func newRouter(e *Entry) *router {
	return &router{
		entry:    e,
		table:    routing.New(e.settings.Self),
		queues:   newCallQueues(e.settings),
		budgets:  retry.NewBudgets(),
		pools:    newConnPools(e.settings.ConnectionAge),
		evidence: node.NewEvidence(e.node),
		answered: serviceTimes{},
		silent:   silentCalls{},
	}
}

func (e *Entry) runRouter(ctx context.Context) error {
	r := newRouter(e)
	timer := time.NewTimer(queueInterval)
	defer timer.Stop()
	armed := true
	for {
		select {
		case v := <-e.views.Out():
			r.applyView(ctx, v)
		case ev := <-e.inbox.Out():
			r.handleEvent(ctx, ev)
		case <-timer.C:
			armed = false
			r.expire(ctx)
			r.drain(ctx)
		case <-ctx.Done():
			return nil
		}
		r.evidence.Share(e.now())
		if !armed && (r.queues.length() > 0 || len(r.silent) > 0) {
			timer.Reset(queueInterval)
			armed = true
		}
	}
}

func (r *router) handleEvent(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case arrival:
		r.handleCall(ctx, ev.call)
	case attemptEnded:
		r.handleAttemptEnd(ctx, ev)
		r.drain(ctx)
	case answerBegan:
		r.recordBegan(ev.attempt)
	case attemptSilent:
		r.silent.silence(&ev.attempt)
		r.hedgeSilent(ctx)
	case responseArrived:
		_ = ev.reply.Put(ctx, r.silent.pass(&ev.attempt))
	case loadReported:
		r.table.Report(time.Now(), ev.id, ev.load)
	case statusQuery:
		r.replyStatus(ctx, ev)
	}
}

// applyView applies a new view of the fleet.
func (r *router) applyView(ctx context.Context, v node.View) {
	r.view = v
	r.table.Update(v.Config, v.Members)
	r.evidence.Apply(r.entry.now(), v)
	live := make(map[fleet.InstanceID]bool, len(v.Members))
	for _, m := range v.Members {
		live[m.ID] = true
	}
	customers := make(map[fleet.Customer]bool, len(v.Config.Customers))
	for i := range v.Config.Customers {
		customers[v.Config.Customers[i].Name] = true
	}
	r.pools.retain(func(id fleet.InstanceID) bool { return live[id] })
	r.budgets.Retain(
		func(c fleet.Customer) bool { return customers[c] },
		func(id fleet.InstanceID) bool { return live[id] },
	)
	r.drain(ctx)
}

// handleCall admits a new call, or refuses it if it is not valid or blocked.
func (r *router) handleCall(ctx context.Context, c *call) {
	if r.view.Config == nil {
		r.refuse(ctx, c, notRun(c, "no configuration adopted yet"))
		return
	}
	customer := r.view.Config.CustomerByKey(c.keySHA256)
	if customer == nil {
		r.refuse(ctx, c, unauthorized(c))
		return
	}
	target := routing.Resolve(r.view.Config, c.path, c.model)
	if target.Service == nil {
		r.refuse(ctx, c, invalid(http.StatusNotFound, "no profile, service or path matches"))
		return
	}
	a := r.newAttempt(c, customer, target)
	if !r.blockIfConvicted(ctx, a) && !r.refuseTooLate(ctx, a) {
		r.admit(ctx, a)
	}
}

func (r *router) newAttempt(c *call, customer *config.Customer, target routing.Target) attempt {
	return attempt{
		call:          c,
		customer:      customer,
		target:        target,
		queueDeadline: c.arrivedAt.Add(r.entry.settings.QueueWait),
		meta: wire.Call{
			Request:  c.id,
			Customer: customer.Name,
			Priority: customer.Priority,
			Service:  target.Service.Name,
			Entry:    r.entry.settings.Self.ID,
			Once:     isOnce(target.Service, c),
			Traits:   c.traits,
		},
	}
}

// isOnce reports whether the service lists the call among those that must not be
// repeated.
func isOnce(s *config.Service, c *call) bool {
	for _, o := range s.Once {
		if o.Method == c.method && strings.HasPrefix(c.path, o.PathPrefix) {
			return true
		}
	}
	return false
}

// trySend sends a call to an upstream with capacity. It returns false if no
// upstream has capacity, if no forwarder is free or if the call must not run.
func (r *router) trySend(ctx context.Context, a attempt) bool {
	if r.inFlight >= r.entry.settings.MaxCalls {
		return false
	}
	now := time.Now()
	choice, ok := r.pick(now, &a, rand.IntN)
	if !ok {
		return false
	}
	if a, ok = r.sendTo(ctx, now, a, choice); !ok {
		r.giveUp(ctx, a, "entry carries as many calls as it may", retryAfter)
	}
	return true
}

// pick chooses an upstream with capacity for a call and counts the call there. It
// returns false if there is none or if the call must not run.
func (r *router) pick(now time.Time, a *attempt, random routing.Random) (routing.Choice, bool) {
	r.resolveAgain(a)
	d := r.decide(a.call)
	if d.Verdict == poison.Blocked {
		return routing.Choice{}, false
	}
	choice, ok := r.table.Pick(now, routing.Request{
		Service:   a.target.Service.Name,
		Roots:     a.target.Roots(r.view.Config),
		Prefix:    a.call.prefix,
		Tried:     a.tried,
		Exclusive: r.evidence.RunsAlone(d, a.call.traits),
	}, random)
	if ok && d.Verdict == poison.Probe {
		r.evidence.ProbeSent(r.entry.now(), d.Trait)
	}
	return choice, ok
}

// resolveAgain updates the target of a call, since the configuration may have changed
// while the call waited.
func (r *router) resolveAgain(a *attempt) {
	if t := routing.Resolve(r.view.Config, a.call.path, a.call.model); t.Service != nil {
		a.target = t
	}
}

// sendTo sends a call to the upstream that was chosen for it, at which it was counted. It
// returns the attempt, or false if the forwarders take no more.
func (r *router) sendTo(ctx context.Context, now time.Time, a attempt, choice routing.Choice) (attempt, bool) {
	if p := a.target.ProfileOf(r.view.Config, choice.Root); p != nil {
		a.meta.Profile = p.Name
		a.meta.Root = choice.Root
	}
	upstream := choice.Instance
	a.meta.Attempt++
	a.meta.Config = r.view.Config.Stamp
	a.upstream = upstream
	a.sentAt, a.startedAt = r.entry.now(), now
	a.pool = r.pools.get(now, upstream)
	a.ctx, a.end = context.WithCancelCause(a.call.ctx)
	if err := r.entry.attempts.Put(ctx, a); err != nil {
		r.table.Done(upstream.ID)
		return a, false
	}
	r.inFlight++
	r.record(timeline.RequestRouted, a, "")
	return a, true
}

// handleAttemptEnd records how an attempt ended and decides what follows.
func (r *router) handleAttemptEnd(ctx context.Context, ev attemptEnded) {
	a, res := ev.attempt, ev.result
	a.end(nil)
	now := time.Now()
	a.queueDeadline = a.queueDeadline.Add(now.Sub(a.startedAt))
	r.inFlight--
	r.entry.metrics.recordAttempt(res.end)
	// The load that the agent reported includes this call, so it is recorded
	// before the call is removed from the table.
	r.recordResult(now, a, res)
	r.table.Done(a.upstream.ID)
	r.recordEnd(a, res)
	a.count(attemptEnd{res.end, a.upstream.ID})
	if !r.silent.ended(now, &a, res.end) {
		return
	}
	action := retry.Decide(retry.Attempt{
		End:        res.end,
		Failures:   a.failures,
		Placements: a.placements,
		Once:       a.meta.Once || r.isSuspected(a.call),
		Started:    res.started,
	}, func() bool { return r.budgets.Spend(a.meta.Customer, a.upstream.ID) })
	r.applyAction(ctx, action, a, res)
}

// applyAction ends a call after an attempt, or sends or queues it again.
func (r *router) applyAction(ctx context.Context, action retry.Action, a attempt, res result) {
	if action == retry.Finish {
		return
	}
	if action == retry.GiveUp {
		r.giveUp(ctx, a, res.detail, retryAfter)
		return
	}
	r.entry.metrics.retries.Inc()
	switch {
	case r.blockIfConvicted(ctx, a) || r.refuseTooLate(ctx, a):
	case action == retry.Resend && r.trySend(ctx, a):
	default:
		r.requeue(ctx, a)
	}
}

// recordResult updates the state of the upstream, the retry budgets and the
// evidence after an attempt.
func (r *router) recordResult(now time.Time, a attempt, res result) {
	id := a.upstream.ID
	if res.load != nil {
		r.table.Report(now, id, *res.load)
	}
	if res.started {
		r.table.Accepted(id)
	}
	switch {
	case res.end == retry.Answered && res.complete:
		r.table.Succeeded(id)
		r.answered.record(a.target.Service.Name, now.Sub(a.startedAt))
		if !res.serverError {
			r.budgets.Succeeded(a.meta.Customer, id)
		}
	case res.end == retry.Busy:
		r.table.Busy(now, id)
	case res.end == retry.Refused:
		r.table.Refused(now, id)
	case res.end.Failure():
		r.table.Failed(now, id)
	}
	r.recordEvidence(a, res)
	if res.end == retry.Stalled || res.end == retry.Mismatched {
		r.pools.discard(id, a.pool)
	}
}

func (r *router) recordEnd(a attempt, res result) {
	switch {
	case res.started:
		r.record(timeline.RequestRan, a, res.detail)
	case res.end.NotRun():
		r.record(timeline.RequestRefused, a, res.detail)
	default:
		r.record(timeline.RequestUnknown, a, res.detail)
	}
}

func (r *router) record(kind timeline.Kind, a attempt, detail string) {
	r.entry.node.Record(timeline.Event{
		Kind: kind, Request: a.call.id, Profile: a.meta.Profile,
		Peer: a.upstream.ID, Detail: detail,
	})
}

// giveUp refuses a call for which no response from an upstream will come. The
// problem states that the request was not run only if no attempt may have been
// run.
func (r *router) giveUp(ctx context.Context, a attempt, detail string, after time.Duration) {
	switch {
	case !a.mayHaveRun:
		p := notRun(a.call, detail)
		p.RetryAfter = after
		r.refuse(ctx, a.call, p)
	case a.call.ctx.Err() != nil:
		r.refuse(ctx, a.call, outcomeUnknown(a.call, detail, http.StatusGatewayTimeout))
	default:
		r.refuse(ctx, a.call, outcomeUnknown(a.call, detail, http.StatusBadGateway))
	}
}

// refuse responds to a call with a problem. The stream of such a call is empty, so
// the put does not block.
func (r *router) refuse(ctx context.Context, c *call, p *wire.Problem) {
	r.entry.metrics.recordProblem(p.Type)
	h, body := p.Encode()
	_ = c.stream.Put(ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
