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
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// maxAttempts bounds the upstreams that one call is sent to.
	maxAttempts = 3
	// retryAfter is what a refused caller is told.
	retryAfter = time.Second
)

// event is an input of the router.
type event interface{ event() }

// arrival is a new call.
type arrival struct{ call *call }

// ended says how an attempt ended. Outcome Ran means that the response, whole
// or cut, went to the caller.
type ended struct {
	attempt attempt
	outcome wire.Outcome
	detail  string
}

func (arrival) event() {}
func (ended) event()   {}

// attempt is one try of a call at one upstream.
type attempt struct {
	call     *call
	upstream fleet.Instance
	meta     wire.Call
	tried    map[fleet.InstanceID]bool
}

// router owns the routing table of an entry.
type router struct {
	entry *Entry
	table *routing.Table
	view  node.View
}

func (e *Entry) runRouter(ctx context.Context) error {
	r := &router{entry: e, table: routing.New(e.settings.Self)}
	for {
		select {
		case r.view = <-e.views.Out():
			r.table.Update(r.view.Config, r.view.Members)
		case ev := <-e.inbox.Out():
			r.step(ctx, ev)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *router) step(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case arrival:
		r.arrive(ctx, ev.call)
	case ended:
		r.end(ctx, ev)
	}
}

func (r *router) arrive(ctx context.Context, c *call) {
	if r.view.Config == nil {
		r.refuse(ctx, c, unavailable(c, "no configuration adopted yet"))
		return
	}
	customer := r.view.Config.CustomerByKey(c.keySHA256)
	if customer == nil {
		r.refuse(ctx, c, &wire.Problem{
			Type: wire.ProblemUnauthorized, Title: "customer key is missing or wrong",
			Status: http.StatusUnauthorized, Request: c.id, Outcome: wire.NotRun,
		})
		return
	}
	service, profile := r.target(c)
	if service == nil {
		r.refuse(ctx, c, invalid(http.StatusNotFound, "no profile, service or path matches"))
		return
	}
	a := attempt{call: c, tried: map[fleet.InstanceID]bool{}}
	a.meta = wire.Call{
		Request:  c.id,
		Customer: customer.Name,
		Priority: customer.Priority,
		Service:  service.Name,
		Entry:    r.entry.settings.Self.ID,
	}
	if profile != nil {
		a.meta.Profile = profile.Name
		a.meta.Root = profile.Weights.Root
	}
	r.try(ctx, a)
}

// target finds the service by the model's name (a profile or a service) or by
// the path of a plain service.
func (r *router) target(c *call) (*config.Service, *config.Profile) {
	view := r.view.Config
	for i := range view.Services {
		s := &view.Services[i]
		if s.Kind == config.KindPlain && strings.HasPrefix(c.path, s.PathPrefix) {
			return s, nil
		}
		if s.Kind == config.KindModel && c.model != "" &&
			(string(s.Name) == c.model || string(s.Profile) == c.model) {
			return s, view.ServedProfile(s.Name)
		}
	}
	return nil, nil
}

func (r *router) try(ctx context.Context, a attempt) {
	var candidate *routing.Candidate
	if a.meta.Attempt < maxAttempts {
		candidate = r.table.Pick(a.meta.Service, a.tried, rand.IntN)
	}
	if candidate == nil {
		r.refuse(ctx, a.call, unavailable(a.call, "no upstream can take the request now"))
		return
	}
	a.meta.Attempt++
	a.upstream = candidate.Instance
	a.tried[candidate.ID] = true
	a.meta.Config = r.view.Config.Stamp
	if err := r.entry.attempts.Put(ctx, a); err != nil {
		r.table.Done(candidate.ID)
		r.refuse(ctx, a.call, unavailable(a.call, "entry carries as many calls as it may"))
		return
	}
	r.record(timeline.RequestRouted, a, "")
}

func (r *router) end(ctx context.Context, ev ended) {
	a := ev.attempt
	r.table.Done(a.upstream.ID)
	switch ev.outcome {
	case wire.Ran:
		r.record(timeline.RequestRan, a, ev.detail)
	case wire.NotRun:
		r.record(timeline.RequestRefused, a, ev.detail)
		r.try(ctx, a)
	case wire.Unknown:
		r.record(timeline.RequestUnknown, a, ev.detail)
		r.refuse(ctx, a.call, &wire.Problem{
			Type: wire.ProblemUnknown, Title: "outcome of the request is unknown",
			Status: http.StatusBadGateway, Detail: ev.detail, Request: a.call.id, Outcome: wire.Unknown,
		})
	}
}

func (r *router) record(kind timeline.Kind, a attempt, detail string) {
	r.entry.node.Record(timeline.Event{
		Kind: kind, Request: a.call.id, Profile: a.meta.Profile,
		Peer: a.upstream.ID, Detail: detail,
	})
}

// refuse answers a call with a problem. The stream of such a call is empty, so
// the parts fit without waiting.
func (r *router) refuse(ctx context.Context, c *call, p *wire.Problem) {
	h, body := p.Encode()
	_ = c.stream.Put(ctx, relay.Part{Head: &relay.Head{Status: p.Status, Header: h}, Data: body, End: true})
}

func unavailable(c *call, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemNotRun, Title: "request was not run",
		Status: http.StatusServiceUnavailable, Detail: detail, Request: c.id,
		Outcome: wire.NotRun, RetryAfter: retryAfter,
	}
}
