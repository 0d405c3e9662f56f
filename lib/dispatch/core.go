package dispatch

import (
	"maps"
	"strings"
	"time"

	"rattanspur.example/lib/admission"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

// Settings are what a core knows from its process.
type Settings struct {
	Region fleet.Region
	// Regions gives the region of each failure domain.
	Regions map[fleet.FailureDomain]fleet.Region
	Retries retry.WindowLimits
	// VersionWithin is how long after its publication older weights may begin
	// requests.
	VersionWithin time.Duration
	// ColdOverrun and ColdSlack widen the published rate of a cold upstream.
	ColdOverrun float64
	ColdSlack   float64
	// Random returns a number from 0 to n-1.
	Random func(n int) int
}

const (
	// defaultPatience is assumed of callers that do not say how long they wait.
	defaultPatience = 10 * time.Second
	// versionMargin is how long before their time older weights begin no more
	// requests: their time counts from the acknowledgement, which is older than
	// the own knowledge of it. A request is taken to begin within beginFactor
	// times the mean time to the first token.
	versionMargin = 700 * time.Millisecond
	beginFactor   = 2.5
	// leastProcesses is the number of entries that budgets are divided among
	// until more are known.
	leastProcesses = 4
	// queueTotal and queueCustomer bound the waiting requests of a service.
	queueTotal    = 256
	queueCustomer = 128
)

// request is a call that has not ended.
type request struct {
	Call
	ticket   Ticket
	route    *published.Route
	service  fleet.Service
	customer *published.Customer
	arrived  time.Time
	// deadline is when the caller's patience or the route's time ends.
	deadline time.Time
	// returning says that the caller tried before.
	returning bool
	// attempts counts the sends, ran those that may have run.
	attempts int
	ran      int
	tried    []fleet.InstanceID
	// version is that of the weights which began the answer; 0 if none did.
	version int64
	at      *upstream
	// reading says that the upstream has not begun to answer.
	reading bool
}

// lane is a queue of requests that wait for the same upstreams.
type lane = admission.Queue[*request]

// lanes are queues by the regions that may serve their requests, so that
// requests bound to a full region hold up no others.
type lanes map[string]*lane

// length returns the number of requests that wait.
func (l lanes) length() int {
	n := 0
	for _, q := range l {
		n += q.Len()
	}
	return n
}

// service holds the upstreams and the waiting requests of one service.
type service struct {
	name      fleet.Service
	published *published.Service
	upstreams []*upstream
	// fresh holds the waiting requests that can still be in time, back those that
	// come back after a refusal, which are served if room is left.
	fresh, back lanes
	budget      *retry.Window
	// goal is the longest goal of the routes to the service.
	goal time.Duration
	// demand is the rate at which requests arrive here, share this entry's part
	// of the slots as of sharedAt.
	demand   rate
	share    peering.Share
	sharedAt time.Time
	// refused is when a new request was last refused for lack of room.
	refused time.Time
	// coldBound is this process's part of what a cold upstream bears in
	// coldWindow; 0 does not limit.
	coldBound int
}

// Core holds the decisions of one entry. It is owned by one duty.
type Core struct {
	settings Settings
	// begun is when the first view came; priorities count from it.
	begun     time.Time
	view      *published.View
	services  map[fleet.Service]*service
	upstreams map[fleet.InstanceID]*upstream
	requests  map[Ticket]*request
	guard     *retry.Guard
	// patience holds, for each route, the longest time that a caller said it
	// waits. A caller that comes back has less left.
	patience map[string]time.Duration
	// notices holds the latest word on the engine at each address.
	notices map[string]noticed
	// processes is the number of entries that share the budgets.
	processes int
}

// noticed is the word of a loader as of a time.
type noticed struct {
	Notice
	at time.Time
}

// noticeLife is how long the word on an address counts against entries of
// earlier starts, and how long it is kept if no entry names the address.
const noticeLife = 10 * time.Second

// New returns a core without a view; it refuses requests until it has one.
func New(s Settings) *Core {
	return &Core{
		settings:  s,
		services:  map[fleet.Service]*service{},
		upstreams: map[fleet.InstanceID]*upstream{},
		requests:  map[Ticket]*request{},
		guard:     retry.NewGuard(),
		patience:  map[string]time.Duration{},
		notices:   map[string]noticed{},
		processes: leastProcesses,
	}
}

// SetProcesses tells among how many entries the shared budgets are divided.
func (c *Core) SetProcesses(n int) {
	c.processes = max(n, leastProcesses)
	for _, s := range c.services {
		s.coldBound = c.coldBound(s.published)
	}
}

// SetOthers tells what other entries have at each upstream, and this entry's
// part of the slots of each service. What is not named is nothing.
func (c *Core) SetOthers(now time.Time, loads map[fleet.InstanceID]peering.Load, shares map[fleet.Service]peering.Share) {
	for id, u := range c.upstreams {
		u.told, u.toldAt = loads[id], now
	}
	for name, s := range c.services {
		s.share, s.sharedAt = shares[name], now
	}
}

// Demands returns how many requests for each service arrive and wait here.
func (c *Core) Demands(now time.Time) map[fleet.Service]peering.Demand {
	out := map[fleet.Service]peering.Demand{}
	for name, s := range c.services {
		if perSecond := s.demand.perSecond(now); perSecond > 0 {
			out[name] = peering.Demand{PerSecond: perSecond, Waiting: s.fresh.length(), Refused: s.short(now)}
		}
	}
	return out
}

// Loads returns what this entry has at each upstream.
func (c *Core) Loads() map[fleet.InstanceID]peering.Load {
	out := map[fleet.InstanceID]peering.Load{}
	for id, u := range c.upstreams {
		if u.mine > 0 {
			out[id] = peering.Load{Requests: u.mine, PromptTokens: u.prompt}
		}
	}
	return out
}

// Waiting returns the number of requests that wait for an upstream.
func (c *Core) Waiting() int {
	n := 0
	for _, s := range c.services {
		n += s.fresh.length() + s.back.length()
	}
	return n
}

// Suspects returns the crashes that this process counts for requests.
func (c *Core) Suspects() *retry.Guard { return c.guard }

// Update takes in a new view.
func (c *Core) Update(now time.Time, v *published.View) []Action {
	c.view = v
	if c.begun.IsZero() {
		c.begun = now
	}
	old := c.upstreams
	c.upstreams = make(map[fleet.InstanceID]*upstream, len(v.Upstreams))
	for _, s := range c.services {
		s.upstreams, s.published = nil, nil
	}
	if v.Config != nil {
		maps.DeleteFunc(c.patience, func(name string, _ time.Duration) bool { return !v.Config.HasRoute(name) })
	}
	for _, p := range v.Upstreams {
		u := c.adopt(now, old[p.ID], p)
		c.upstreams[p.ID] = u
		s := c.service(now, p.Service)
		s.upstreams = append(s.upstreams, u)
	}
	if v.Config != nil {
		for name, p := range v.Config.Services {
			s := c.service(now, name)
			s.published = p
			s.coldBound = c.coldBound(p)
			s.goal = 0
		}
		for i := range v.Config.Routes {
			for _, t := range v.Config.Routes[i].Targets {
				s := c.service(now, t.Service)
				s.goal = max(s.goal, v.Config.Routes[i].LatencyGoal)
			}
		}
	}
	c.forgetNotices(now)
	c.setTurns(now)
	return c.drain(now)
}

func (c *Core) forgetNotices(now time.Time) {
	named := make(map[string]bool, len(c.upstreams))
	for _, u := range c.upstreams {
		named[u.Address] = true
	}
	maps.DeleteFunc(c.notices, func(address string, n noticed) bool {
		return !named[address] && now.Sub(n.at) > noticeLife
	})
}

// adopt keeps what is known of an upstream, unless it started anew.
func (c *Core) adopt(now time.Time, old *upstream, p *published.Upstream) *upstream {
	u := old
	if u == nil || u.StartTime != p.StartTime || u.Address != p.Address || u.Service != p.Service {
		u = &upstream{region: c.settings.Regions[p.Domain]}
	}
	if u.Upstream == nil || u.Revision != p.Revision {
		if p.ColdRemaining > 0 {
			u.coldUntil = now.Add(p.ColdRemaining)
		}
	}
	u.Upstream = p
	u.notice = c.notices[p.Address]
	return u
}

func (c *Core) service(now time.Time, name fleet.Service) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name:   name,
			fresh:  lanes{},
			back:   lanes{},
			budget: retry.NewWindow(c.settings.Retries, now),
		}
		c.services[name] = s
	}
	return s
}

