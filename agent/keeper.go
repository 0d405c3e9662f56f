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
	// maxWaiters bounds the submissions that wait for requests in progress.
	maxWaiters = 256
)

// keeperEvent is an input of the keeper duty.
type keeperEvent interface{ keeperEvent() }

// submitted asks for a verdict on a submission. A submission whose request is
// in progress gets its verdict when that request has ended.
type submitted struct {
	submission once.Submission
	answer     *ring.Ring[once.Verdict]
}

// abandoned says that a submission no longer waits. It gets the verdict Wait
// unless it has its verdict already.
type abandoned struct{ answer *ring.Ring[once.Verdict] }

// confirmation asks for the last check before the hand-over.
type confirmation struct {
	ticket once.Ticket
	answer *ring.Ring[once.Reason]
}

// finished says how an admitted run ended.
type finished struct {
	ticket once.Ticket
	result once.Result
	answer *once.Answer
}

// tokenQuestion asks for a token.
type tokenQuestion struct {
	customer fleet.Customer
	answer   *ring.Ring[issuedToken]
}

// issuedToken is a new token, or the reason why there is none.
type issuedToken struct {
	text     string
	lifetime time.Duration
	reason   string
}

func (submitted) keeperEvent()     {}
func (abandoned) keeperEvent()     {}
func (confirmation) keeperEvent()  {}
func (finished) keeperEvent()      {}
func (tokenQuestion) keeperEvent() {}

// onceDuty joins the keeper with the handlers.
type onceDuty struct {
	views    *ring.Ring[node.View]
	events   *ring.Ring[keeperEvent]
	upstream *http.Client
	metrics  *metrics.Set
}

func newOnceDuty(n *node.Node) *onceDuty {
	return &onceDuty{
		views:    n.Subscribe(),
		events:   ring.New[keeperEvent](messageRing, ring.Wait),
		upstream: newOnceClient(),
		metrics:  metrics.NewSet(),
	}
}

// keeper owns the memory of keys and tokens and the submissions that wait.
type keeper struct {
	agent   *Agent
	memory  *once.Memory
	started time.Time
	view    node.View
	waiting map[once.Ticket][]submitted
	waiters int
}

// newKeeper begins the memory. It is called by the duty, which starts after
// the agent listens: an earlier start of this instance, which might have
// accepted a key, can then accept no more.
func newKeeper(a *Agent) *keeper {
	started := time.Now()
	secret := make([]byte, secretBytes)
	// Read never fails; it ends the process if there is no randomness.
	_, _ = rand.Read(secret)
	start := once.Start{Instance: a.self().ID, ID: rand.Text(), Secret: secret, StartedAt: started}
	return &keeper{
		agent:   a,
		memory:  once.NewMemory(start, a.onceRules()),
		started: started,
		waiting: map[once.Ticket][]submitted{},
	}
}

func (a *Agent) onceRules() once.Rules {
	r := once.DefaultRules()
	r.ClockStep = a.settings.MaxClockStep
	r.KeyLifetime = a.settings.KeyLifetime
	return r
}

// runKeeper owns key memory and tokens.
func (a *Agent) runKeeper(ctx context.Context) error {
	defer a.once.events.Close()
	k := newKeeper(a)
	for {
		select {
		case v := <-a.once.views.Out():
			k.update(v)
		case ev := <-a.once.events.Out():
			k.step(ctx, ev)
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *keeper) clock() once.Clock {
	now := time.Now()
	return once.Clock{Wall: now, Elapsed: now.Sub(k.started)}
}

func (k *keeper) update(v node.View) {
	k.view = v
	var owners config.Owners
	if s := v.Config.Service(k.agent.self().Service); s != nil {
		owners = s.Owners
	}
	if k.memory.Configure(owners) {
		_ = level.Error(k.agent.node.Logger()).Log(
			"msg", "published owners changed before the time up to which they were final",
			"generation", v.Config.Generation)
	}
}

// refresh takes in a view that arrived while the process was paused, so that
// the last check uses the newest one.
func (k *keeper) refresh() {
	select {
	case v := <-k.agent.once.views.Out():
		k.update(v)
	default:
	}
}

func (k *keeper) step(ctx context.Context, ev keeperEvent) {
	switch ev := ev.(type) {
	case submitted:
		k.submit(ctx, ev)
	case abandoned:
		k.abandon(ctx, ev)
	case confirmation:
		k.refresh()
		_ = ev.answer.Put(ctx, k.memory.Confirm(k.clock(), ev.ticket))
	case finished:
		k.finish(ctx, ev)
	case tokenQuestion:
		_ = ev.answer.Put(ctx, k.issue(ev.customer))
	}
}

func (k *keeper) submit(ctx context.Context, s submitted) {
	k.refresh()
	v := k.memory.Admit(k.clock(), s.submission)
	if v.Kind == once.Wait && k.waiters < maxWaiters {
		k.waiting[v.Ticket] = append(k.waiting[v.Ticket], s)
		k.waiters++
		return
	}
	k.agent.countOnce(v)
	_ = s.answer.Put(ctx, v)
}

// finish ends a run and decides again on the submissions that waited for it.
// If the run did not take place, the first of them runs.
func (k *keeper) finish(ctx context.Context, f finished) {
	k.memory.Finish(k.clock(), f.ticket, f.result, f.answer)
	waiting := k.waiting[f.ticket]
	delete(k.waiting, f.ticket)
	k.waiters -= len(waiting)
	for _, s := range waiting {
		k.submit(ctx, s)
	}
}

func (k *keeper) abandon(ctx context.Context, ev abandoned) {
	for ticket, list := range k.waiting {
		for i, s := range list {
			if s.answer != ev.answer {
				continue
			}
			k.waiting[ticket] = append(list[:i:i], list[i+1:]...)
			k.waiters--
			_ = ev.answer.Put(ctx, once.Verdict{Kind: once.Wait, Ticket: ticket})
			return
		}
	}
}

// issue returns a token if this instance takes new work.
func (k *keeper) issue(customer fleet.Customer) issuedToken {
	switch {
	case k.view.Config == nil:
		return issuedToken{reason: string(once.NoConfig)}
	case !k.view.Config.DomainIn(k.agent.self().FailureDomain):
		return issuedToken{reason: "failure domain is out"}
	}
	text, lifetime, err := k.memory.Issue(k.clock(), customer)
	if err != nil {
		return issuedToken{reason: err.Error()}
	}
	return issuedToken{text: text, lifetime: lifetime}
}
