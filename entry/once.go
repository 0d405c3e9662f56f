package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/once"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

const (
	// tokensPath is the path at which callers request a token.
	tokensPath = "/v1/tokens"
	// maxTokenAgents is the maximum number of agents that are tried for one token.
	maxTokenAgents = 3
	// onceCallsDivisor limits the calls with a key or token that are in flight, as
	// a divisor of the maximum number of calls in flight.
	onceCallsDivisor = 4
)

// onceTask is a unit of work for a once worker: forwarding a call that is bound to one
// agent, or requesting a token from one of several agents.
type onceTask struct {
	call *call
	meta wire.Call
	// agents holds the only agent for a call, or the candidates for a token.
	agents []fleet.Instance
	// token is the request for a token; nil for a call.
	token *wire.TokenRequest
}

// oncePipeline connects the duties that process calls with a key or token, which
// must run at most once: the once router, which turns calls into tasks, and the
// once workers, which execute the tasks.
type oncePipeline struct {
	views   *ring.Ring[node.View]
	calls   *ring.Ring[*call]
	tasks   *ring.Ring[onceTask]
	workers int
	client  *http.Client
}

func newOncePipeline(n *node.Node, s *settings.Entry) *oncePipeline {
	workers := max(1, s.MaxCalls/onceCallsDivisor)
	return &oncePipeline{
		views:   n.Subscribe(),
		calls:   ring.New[*call](s.MaxCalls, ring.Wait),
		tasks:   ring.New[onceTask](workers, ring.Refuse),
		workers: workers,
		client:  newBoundClient(),
	}
}

func (e *Entry) startOnce(g *duty.Group) {
	g.Go("once router", e.runOnceRouter)
	for range e.once.workers {
		g.Go("once worker", e.runOnceWorker)
	}
}

// onceRouter routes calls with a key or token, each of which only one agent may
// run. It owns its view of the agents; workers execute its tasks.
type onceRouter struct {
	entry  *Entry
	view   node.View
	agents map[fleet.InstanceID]fleet.Instance
	// evidence is about requests that crash upstreams, as other duties report it.
	evidence *node.Evidence
}

// enqueue sends a call to the duty that routes it. It returns an error if ctx
// ends first.
func (e *Entry) enqueue(ctx context.Context, c *call) error {
	if c.header.Get(wire.HeaderKey) != "" || c.token != "" || isTokenCall(c) {
		c.fingerprint = once.Fingerprint(c.path, c.body)
		return e.once.calls.Put(ctx, c)
	}
	return e.inbox.Put(ctx, arrival{call: c})
}

func isTokenCall(c *call) bool {
	path, _, _ := strings.Cut(c.path, "?")
	return path == tokensPath
}