// coldBound returns this process's part of the requests that a cold upstream
// bears in coldWindow.
func (c *Core) coldBound(p *published.Service) int {
	if p == nil || p.ColdPerSecond <= 0 {
		return 0
	}
	whole := p.ColdPerSecond*c.settings.ColdOverrun + c.settings.ColdSlack
	return max(int(whole*coldMargin/float64(c.processes)), 1)
}

// Arrive takes in a new request.
func (c *Core) Arrive(now time.Time, ticket Ticket, call Call) []Action {
	if c.view == nil || c.view.Config == nil {
		return []Action{Refuse{Ticket: ticket, Verdict: NotRun, Reason: "no configuration known yet", After: retryUnready}}
	}
	config := c.view.Config
	route := config.Route(call.Host, call.Path)
	if route == nil {
		return []Action{Refuse{Ticket: ticket, Verdict: NoRoute, Reason: "no route matches"}}
	}
	customer := config.Customer(call.Key)
	if customer == nil && config.KeysRequired && !route.Anonymous {
		return []Action{Refuse{Ticket: ticket, Verdict: NoKey, Reason: "unknown key"}}
	}
	r := c.newRequest(now, ticket, call, route, customer)
	if c.guard.Check(now, call.Fingerprint) == retry.Blocked {
		return []Action{Refuse{Ticket: ticket, Verdict: NotRun, Reason: "request crashed several upstreams"}}
	}
	c.requests[ticket] = r
	s := c.service(now, r.service)
	s.budget.First(now)
	if !r.returning {
		s.demand.add(now)
	}
	if s.idle(r) {
		if send, ok := c.try(now, s, r); ok {
			return []Action{send}
		}
	}
	return c.enqueue(now, s, r)
}

