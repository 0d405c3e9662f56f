package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
)

// streamCall returns a call to the route for streams.
func streamCall() Call {
	return Call{ID: "id", Host: "h", Path: "/stream/1", Key: "key", TimeBudget: 6 * time.Second, Model: model, PromptTokens: 100, MaxAnswerTokens: 50}
}

// explain explains a call to a route with one service.
func (h *harness) explain(q Query) ServiceExplanation {
	h.t.Helper()
	e := h.core.Explain(h.now, q)
	require.Nil(h.t, e.Refusal)
	require.Len(h.t, e.Services, 1)
	return e.Services[0]
}

// Guards against an upstream whose state is wrong or has no reason, and against an order in
// which the ones that matter come last.
func TestExplanationNamesTheStateOfEachUpstream(t *testing.T) {
	south, draining, out := replica("south", 1), replica("draining", 1), replica("out", 1)
	south.Domain, draining.Draining, out.Domain = "south-a", true, "gone"
	empty := replica("empty", 1)
	empty.Copies = nil
	v := view(replica("free", 1), replica("owned", 1), replica("slots", 1), replica("prompts", 1), replica("failed", 1),
		replica("declined", 1), replica("old", 1), south, draining, out, empty)
	v.OutOfService["gone"] = true
	h := newHarness(t, v)
	u := h.core.upstreams
	u["slots"].inFlight = 4
	u["prompts"].promptTokens = 1_000_000
	u["failed"].recordFailure(h.now)
	h.core.declined.observe(h.now, u["declined"].startKey(), Observation{RetryAfter: time.Second})
	u["old"].notice = receivedNotice{Notice: Notice{Address: "old", StartTime: 2}, receivedAt: h.now}
	h.core.services[engine].share = peering.Share{High: 1, Contended: true}
	h.core.services[engine].shareAt = h.now
	u["owned"].ownSlots, u["owned"].inFlight = 1, 1
	x := h.explain(Query{Call: streamCall(), Limit: 20})
	require.Equal(t, Sent, x.Decision)
	require.Equal(t, fleet.InstanceID("free"), x.Upstream)
	type state struct {
		state  UpstreamState
		reason string
	}
	got := map[fleet.InstanceID]state{}
	for _, u := range x.Upstreams {
		got[u.Upstream] = state{u.State, u.Reason}
	}
	require.Equal(t, map[fleet.InstanceID]state{
		"free":     {Picked, ""},
		"south":    {Available, ""},
		"owned":    {Full, reasonOwnSlots},
		"slots":    {Full, reasonSlots},
		"prompts":  {Full, reasonPrompts},
		"failed":   {Avoided, reasonFailed},
		"declined": {Unacceptable, reasonDeclined},
		"old":      {Unacceptable, reasonNoWeights},
		"draining": {Unacceptable, reasonDraining},
		"out":      {Unacceptable, reasonOutOfService},
		"empty":    {Unacceptable, reasonNoWeights},
	}, got)
	require.True(t, slices.IsSortedFunc(x.Upstreams, func(a, b UpstreamExplanation) int { return cmp.Compare(a.State, b.State) }))
	require.Equal(t, minAvoidance, x.Upstreams[slices.IndexFunc(x.Upstreams, func(u UpstreamExplanation) bool { return u.State == Avoided })].AvoidedFor)
	require.Contains(t, x.Counts, StateCount{State: Unacceptable, Reason: reasonNoWeights, Count: 2})
}

// Guards against a limit that is not named, and against a region that is not allowed.
func TestExplanationNamesLimits(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a"), deskUpstream("b", "south-a")))
	h.core.services[desk].coldBudget = 1
	h.core.upstreams["a"].coldLimit = 0
	h.core.upstreams["b"].limit = &limitPart{}
	h.core.upstreams["b"].coldLimit = 1
	call := streamCall()
	call.Path = "/once/1"
	x := h.explain(Query{Call: call, Limit: 2})
	require.Equal(t, Waits, x.Decision)
	require.Equal(t, reasonNoCapacity, x.Reason)
	require.Equal(t, reasonColdLimit, x.Upstreams[0].Reason)
	require.Equal(t, reasonStatedLimit, x.Upstreams[1].Reason)
	call.Path = "/home/1"
	x = h.explain(Query{Call: call, Limit: 2})
	require.Equal(t, []StateCount{{Full, reasonStatedLimit, 1}, {Unacceptable, reasonRegion, 1}}, x.Counts)
}