// runOnceRouter routes calls with a key or token.
func (e *Entry) runOnceRouter(ctx context.Context) error {
	r := &onceRouter{entry: e, evidence: node.NewEvidence(e.node)}
	for {
		select {
		case v := <-e.once.views.Out():
			r.applyView(v)
		case c := <-e.once.calls.Out():
			r.handleCall(ctx, c)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *onceRouter) applyView(v node.View) {
	r.view = v
	r.agents = make(map[fleet.InstanceID]fleet.Instance, len(v.Members))
	for _, m := range v.Members {
		if m.Role == fleet.RoleAgent {
			r.agents[m.ID] = m
		}
	}
	r.evidence.Apply(r.entry.now(), v)
}

func (r *onceRouter) handleCall(ctx context.Context, c *call) {
	if r.view.Config == nil {
		respondProblem(ctx, c, boundNotRun(c, http.StatusServiceUnavailable, string(once.NoConfig)))
		return
	}
	customer := r.view.Config.CustomerByKey(c.keySHA256)
	if customer == nil {
		respondProblem(ctx, c, unauthorized(c))
		return
	}
	if !r.entry.grace.fits(time.Now(), 0) {
		respondProblem(ctx, c, boundNotRun(c, http.StatusServiceUnavailable, stoppingDetail))
		return
	}
	task, p := r.newTask(c, customer)
	if p == nil && r.entry.once.tasks.Put(ctx, task) != nil {
		p = boundNotRun(c, http.StatusServiceUnavailable, "entry carries as many calls as it may")
	}
	if p != nil {
		respondProblem(ctx, c, p)
	}
}

// newTask returns the task for a call or a token request, or a problem.
func (r *onceRouter) newTask(c *call, customer *config.Customer) (onceTask, *wire.Problem) {
	if isTokenCall(c) {
		return r.tokenTask(c, customer)
	}
	if d := r.decide(c); d.Verdict == poison.Blocked {
		r.entry.recordBlocked(c, customer.Name, d.Trait)
		return onceTask{}, blocked(c)
	}
	return r.callTask(c, customer)
}

// callTask returns the task for a call, with the only agent that may run it, or a
// problem if there is none.
func (r *onceRouter) callTask(c *call, customer *config.Customer) (onceTask, *wire.Problem) {
	task := onceTask{call: c}
	target := routing.Resolve(r.view.Config, c.path, c.model)
	service, profile := target.Service, target.Profile
	if service == nil {
		return task, invalid(http.StatusNotFound, "no profile, service or path matches")
	}
	task.meta = wire.Call{
		Request:  c.id,
		Customer: customer.Name, Priority: customer.Priority,
		Service: service.Name,
		Entry:   r.entry.settings.Self.ID,
		Config:  r.view.Config.Stamp,
		Key:     c.header.Get(wire.HeaderKey), Token: c.token,
		Once:        true,
		Fingerprint: c.fingerprint,
		Traits:      c.traits,
	}
	if profile != nil {
		task.meta.Profile, task.meta.Root = profile.Name, profile.Weights.Root
	}
	id, p := boundInstance(c, service, task.meta.Key, task.meta.Token)
	if p != nil {
		return task, p
	}
	agent, known := r.agents[id]
	switch {
	case known:
		task.agents = []fleet.Instance{agent}
		return task, nil
	case task.meta.Token != "":
		return task, boundUnknown(c, "the instance that issued the token is gone; it may have used the token")
	default:
		return task, boundNotRun(c, http.StatusServiceUnavailable, "the owner of the key is not known here")
	}
}

// boundInstance returns the instance that a call is bound to: the one that its
// token names or that owns its key.
func boundInstance(c *call, s *config.Service, keyText, tokenText string) (fleet.InstanceID, *wire.Problem) {
	if tokenText != "" && keyText != "" {
		return "", invalid(http.StatusBadRequest, "send either "+wire.HeaderKey+" or "+wire.HeaderToken)
	}
	if tokenText != "" {
		t, err := once.DecodeToken(tokenText)
		if err != nil {
			return "", boundNotRun(c, http.StatusConflict, string(once.BadToken))
		}
		return t.Instance, nil
	}
	key, err := once.ParseKey(keyText)
	if err != nil {
		return "", boundNotRun(c, http.StatusConflict, string(once.KeyReason(err)))
	}
	if len(s.Owners.Epochs) == 0 {
		return "", boundNotRun(c, http.StatusConflict, string(once.NoOwners))
	}
	// Whether the owners are final at the time of the key is checked by the owner,
	// whose configuration document may be newer.
	id := once.Owner(s.Owners, key)
	if id == "" {
		return "", boundUnknown(c, string(once.BeforeEpochs))
	}
	return id, nil
}

// tokenTask returns the task for a token request. Its agents are chosen at random
// from those that can issue a token.
func (r *onceRouter) tokenTask(c *call, customer *config.Customer) (onceTask, *wire.Problem) {
	var in wire.TokenRequest
	if c.method != http.MethodPost {
		return onceTask{}, invalid(http.StatusMethodNotAllowed, "a token is obtained with POST")
	}
	if json.Unmarshal(c.body, &in) != nil || r.view.Config.Service(in.Service) == nil {
		return onceTask{}, invalid(http.StatusBadRequest, `the body must name a service, as in {"service": "allocation"}`)
	}
	in.Customer = customer.Name
	task := onceTask{call: c, token: &in}
	for _, m := range r.view.Members {
		if r.canIssueToken(in.Service, m) {
			task.agents = append(task.agents, m)
		}
	}
	if len(task.agents) == 0 {
		return task, boundNotRun(c, http.StatusServiceUnavailable, "no upstream can take the request now")
	}
	rand.Shuffle(len(task.agents), func(i, j int) { task.agents[i], task.agents[j] = task.agents[j], task.agents[i] })
	task.agents = task.agents[:min(len(task.agents), maxTokenAgents)]
	return task, nil
}

// canIssueToken reports whether an instance may issue a token for a service. It
// must be a live agent of the service that is not switching, in a failure domain
// in service, and serve the version that the service serves or none.
func (r *onceRouter) canIssueToken(s fleet.Service, m fleet.Instance) bool {
	if m.Role != fleet.RoleAgent || m.Service != s || m.State != fleet.StateLive || m.Switching {
		return false
	}
	p := r.view.Config.ServedProfile(s)
	if p != nil && !m.Serving.IsZero() && m.Serving != p.Weights.Root {
		return false
	}
	return r.view.Config.DomainIn(m.FailureDomain)
}

func boundNotRun(c *call, status int, detail string) *wire.Problem {
	p := &wire.Problem{
		Type: wire.ProblemNotRun, Title: "request was not run", Status: status,
		Detail: detail, Request: c.id, Outcome: wire.NotRun, Submission: wire.NotRun,
	}
	if status == http.StatusServiceUnavailable {
		p.RetryAfter = retryAfter
	}
	return p
}

// boundUnknown returns the problem for a submission that was not run although an
// earlier submission of the same request may have been.
func boundUnknown(c *call, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemUnknown, Title: "outcome of the request is unknown", Status: http.StatusBadGateway,
		Detail: detail, Request: c.id, Outcome: wire.Unknown, Submission: wire.NotRun,
	}
}

// respondProblem sends a problem as the complete response of a call, also if ctx has
// ended. The stream of the call must be empty, so that the put does not block.
func respondProblem(ctx context.Context, c *call, p *wire.Problem) {
	h, body := p.Encode()
	_ = c.stream.Put(context.WithoutCancel(ctx), relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
