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
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

const (
	// tokensPath is where callers obtain a token.
	tokensPath = "/v1/tokens"
	// tokenTries bounds the agents that are asked for one token.
	tokenTries = 3
	// onceShare is the part of the calls in flight that may be bound to one
	// agent by a key or token, as a divisor.
	onceShare = 4
)

// errand is a piece of work for a binder: a call that is bound to one agent,
// or the issue of a token by one of several agents.
type errand struct {
	call *call
	meta wire.Call
	// agents holds one agent for a call, and candidates for a token.
	agents []fleet.Instance
	token  *wire.TokenRequest
}

// onceRoute joins the duties for calls with a key or token.
type onceRoute struct {
	views    *ring.Ring[node.View]
	calls    *ring.Ring[*call]
	errands  *ring.Ring[errand]
	couriers int
	client   *http.Client
}

func newOnceRoute(n *node.Node, s *settings.Entry) *onceRoute {
	couriers := max(1, s.MaxCalls/onceShare)
	return &onceRoute{
		views:    n.Subscribe(),
		calls:    ring.New[*call](s.MaxCalls, ring.Wait),
		errands:  ring.New[errand](couriers, ring.Refuse),
		couriers: couriers,
		client:   newBoundClient(),
	}
}

func (e *Entry) startOnce(g *duty.Group) {
	g.Go("binder", e.runBinder)
	for range e.once.couriers {
		g.Go("courier", e.runCourier)
	}
}

// binder routes calls with a key or token, which only one agent may run. It
// owns its view of the agents; errands are carried out by a pool.
type binder struct {
	entry  *Entry
	view   node.View
	agents map[fleet.InstanceID]fleet.Instance
	// guard holds what other processes report of requests that crash engines.
	guard *retry.Guard
}

// deliver hands a call to the duty that routes it.
func (e *Entry) deliver(ctx context.Context, c *call) error {
	if c.header.Get(wire.HeaderKey) != "" || c.token != "" || isTokenCall(c) {
		return e.once.calls.Put(ctx, c)
	}
	return e.inbox.Put(ctx, arrival{call: c})
}

func isTokenCall(c *call) bool {
	path, _, _ := strings.Cut(c.path, "?")
	return path == tokensPath
}