// retryUnready is when a caller is asked to come back to a process that knows
// no configuration yet.
const retryUnready = 500 * time.Millisecond

func (c *Core) newRequest(now time.Time, t Ticket, call Call, route *published.Route, customer *published.Customer) *request {
	patience := call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	r := &request{
		Call: call, ticket: t, route: route, customer: customer, arrived: now,
		service: c.target(route),
	}
	limit := patience
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	r.deadline = now.Add(limit)
	whole := max(c.patience[route.Name], patience)
	c.patience[route.Name] = whole
	r.returning = patience < time.Duration(returningShare*float64(whole))
	return r
}

// returningShare is the part of a route's usual patience below which a caller
// is taken to come back after a refusal.
const returningShare = 0.8

// lane names the regions that may serve the request.
func (r *request) lane() string {
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

// target draws one of the route's services by weight.
func (c *Core) target(route *published.Route) fleet.Service {
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

func (r *request) rank() int {
	if r.customer != nil && r.customer.HasRank {
		return r.customer.Rank
	}
	return r.route.Rank
}

// Notice takes in the word of a loader.
func (c *Core) Notice(now time.Time, n Notice) []Action {
	if n.Born < c.notices[n.Address].Born {
		return nil
	}
	c.notices[n.Address] = noticed{Notice: n, at: now}
	for _, u := range c.upstreams {
		if u.Address == n.Address {
			u.notice = c.notices[n.Address]
			u.pauseOver(now)
		}
	}
	return c.drain(now)
}

// Left takes in that a caller left a request that waits or that was not sent
// yet.
func (c *Core) Left(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil {
		return nil
	}
	delete(c.requests, ticket)
	if r.at == nil {
		return nil
	}
	r.begin()
	r.at.mine--
	return c.drain(now)
}

// Observe takes in what the head of an answer said of the request's upstream.
func (c *Core) Observe(now time.Time, ticket Ticket, o Observation) {
	if r := c.requests[ticket]; r != nil && r.at != nil {
		r.at.observe(now, o)
	}
}

// Began takes in that the answer to a request began.
func (c *Core) Began(now time.Time, ticket Ticket) []Action {
	r := c.requests[ticket]
	if r == nil || r.at == nil {
		return nil
	}
	r.begin()
	return c.drain(now)
}

// begin counts out the prompt of a request, once for each attempt.
func (r *request) begin() {
	if r.reading {
		r.reading = false
		r.at.prompt -= r.Prompt
	}
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) []Action { return c.drain(now) }
