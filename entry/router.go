package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// event is an input of the router.
type event interface{ event() }

// arrival is a new call.
type arrival struct{ call *call }

// ended says how an attempt ended.
type ended struct {
	attempt attempt
	result  result
}

// loadRead carries the load that an agent reported while it answers.
type loadRead struct {
	id   fleet.InstanceID
	load routing.Load
}

func (arrival) event()  {}
func (ended) event()    {}
func (loadRead) event() {}

// attempt is one try of a call at one upstream. It moves between the router
// and a forwarder and belongs to one of them at a time.
type attempt struct {
	call     *call
	customer *config.Customer
	target   routing.Target
	upstream fleet.Instance
	link     *link
	meta     wire.Call
	tried    []fleet.InstanceID
	// failures counts the attempts that may have been run and failed,
	// placements all attempts that were not refused for lack of room.
	failures   int
	placements int
	// uncertain says that an earlier attempt may have been run, so that the
	// caller must not be told otherwise.
	uncertain bool
	// waitUntil is when the call stops waiting for room.
	waitUntil time.Time
}

// router owns the routing table, the waiting calls, the budgets and the
// suspects of an entry.
type router struct {
	entry   *Entry
	table   *routing.Table
	view    node.View
	lanes   lanes
	budgets *retry.Budgets
	guard   *retry.Guard
	links   *links
	// carried is the number of attempts at the forwarders.
	carried int
}

func newRouter(e *Entry) *router {
	return &router{
		entry:   e,
		table:   routing.New(e.settings.Self),
		lanes:   newLanes(e.settings),
		budgets: retry.NewBudgets(),
		guard:   retry.NewGuard(),
		links:   newLinks(e.settings.ConnectionAge),
	}
}

func (e *Entry) runRouter(ctx context.Context) error {
	r := newRouter(e)
	timer := time.NewTimer(waitTick)
	defer timer.Stop()
	armed := true
	for {
		select {
		case v := <-e.views.Out():
			r.update(ctx, v)
		case ev := <-e.inbox.Out():
			r.step(ctx, ev)
		case <-timer.C:
			armed = false
			r.expire(ctx)
			r.drain(ctx)
		case <-ctx.Done():
			return nil
		}
		if !armed && r.lanes.length() > 0 {
			timer.Reset(waitTick)
			armed = true
		}
	}
}

func (r *router) step(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case arrival:
		r.arrive(ctx, ev.call)
	case ended:
		r.end(ctx, ev)
		r.drain(ctx)
	case loadRead:
		r.table.Report(time.Now(), ev.id, ev.load)
	case question:
		r.answer(ctx, ev)
	}
}

// update takes in a new view of the fleet.
func (r *router) update(ctx context.Context, v node.View) {
	now := time.Now()
	r.view = v
	r.table.Update(v.Config, v.Members)
	for _, s := range v.Suspects {
		r.guard.ApplyReport(now, s.Fingerprint, s.Crashes, s.Last)
	}
	live := make(map[fleet.InstanceID]bool, len(v.Members))
	for _, m := range v.Members {
		live[m.ID] = true
	}
	customers := make(map[fleet.Customer]bool, len(v.Config.Customers))
	for i := range v.Config.Customers {
		customers[v.Config.Customers[i].Name] = true
	}
	r.links.retain(func(id fleet.InstanceID) bool { return live[id] })
	r.budgets.Retain(
		func(c fleet.Customer) bool { return customers[c] },
		func(id fleet.InstanceID) bool { return live[id] },
	)
	r.drain(ctx)
}

func (r *router) arrive(ctx context.Context, c *call) {
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
	if r.guard.Check(c.arrived, c.fingerprint) == retry.Blocked {
		r.block(ctx, c, customer)
		return
	}
	r.admit(ctx, r.newAttempt(c, customer, target))
}

func (r *router) newAttempt(c *call, customer *config.Customer, target routing.Target) attempt {
	return attempt{
		call:      c,
		customer:  customer,
		target:    target,
		waitUntil: c.arrived.Add(r.entry.settings.QueueWait),
		meta: wire.Call{
			Request:     c.id,
			Customer:    customer.Name,
			Priority:    customer.Priority,
			Service:     target.Service.Name,
			Entry:       r.entry.settings.Self.ID,
			Once:        isOnce(target.Service, c),
			Fingerprint: c.fingerprint,
		},
	}
}

// isOnce reports whether the service lists the call among those that may not
// be repeated.
func isOnce(s *config.Service, c *call) bool {
	for _, o := range s.Once {
		if o.Method == c.method && strings.HasPrefix(c.path, o.PathPrefix) {
			return true
		}
	}
	return false
}