// Guards against a refusal that is not explained, against a customer that only its key can
// name, and against a key that is part of the explanation.
func TestRefusalsAreExplained(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	call := streamCall()
	call.Key = "secret"
	require.Equal(t, NoKey, h.core.Explain(h.now, Query{Call: call}).Refusal.Verdict)
	e := h.core.Explain(h.now, Query{Call: call, Customer: "customer", Limit: 1})
	require.Nil(t, e.Refusal)
	require.Equal(t, fleet.Customer("customer"), e.Customer)
	require.NotContains(t, fmt.Sprintf("%+v", e), "secret")
	require.Equal(t, NoKey, h.core.Explain(h.now, Query{Call: streamCall(), Customer: "nobody"}).Refusal.Verdict)
	call.Path = "/nowhere"
	require.Equal(t, NoRoute, h.core.Explain(h.now, Query{Call: call}).Refusal.Verdict)
	require.Equal(t, NotRun, New(settings()).Explain(h.now, Query{Call: call}).Refusal.Verdict)
	ghost := *h.core.view.Config
	ghost.Routes = append(ghost.Routes, published.Route{Name: "ghost", Host: "h", Prefix: "/ghost/", Targets: []published.Target{{Service: "ghost", Weight: 1}}})
	ghost.Index()
	h.core.view.Config = &ghost
	call = streamCall()
	call.Path = "/ghost/1"
	require.Equal(t, unservableReason, h.explain(Query{Call: call}).Reason)
	require.NotContains(t, h.core.services, fleet.Service("ghost"))
	call = streamCall()
	call.Traits = []poison.Trait{harmful}
	h.core.ApplyReports(h.now, reports(harmful, poison.BlockAfter))
	require.Equal(t, blockedReason, h.core.Explain(h.now, Query{Call: call}).Refusal.Reason)
}

// Guards against parts of a cost whose sum is another one, and against an explanation as
// long as the list of upstreams.
func TestExplanationIsBounded(t *testing.T) {
	const engines, limit = 4300, 10
	c, _ := benchmarkCore(engines)
	const last = fleet.InstanceID("engine-4299")
	e := c.Explain(start, Query{Call: streamCall(), Limit: limit, Upstream: last})
	x := e.Services[0]
	require.Len(t, x.Upstreams, limit+1)
	require.Equal(t, engines-limit-1, x.Omitted)
	require.Equal(t, last, x.Upstreams[limit].Upstream)
	total := 0
	for _, n := range x.Counts {
		total += n.Count
	}
	require.Equal(t, engines, total)
	s := c.services[engine]
	r := c.describe(start, streamCall(), c.view.Config.Route("h", "/stream/1"), nil)
	for _, u := range x.Upstreams {
		require.InDelta(t, c.cost(start, s, r, c.upstreams[u.Upstream]), u.Cost.Total(), 1e-9)
	}
	require.Positive(t, x.Upstreams[limit].Cost.Ownership)
}

// coreOperations are operations on a core, chosen at random, whose results can be compared
// with those of another core.
type coreOperations struct {
	now    time.Time
	next   Ticket
	random *rapid.T
}

// call draws a call.
func (o *coreOperations) call() Call {
	return Call{
		ID: "id", Host: "h", Key: "key", Model: model,
		Path:            rapid.SampledFrom([]string{"/stream/1", "/once/1", "/read/1", "/home/1"}).Draw(o.random, "path"),
		TimeBudget:      time.Duration(rapid.IntRange(1, 6).Draw(o.random, "budget")) * time.Second,
		PromptTokens:    rapid.SampledFrom([]int{10, 300, 2000}).Draw(o.random, "prompt"),
		MaxAnswerTokens: 50,
		Traits:          []poison.Trait{rapid.SampledFrom([]poison.Trait{first, harmful}).Draw(o.random, "trait")},
	}
}

// draw returns the next operation other than an arrival, which does the same on each core.
func (o *coreOperations) draw() func(c *Core) []Action {
	now, ticket := o.now, Ticket(0)
	if o.next > 0 {
		ticket = Ticket(rapid.IntRange(1, int(o.next)).Draw(o.random, "ticket"))
	}
	switch rapid.IntRange(0, 5).Draw(o.random, "operation") {
	case 0, 1:
		end := rapid.SampledFrom([]retry.End{retry.Answered, retry.Lost, retry.Busy, retry.Refused, retry.Unreachable}).Draw(o.random, "end")
		return func(c *Core) []Action {
			return c.AttemptEnded(now, ticket, AttemptResult{End: end, FirstByte: time.Millisecond, Version: 1})
		}
	case 2:
		requests := rapid.IntRange(0, 6).Draw(o.random, "requests")
		contended := rapid.Bool().Draw(o.random, "contended")
		return func(c *Core) []Action {
			c.SetPeerLoads(now, map[fleet.InstanceID]peering.Load{"a": {Requests: requests, PromptTokens: 100 * requests}},
				map[fleet.Service]peering.Share{engine: {High: 0.5, KnownHigh: 0.5, Contended: contended}, desk: {High: 1, KnownHigh: 1}})
			return nil
		}
	case 3:
		perSecond := rapid.IntRange(1, 5).Draw(o.random, "limit")
		return func(c *Core) []Action {
			c.Observe(now, ticket, Observation{Limit: ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: float64(perSecond)}})
			return nil
		}
	case 4:
		return func(c *Core) []Action { return c.ResponseStarted(now, ticket) }
	}
	return func(c *Core) []Action { return c.Cancel(now, ticket) }
}

