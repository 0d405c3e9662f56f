package agent

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/once"
	"rattanspur.example/lib/ring"
)

const (
	// secretBytes is the length of the secret that signs tokens.
	secretBytes = 32
	// maxWaiters is the maximum number of submissions that wait for requests in
	// progress.
	maxWaiters = 256
)

// onceEvent is an input of the once controller.
type onceEvent interface{ onceEvent() }

// submitted requests a verdict on a submission. If its request is in progress,
// the verdict follows when that request has ended.
type submitted struct {
	submission once.Submission
	reply      *ring.Ring[once.Verdict]
}

// abandoned cancels a waiting submission, which gets the verdict Wait. It has no
// effect if the submission already has its verdict.
type abandoned struct{ reply *ring.Ring[once.Verdict] }

// confirmRequest requests the last check before a call is sent to the upstream.
type confirmRequest struct {
	ticket once.Ticket
	reply  *ring.Ring[once.Reason]
}

// finished reports the end of an admitted run. The answer is nil if there is none
// to keep.
type finished struct {
	ticket once.Ticket
	result once.Result
	answer *once.Answer
}

// tokenRequest requests a token.
type tokenRequest struct {
	customer fleet.Customer
	reply    *ring.Ring[issuedToken]
}

// issuedToken is a new token, or the reason why none was issued.
type issuedToken struct {
	text     string
	lifetime time.Duration
	reason   string
}

func (submitted) onceEvent()      {}
func (abandoned) onceEvent()      {}
func (confirmRequest) onceEvent() {}
func (finished) onceEvent()       {}
func (tokenRequest) onceEvent()   {}

// onceDuty holds what the once controller shares with the handlers, and the client
// for calls that may not be repeated.
type onceDuty struct {
	views    *ring.Ring[node.View]
	events   *ring.Ring[onceEvent]
	upstream *http.Client
	metrics  *metrics.Set
}

func newOnceDuty(n *node.Node) *onceDuty {
	return &onceDuty{
		views:    n.Subscribe(),
		events:   ring.New[onceEvent](eventRingSize, ring.Wait),
		upstream: newOnceClient(),
		metrics:  metrics.NewSet(),
	}
}

// onceController owns the memory of keys and tokens and the waiting submissions.
type onceController struct {
	agent     *Agent
	memory    *once.Memory
	startedAt time.Time
	view      node.View
	waiting   map[once.Ticket][]submitted
	waiters   int
}

// newOnceController creates the memory. It is called by the duty, which starts after
// the agent listens on its address. From then on an earlier process of this
// instance, which may have accepted a key, can accept no more.
func newOnceController(a *Agent) *onceController {
	startedAt := time.Now()
	secret := make([]byte, secretBytes)
	// Read never returns an error; it crashes the process if no randomness is
	// available.
	_, _ = rand.Read(secret)
	instanceStart := once.Start{Instance: a.self().ID, ID: rand.Text(), Secret: secret, StartedAt: startedAt}
	return &onceController{
		agent:     a,
		memory:    once.NewMemory(instanceStart, a.onceRules()),
		startedAt: startedAt,
		waiting:   map[once.Ticket][]submitted{},
	}
}

func (a *Agent) onceRules() once.Rules {
	r := once.DefaultRules()
	r.ClockStep = a.settings.MaxClockStep
	r.KeyLifetime = a.settings.KeyLifetime
	return r
}

// runOnceController decides on submissions and issues tokens.
func (a *Agent) runOnceController(ctx context.Context) error {
	defer a.once.events.Close()
	o := newOnceController(a)
	for {
		select {
		case v := <-a.once.views.Out():
			o.setView(v)
		case ev := <-a.once.events.Out():
			o.step(ctx, ev)
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *onceController) clock() once.Clock {
	now := time.Now()
	return once.Clock{Wall: now, Elapsed: now.Sub(o.startedAt)}
}

func (o *onceController) setView(v node.View) {
	o.view = v
	var owners config.Owners
	if s := v.Config.Service(o.agent.self().Service); s != nil {
		owners = s.Owners
	}
	if o.memory.Configure(owners) {
		_ = level.Error(o.agent.node.Logger()).Log(
			"msg", "published owners changed before the time until which they were final",
			"generation", v.Config.Generation)
	}
}

// refreshView applies a queued view, if there is one. A view may have arrived
// while the process was paused, and the last check must use the newest one.
func (o *onceController) refreshView() {
	select {
	case v := <-o.agent.once.views.Out():
		o.setView(v)
	default:
	}
}

func (o *onceController) step(ctx context.Context, ev onceEvent) {
	switch ev := ev.(type) {
	case submitted:
		o.submit(ctx, ev)
	case abandoned:
		o.abandon(ctx, ev)
	case confirmRequest:
		o.refreshView()
		_ = ev.reply.Put(ctx, o.memory.Confirm(o.clock(), ev.ticket))
	case finished:
		o.finish(ctx, ev)
	case tokenRequest:
		_ = ev.reply.Put(ctx, o.issueToken(ev.customer))
	}
}

func (o *onceController) submit(ctx context.Context, s submitted) {
	o.refreshView()
	v := o.memory.Admit(o.clock(), s.submission)
	if v.Kind == once.Wait && o.waiters < maxWaiters {
		o.waiting[v.Ticket] = append(o.waiting[v.Ticket], s)
		o.waiters++
		return
	}
	o.agent.countVerdict(v)
	_ = s.reply.Put(ctx, v)
}

// finish records the end of a run and decides again on the submissions that
// waited for it. If the request was not run, the first of them runs.
func (o *onceController) finish(ctx context.Context, f finished) {
	o.memory.Finish(o.clock(), f.ticket, f.result, f.answer)
	waiting := o.waiting[f.ticket]
	delete(o.waiting, f.ticket)
	o.waiters -= len(waiting)
	for _, s := range waiting {
		o.submit(ctx, s)
	}
}

func (o *onceController) abandon(ctx context.Context, ev abandoned) {
	for ticket, list := range o.waiting {
		for i, s := range list {
			if s.reply != ev.reply {
				continue
			}
			o.waiting[ticket] = append(list[:i:i], list[i+1:]...)
			o.waiters--
			_ = ev.reply.Put(ctx, once.Verdict{Kind: once.Wait, Ticket: ticket})
			return
		}
	}
}

// issueToken returns a token if this instance accepts new work.
func (o *onceController) issueToken(customer fleet.Customer) issuedToken {
	switch {
	case o.view.Config == nil:
		return issuedToken{reason: string(once.NoConfig)}
	case !o.view.Config.DomainIn(o.agent.self().FailureDomain):
		return issuedToken{reason: "failure domain is out"}
	}
	text, lifetime, err := o.memory.Issue(o.clock(), customer)
	if err != nil {
		return issuedToken{reason: err.Error()}
	}
	return issuedToken{text: text, lifetime: lifetime}
}