// try sends a call to an upstream with room. It returns false if there is none.
func (r *router) try(ctx context.Context, a attempt) bool {
	if r.carried >= r.entry.settings.MaxCalls {
		return false
	}
	now := time.Now()
	// The target is resolved again, since the configuration may have changed
	// while the call waited.
	if t := routing.Resolve(r.view.Config, a.call.path, a.call.model); t.Service != nil {
		a.target = t
	}
	choice, ok := r.table.Pick(now, routing.Request{
		Service:   a.target.Service.Name,
		Roots:     a.target.Roots(r.view.Config),
		Prefix:    a.call.prefix,
		Tried:     a.tried,
		Exclusive: r.guard.Check(now, a.call.fingerprint) == retry.Suspected,
	}, rand.IntN)
	if !ok {
		return false
	}
	if p := a.target.ProfileOf(r.view.Config, choice.Root); p != nil {
		a.meta.Profile = p.Name
		a.meta.Root = choice.Root
	}
	r.send(ctx, now, a, choice.Instance)
	return true
}

// send hands an attempt to the forwarders. The caller has counted it in at the
// table and has checked that a forwarder is free.
func (r *router) send(ctx context.Context, now time.Time, a attempt, upstream fleet.Instance) {
	a.meta.Attempt++
	a.meta.Config = r.view.Config.Stamp
	a.upstream = upstream
	a.link = r.links.to(now, upstream)
	if err := r.entry.attempts.Put(ctx, a); err != nil {
		r.table.Done(upstream.ID)
		r.giveUp(ctx, a, "entry carries as many calls as it may", retryAfter)
		return
	}
	r.carried++
	r.record(timeline.RequestRouted, a, "")
}

// end takes in how an attempt ended and carries out what follows.
func (r *router) end(ctx context.Context, ev ended) {
	a, res := ev.attempt, ev.result
	r.carried--
	r.entry.metrics.attempt(res.end)
	// The agent's load counts this call, so it is taken in before the call is
	// counted out here.
	r.learn(time.Now(), a, res)
	r.table.Done(a.upstream.ID)
	if res.end != retry.Busy {
		a.placements++
	}
	if !res.end.NotRun() {
		a.uncertain = true
		a.failures++
	}
	if res.end.Failure() {
		a.tried = append(a.tried, a.upstream.ID)
	}
	action := retry.Decide(retry.Attempt{
		End:        res.end,
		Failures:   a.failures,
		Placements: a.placements,
		Once:       a.meta.Once,
		Started:    res.started,
	}, func() bool { return r.budgets.Spend(a.meta.Customer, a.upstream.ID) })
	r.recordEnd(a, res)
	r.follow(ctx, action, a, res)
}

func (r *router) follow(ctx context.Context, action retry.Action, a attempt, res result) {
	if action == retry.Finish {
		return
	}
	if action == retry.GiveUp {
		r.giveUp(ctx, a, res.detail, retryAfter)
		return
	}
	r.entry.metrics.retries.Inc()
	switch {
	case r.guard.Check(time.Now(), a.call.fingerprint) == retry.Blocked:
		r.block(ctx, a.call, a.customer)
	case action == retry.Resend && r.try(ctx, a):
	default:
		r.requeue(ctx, a)
	}
}

// learn updates what is known of the upstream and of the request.
func (r *router) learn(now time.Time, a attempt, res result) {
	id := a.upstream.ID
	if res.load != nil {
		r.table.Report(now, id, *res.load)
	}
	if res.started {
		r.table.Accepted(id)
	}
	switch {
	case res.end == retry.Answered && res.whole:
		r.table.Succeeded(id)
		if !res.failed {
			r.budgets.Succeeded(a.meta.Customer, id)
			if r.guard.Succeeded(now, a.call.fingerprint) {
				r.entry.node.ReportSuccess(a.call.fingerprint)
			}
		}
	case res.end == retry.Busy:
		r.table.Busy(now, id)
	case res.end == retry.Refused:
		r.table.Refused(now, id)
	case res.end.Failure():
		r.table.Failed(now, id)
	}
	if res.end.Crash() {
		r.guard.Crashed(now, a.call.fingerprint)
	}
	if res.end == retry.Stalled || res.end == retry.Mismatched {
		r.links.drop(id, a.link)
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

func (r *router) block(ctx context.Context, c *call, customer *config.Customer) {
	r.entry.node.Record(timeline.Event{
		Kind: timeline.RequestBlocked, Request: c.id, Detail: string(customer.Name) + " " + c.fingerprint,
	})
	r.refuse(ctx, c, blocked(c))
}

// giveUp tells the caller that no answer will come: that the request was not
// run only if no attempt may have been run.
func (r *router) giveUp(ctx context.Context, a attempt, detail string, after time.Duration) {
	switch {
	case !a.uncertain:
		p := notRun(a.call, detail)
		p.RetryAfter = after
		r.refuse(ctx, a.call, p)
	case a.call.ctx.Err() != nil:
		r.refuse(ctx, a.call, outcomeUnknown(a.call, detail, http.StatusGatewayTimeout))
	default:
		r.refuse(ctx, a.call, outcomeUnknown(a.call, detail, http.StatusBadGateway))
	}
}

// refuse answers a call with a problem. The stream of such a call is empty, so
// the part fits without waiting.
func (r *router) refuse(ctx context.Context, c *call, p *wire.Problem) {
	r.entry.metrics.refused(p.Type)
	h, body := p.Encode()
	_ = c.stream.Put(ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