// inOrder returns actions in the order of their tickets. Services are drained in no order.
func inOrder(actions []Action) []string {
	var out []string
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%T %+v", a, a))
	}
	slices.Sort(out)
	return out
}

// Guards against an explanation that changes a later decision, by a budget, a count, a queue
// or a send that it leaves behind, and against one that differs from the next decision.
func TestExplanationHasNoEffectAndIsTrue(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		o := &coreOperations{now: start, random: random}
		v := view(replica("a", 1), replica("b", 1), deskUpstream("c", "north-a"), deskUpstream("d", "south-a"))
		v.Config.Services[desk].ColdPerSecond = 2
		for _, u := range v.Upstreams {
			u.Slots = 1
		}
		// With a small reserve, each first attempt counts in the retry budget.
		limits := settings()
		limits.Retries.Reserve = 1
		plain, explained := New(limits), New(limits)
		both := func(operation func(c *Core) []Action) []Action {
			actions := operation(explained)
			require.Equal(random, inOrder(operation(plain)), inOrder(actions))
			return actions
		}
		both(func(c *Core) []Action { return c.Update(start, v) })
		for range rapid.IntRange(1, 100).Draw(random, "operations") {
			o.now = o.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 50, 400}).Draw(random, "ms")) * time.Millisecond)
			both(func(c *Core) []Action { return c.Tick(o.now) })
			for range rapid.IntRange(0, 3).Draw(random, "queries") {
				explained.Explain(o.now, Query{Call: o.call(), Limit: 5})
			}
			if rapid.Bool().Draw(random, "arrives") {
				o.next++
				call := o.call()
				e := explained.Explain(o.now, Query{Call: call, Limit: 5})
				actions := both(func(c *Core) []Action { return c.Arrive(o.now, o.next, call) })
				requireExplained(random, o.next, e, actions)
			} else {
				both(o.draw())
			}
			require.Equal(random, plain.Demands(o.now), explained.Demands(o.now))
			require.Equal(random, plain.Loads(o.now), explained.Loads(o.now))
			require.Equal(random, plain.Waiting(), explained.Waiting())
			require.Equal(random, plain.timeBudgets, explained.timeBudgets)
			require.Len(random, explained.services, len(plain.services))
		}
	})
}

// requireExplained fails if what became of a request is not what an explanation says.
func requireExplained(t *rapid.T, ticket Ticket, e Explanation, actions []Action) {
	var own Action
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if a.Ticket == ticket {
				own = a
			}
		case Refuse:
			if a.Ticket == ticket {
				own = a
			}
		}
	}
	if e.Refusal != nil {
		require.Equal(t, e.Refusal.Reason, own.(Refuse).Reason)
		return
	}
	x := e.Services[0]
	switch {
	case x.Decision == Sent:
		require.Equal(t, x.Upstream, own.(Send).Upstream)
	case x.Decision == Rejected:
		refused := own.(Refuse)
		require.Equal(t, x.Reason, refused.Reason)
		require.Equal(t, x.RetryAfter, refused.RetryAfter)
	case x.Reason == reasonNoCapacity:
		require.Nil(t, own)
	}
}

// Guards against a request that waits behind others and is said to be sent.
func TestExplanationOfAWaitingRequest(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.upstreams["a"].inFlight = 4
	h.arrive("/stream/1")
	x := h.explain(Query{Call: streamCall(), Limit: 1})
	require.Equal(t, Waits, x.Decision)
	require.Equal(t, reasonOthersAhead, x.Reason)
	require.Equal(t, 1, x.Ahead)
	require.Positive(t, x.MaxWait)
	h.now = h.now.Add(stallTime)
	require.Equal(t, stalledReason, h.explain(Query{Call: streamCall(), Limit: 1}).Reason)
	h.core.Update(h.now, view())
	require.Equal(t, unservableReason, h.explain(Query{Call: streamCall(), Limit: 1}).Reason)
}

// BenchmarkExplain measures one explanation.
func BenchmarkExplain(b *testing.B) {
	c, _ := benchmarkCore(4300)
	for b.Loop() {
		c.Explain(start, Query{Call: streamCall(), Limit: 20})
	}
}

// Guards against a request that is said to wait although it would be rejected: too many
// others wait.
func TestExplanationOfAFullQueue(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.upstreams["a"].inFlight = 4
	for range 20 {
		h.arrive("/stream/1")
	}
	s := h.core.services[engine]
	s.newProgress.busySince, s.newProgress.lastBusy, s.idleSince = h.now.Add(-time.Second), h.now, h.now
	x := h.explain(Query{Call: streamCall(), Limit: 1})
	require.Equal(t, Rejected, x.Decision)
	require.Equal(t, tooManyWaitReason, x.Reason)
	require.Positive(t, x.RetryAfter)
	s.newProgress.busySince = h.now
	for range maxQueuedPerCustomer {
		h.arrive("/stream/1")
	}
	x = h.explain(Query{Call: streamCall(), Limit: 1})
	require.Equal(t, Rejected, x.Decision)
	require.Equal(t, string(admission.CustomerFull), x.Reason)
}