// runBinder owns the routing of calls with a key or token.
func (e *Entry) runBinder(ctx context.Context) error {
	b := &binder{entry: e, guard: retry.NewGuard()}
	for {
		select {
		case v := <-e.once.views.Out():
			b.update(v)
		case c := <-e.once.calls.Out():
			b.arrive(ctx, c)
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *binder) update(v node.View) {
	b.view = v
	b.agents = make(map[fleet.InstanceID]fleet.Instance, len(v.Members))
	for _, m := range v.Members {
		if m.Role == fleet.RoleAgent {
			b.agents[m.ID] = m
		}
	}
	now := time.Now()
	for _, suspect := range v.Suspects {
		b.guard.ApplyReport(now, suspect.Fingerprint, suspect.Crashes, suspect.Last)
	}
}

// blocked reports whether the content of a call crashed engines too often.
func (b *binder) blocked(c *call) bool {
	return b.guard.Check(time.Now(), c.fingerprint) == retry.Blocked
}

func (b *binder) arrive(ctx context.Context, c *call) {
	if b.view.Config == nil {
		answerBound(ctx, c, boundNotRun(c, http.StatusServiceUnavailable, string(once.NoConfig)))
		return
	}
	customer := b.view.Config.CustomerByKey(c.keySHA256)
	if customer == nil {
		answerBound(ctx, c, unauthorized(c))
		return
	}
	var x errand
	var p *wire.Problem
	switch {
	case isTokenCall(c):
		x, p = b.tokenErrand(c, customer)
	case b.blocked(c):
		p = blocked(c)
	default:
		x, p = b.callErrand(c, customer)
	}
	if p == nil && b.entry.once.errands.Put(ctx, x) != nil {
		p = boundNotRun(c, http.StatusServiceUnavailable, "entry carries as many calls as it may")
	}
	if p != nil {
		answerBound(ctx, c, p)
	}
}

// callErrand finds the one agent that may run a call.
func (b *binder) callErrand(c *call, customer *config.Customer) (errand, *wire.Problem) {
	x := errand{call: c}
	target := routing.Resolve(b.view.Config, c.path, c.model)
	service, profile := target.Service, target.Profile
	if service == nil {
		return x, invalid(http.StatusNotFound, "no profile, service or path matches")
	}
	x.meta = wire.Call{
		Request:  c.id,
		Customer: customer.Name, Priority: customer.Priority,
		Service: service.Name,
		Entry:   b.entry.settings.Self.ID,
		Config:  b.view.Config.Stamp,
		Key:     c.header.Get(wire.HeaderKey), Token: c.token,
		Once:        true,
		Fingerprint: c.fingerprint,
	}
	if profile != nil {
		x.meta.Profile, x.meta.Root = profile.Name, profile.Weights.Root
	}
	id, p := boundInstance(c, service, x.meta.Key, x.meta.Token)
	if p != nil {
		return x, p
	}
	agent, known := b.agents[id]
	switch {
	case known:
		x.agents = []fleet.Instance{agent}
		return x, nil
	case x.meta.Token != "":
		return x, boundUnknown(c, "the instance that issued the token is gone; it may have used the token")
	default:
		return x, boundNotRun(c, http.StatusServiceUnavailable, "the owner of the key is not known here")
	}
}

// boundInstance returns the instance that a token names or that owns a key.
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
	// The owner decides by its own document, which may be newer, whether the
	// owners are final at the key's time.
	id := once.Owner(s.Owners, key)
	if id == "" {
		return "", boundUnknown(c, string(once.BeforeEpochs))
	}
	return id, nil
}

// tokenErrand chooses agents that may issue a token: live, in a failure domain
// in service, and with the version that the service serves.
func (b *binder) tokenErrand(c *call, customer *config.Customer) (errand, *wire.Problem) {
	var in wire.TokenRequest
	if c.method != http.MethodPost {
		return errand{}, invalid(http.StatusMethodNotAllowed, "a token is obtained with POST")
	}
	if json.Unmarshal(c.body, &in) != nil || b.view.Config.Service(in.Service) == nil {
		return errand{}, invalid(http.StatusBadRequest, `the body must name a service, as in {"service": "allocation"}`)
	}
	in.Customer = customer.Name
	x := errand{call: c, token: &in}
	for _, m := range b.view.Members {
		if b.issues(in.Service, m) {
			x.agents = append(x.agents, m)
		}
	}
	if len(x.agents) == 0 {
		return x, boundNotRun(c, http.StatusServiceUnavailable, "no upstream can take the request now")
	}
	rand.Shuffle(len(x.agents), func(i, j int) { x.agents[i], x.agents[j] = x.agents[j], x.agents[i] })
	x.agents = x.agents[:min(len(x.agents), tokenTries)]
	return x, nil
}

func (b *binder) issues(s fleet.Service, m fleet.Instance) bool {
	if m.Role != fleet.RoleAgent || m.Service != s || m.State != fleet.StateLive || m.Switching {
		return false
	}
	p := b.view.Config.ServedProfile(s)
	if p != nil && !m.Serving.IsZero() && m.Serving != p.Weights.Root {
		return false
	}
	return b.view.Config.DomainIn(m.FailureDomain)
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

// boundUnknown is for submissions that were not run and whose earlier ones may
// have been.
func boundUnknown(c *call, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemUnknown, Title: "outcome of the request is unknown", Status: http.StatusBadGateway,
		Detail: detail, Request: c.id, Outcome: wire.Unknown, Submission: wire.NotRun,
	}
}

// answerBound sends a problem as the whole response of a call, whose stream is empty.
func answerBound(ctx context.Context, c *call, p *wire.Problem) {
	h, body := p.Encode()
	_ = c.stream.Put(ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}
