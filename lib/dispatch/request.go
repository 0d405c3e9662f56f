package dispatch

import (
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
)

// request is the state of a call from its arrival to its end.
type request struct {
	Call
	ticket   Ticket
	route    *published.Route
	service  fleet.Service
	customer *published.Customer
	arrived  time.Time
	// deadline is when the caller's time budget or the route's timeout ends,
	// whichever is earlier.
	deadline time.Time
	// returning is set if the caller appears to retry a rejected request.
	returning bool
	// ranked is set if the service admits requests by rank. place is then the place of the
	// request in the service's order, from 0, routePlace that of its route's rank, and turn
	// orders the waiting requests.
	ranked                  bool
	place, routePlace, turn int
	// starved is set if the request goes first because its place got too small a share.
	starved bool
	// attempts counts all sends, possibleRuns those that the upstream may have
	// run.
	attempts     int
	possibleRuns int
	// failedUpstreams holds the upstreams that failed this request. It is not sent
	// to them again, with the exception of silent ones that have gone on.
	failedUpstreams []failedUpstream
	// version is the version of the weights that began the response; 0 if the
	// caller has received nothing yet.
	version int64
	// attempt is the current attempt; its upstream is nil while the request is queued.
	attempt
	// silence describes the silence of the current attempt; nil while there is none.
	silence *Silence
	// hedge is the attempt beside the silent one; nil if there is none. hedges counts them,
	// and refusals holds those that an upstream refused.
	hedge    *attempt
	hedges   int
	refusals []refusal
	// begun is set once the answer began, at any upstream, and survived once an upstream
	// survived the request. lost is set once an upstream was lost with it, and suspected once
	// that happened again, or while its traits were under suspicion.
	begun, survived, lost, suspected bool
	// clear is the revision of the evidence with which no trait of the request was under
	// suspicion; 0 if there is none. Prompts may have thousands of traits, and waiting
	// requests are looked at often.
	clear uint64
	// suspect is the suspected trait whose upstream the request may go to; 0 if it
	// may go to any. It is constant while the request is in one queue.
	suspect poison.Trait
	// interrupted is set once the attempt was interrupted at the end of a planned stop.
	interrupted bool
}

// attempt is the state of one attempt of a request.
type attempt struct {
	// upstream runs the attempt; nil if it has ended.
	upstream *upstream
	number   int
	// unreadTokens is the length of the prompt until the upstream begins to respond, then 0.
	unreadTokens int
	// heardAt is when the upstream last responded to the attempt.
	heardAt time.Time
	// trial is set if the attempt tries out an upstream that was silent.
	trial bool
	// sentTo and sentAt are the start of the upstream and the time of the send. answering is
	// set once the answer began.
	sentTo    poison.CrashID
	sentAt    time.Time
	answering bool
	// statedSlowdown is the slowdown that the upstream stated; 0 if it stated none.
	statedSlowdown float64
}

// attemptNumber returns the attempt of a request with a number, or the current one for 0; nil
// if it has ended.
func (r *request) attemptNumber(n int) *attempt {
	switch {
	case r.hedge != nil && n == r.hedge.number:
		return r.hedge
	case r.upstream != nil && (n == 0 || n == r.number):
		return &r.attempt
	default:
		return nil
	}
}

// releasePrompt removes the prompt from the upstream's unread prompts. Only the
// first call for an attempt has an effect.
func (a *attempt) releasePrompt() {
	a.upstream.promptTokens -= a.unreadTokens
	a.unreadTokens = 0
}

// release ends the part of an attempt that counts at its upstream.
func (a *attempt) release() {
	a.releasePrompt()
	a.upstream.inFlight--
	if a.trial {
		a.trial, a.upstream.trial = false, false
	}
	a.upstream = nil
}

// failedUpstream is an upstream that failed a request. silentSince is set if it was silent:
// it counts no more once it has responded to any request since.
type failedUpstream struct {
	id          fleet.InstanceID
	silentSince time.Time
}

// refusal is the refusal of a hedge.
type refusal struct {
	id fleet.InstanceID
	at time.Time
}

func (c *Core) newRequest(now time.Time, t Ticket, call Call, route *published.Route, customer *published.Customer) *request {
	r := c.describe(now, call, route, customer)
	r.ticket = t
	r.service = c.selectService(route)
	c.timeBudgets[route.Name] = max(c.timeBudgets[route.Name], call.timeBudget())
	return r
}

// timeBudget returns how long the caller waits for the response, as far as is known.
func (c *Call) timeBudget() time.Duration {
	if c.TimeBudget <= 0 {
		return defaultTimeBudget
	}
	return c.TimeBudget
}

// describe returns the request of a call that arrives now, without a ticket and a service.
func (c *Core) describe(now time.Time, call Call, route *published.Route, customer *published.Customer) *request {
	r := &request{Call: call, route: route, customer: customer, arrived: now}
	timeBudget := call.timeBudget()
	timeout := timeBudget
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	r.deadline = now.Add(timeout)
	longest := max(c.timeBudgets[route.Name], timeBudget)
	r.returning = timeBudget < time.Duration(returningThreshold*float64(longest))
	return r
}

// returningThreshold is the fraction of a route's longest time budget below
// which a request is taken for the retry of a rejected one.
const returningThreshold = 0.8

// regionKey identifies the set of regions that may serve the request.
func (r *request) regionKey() string {
	var b strings.Builder
	for _, region := range r.route.Regions {
		b.WriteString(string(region) + ",")
	}
	if r.customer != nil && len(r.customer.Regions) > 0 {
		b.WriteByte(';')
		for _, region := range r.customer.Regions {
			b.WriteString(string(region) + ",")
		}
	}
	return b.String()
}

// selectService picks one of the route's services at random by weight. It
// returns "" if their weights sum to 0.
func (c *Core) selectService(route *published.Route) fleet.Service {
	total := 0
	for _, t := range route.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := c.settings.Random(total)
	for _, t := range route.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}

func (r *request) customerName() fleet.Customer {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// rank returns the customer's rank if it has one, otherwise the route's.
func (r *request) rank() int {
	if r.customer != nil && r.customer.HasRank {
		return r.customer.Rank
	}
	return r.route.Rank
}
