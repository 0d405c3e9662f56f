package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// PathExplain is the path at the Control address at which a gateway explains where a request
// would go now. A PlacementQuery is posted there, and a Placement is the response.
const PathExplain = "/peer/explain"

const (
	// maxQueryBytes is the maximum size of an encoded PlacementQuery.
	maxQueryBytes = 64 << 10
	// explainTimeout is the maximum time to read and to answer a PlacementQuery.
	explainTimeout = 3 * time.Second
	// defaultExplained and maxExplained are the default and the greatest number of
	// upstreams that are listed for each service.
	defaultExplained = 20
	maxExplained     = 200
	// maxQueryTokens and maxQueryBudget bound the numbers of a PlacementQuery.
	maxQueryTokens = 1 << 30
	maxQueryBudget = 24 * time.Hour
)

// PlacementQuery describes a request that is not sent.
type PlacementQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the customer's key. It is not needed if Customer names the customer. It is
	// neither logged nor part of the response.
	Key      string         `json:"key,omitempty"`
	Customer fleet.Customer `json:"customer,omitempty"`
	Model    string         `json:"model,omitempty"`
	// PromptTokens, MaxAnswerTokens and ExpectedAnswerTokens are numbers of tokens.
	PromptTokens         int `json:"prompt_tokens,omitempty"`
	MaxAnswerTokens      int `json:"max_answer_tokens,omitempty"`
	ExpectedAnswerTokens int `json:"expected_answer_tokens,omitempty"`
	// TimeBudgetMS is how long the caller waits, in ms; 0 if it does not say.
	TimeBudgetMS int64 `json:"time_budget_ms,omitempty"`
	// PromptParts identifies the parts of the prompt that other requests share.
	PromptParts []string `json:"prompt_parts,omitempty"`
	// Upstream is listed in any case, and up to Limit others for each service; 0 means the
	// default.
	Upstream fleet.InstanceID `json:"upstream,omitempty"`
	Limit    int              `json:"limit,omitempty"`
}

// Placement is what would become of a request.
type Placement struct {
	Route    string         `json:"route,omitempty"`
	Customer fleet.Customer `json:"customer,omitempty"`
	// Returning is set if the request counts as the retry of a rejected one.
	Returning bool `json:"returning,omitempty"`
	// Verdict and Reason are set if the request would be refused at any service.
	Verdict string `json:"verdict,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Services lists the services of the route, one of which is chosen by weight.
	Services []ServicePlacement `json:"services,omitempty"`
}

// ServicePlacement is what would become of a request at one service.
type ServicePlacement struct {
	Service fleet.Service `json:"service"`
	Weight  int           `json:"weight"`
	// Decision is "sent", "waits" or "rejected".
	Decision string           `json:"decision"`
	Upstream fleet.InstanceID `json:"upstream,omitempty"`
	Reason   string           `json:"reason,omitempty"`
	// Ahead is the number of waiting requests that go first.
	Ahead        int   `json:"ahead,omitempty"`
	MaxWaitMS    int64 `json:"max_wait_ms,omitempty"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Contended is set while new requests wait or are rejected at any gateway.
	Contended bool                `json:"contended,omitempty"`
	Counts    []UpstreamCount     `json:"counts,omitempty"`
	Upstreams []UpstreamPlacement `json:"upstreams,omitempty"`
	// Omitted is the number of upstreams that are not listed.
	Omitted int `json:"omitted,omitempty"`
}

// UpstreamCount is the number of upstreams with a state and a reason.
type UpstreamCount struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Count  int    `json:"count"`
}

// UpstreamPlacement is what an upstream is for a request.
type UpstreamPlacement struct {
	Upstream fleet.InstanceID `json:"upstream"`
	Region   fleet.Region     `json:"region"`
	// State is "picked", "available", "full", "avoided" or "unacceptable".
	State        string `json:"state"`
	Reason       string `json:"reason,omitempty"`
	AvoidedForMS int64  `json:"avoided_for_ms,omitempty"`
	// InFlight counts the requests of this gateway, Load those of all gateways.
	InFlight     int   `json:"in_flight"`
	Load         int   `json:"load"`
	Slots        int   `json:"slots"`
	OwnSlots     int   `json:"own_slots"`
	PromptTokens int   `json:"prompt_tokens,omitempty"`
	Version      int64 `json:"version,omitempty"`
	// Cost is the sum of the parts; it is missing for an unacceptable upstream.
	Cost  float64         `json:"cost,omitempty"`
	Parts *PlacementCosts `json:"parts,omitempty"`
}

// PlacementCosts are the parts of the cost of an upstream; see dispatch.CostParts.
type PlacementCosts struct {
	Load      float64 `json:"load"`
	Region    float64 `json:"region"`
	Ownership float64 `json:"ownership"`
	FirstByte float64 `json:"first_byte"`
	Prompts   float64 `json:"prompts"`
	Update    float64 `json:"update"`
}

// errBadQuery is returned for a PlacementQuery that cannot be used. It includes nothing of
// the query, which may have a key.
var errBadQuery = errors.New("not a valid query")

// decode returns the query for the core.
func (p *PlacementQuery) decode() (dispatch.Query, error) {
	budget := time.Duration(p.TimeBudgetMS) * time.Millisecond
	for _, tokens := range []int{p.PromptTokens, p.MaxAnswerTokens, p.ExpectedAnswerTokens} {
		if tokens < 0 || tokens > maxQueryTokens {
			return dispatch.Query{}, errBadQuery
		}
	}
	if p.TimeBudgetMS < 0 || p.TimeBudgetMS > maxQueryBudget.Milliseconds() || p.Limit < 0 || p.Limit > maxExplained {
		return dispatch.Query{}, errBadQuery
	}
	q := dispatch.Query{
		Call: dispatch.Call{
			Host: p.Host, Path: p.Path, Key: p.Key, TimeBudget: budget, Model: p.Model,
			PromptTokens: p.PromptTokens, MaxAnswerTokens: p.MaxAnswerTokens, ExpectedAnswerTokens: p.ExpectedAnswerTokens,
			PromptParts: p.PromptParts,
		},
		Customer: p.Customer, Upstream: p.Upstream, Limit: p.Limit,
	}
	q.Call.Traits = partTraits(&q.Call)
	if q.Limit == 0 {
		q.Limit = defaultExplained
	}
	return q, nil
}

// explainQuery is an event that asks where a request would go. The router puts its reply on
// the ring.
type explainQuery struct {
	query dispatch.Query
	reply *ring.Ring[explainReply]
}

func (explainQuery) event() {}

// explainReply is the reply to an explainQuery. err is set if the core failed.
type explainReply struct {
	explanation dispatch.Explanation
	err         error
}

// serveExplain responds with the Placement of the PlacementQuery in the body.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainTimeout))
	var p PlacementQuery
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(&p) != nil {
		http.Error(w, errBadQuery.Error(), http.StatusBadRequest)
		return
	}
	query, err := p.decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	q := explainQuery{query: query, reply: ring.New[explainReply](1, ring.Wait)}
	if g.inbox.Put(ctx, q) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply, err := q.reply.Take(ctx)
	if err != nil || reply.err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, placementOf(&reply.explanation))
}

func (r *router) replyExplanation(ctx context.Context, now time.Time, q explainQuery) {
	reply := r.explain(now, q.query)
	if reply.err != nil {
		_ = r.gateway.logger.Log("event", "explain-failed", "err", reply.err)
	}
	_ = q.reply.Put(ctx, reply)
}

// explain asks the core. A panic ends only the query: the core changes nothing to explain a
// request, so that it need not be replaced.
func (r *router) explain(now time.Time, q dispatch.Query) (reply explainReply) {
	defer func() {
		if cause := recover(); cause != nil {
			reply.err = fmt.Errorf("panic: %v", cause)
		}
	}()
	reply.explanation = r.core.Explain(now, q)
	return reply
}

// placementOf encodes an explanation.
func placementOf(e *dispatch.Explanation) *Placement {
	out := &Placement{Route: e.Route, Customer: e.Customer, Returning: e.Returning}
	if e.Refusal != nil {
		out.Verdict, out.Reason = e.Refusal.Verdict.String(), e.Refusal.Reason
	}
	for i := range e.Services {
		out.Services = append(out.Services, servicePlacementOf(&e.Services[i]))
	}
	return out
}

func servicePlacementOf(x *dispatch.ServiceExplanation) ServicePlacement {
	out := ServicePlacement{
		Service: x.Service, Weight: x.Weight, Decision: x.Decision.String(), Upstream: x.Upstream, Reason: x.Reason,
		Ahead: x.Ahead, MaxWaitMS: x.MaxWait.Milliseconds(), RetryAfterMS: x.RetryAfter.Milliseconds(),
		Contended: x.Contended, Omitted: x.Omitted,
	}
	for _, n := range x.Counts {
		out.Counts = append(out.Counts, UpstreamCount{State: n.State.String(), Reason: n.Reason, Count: n.Count})
	}
	for i := range x.Upstreams {
		out.Upstreams = append(out.Upstreams, upstreamPlacementOf(&x.Upstreams[i]))
	}
	return out
}

func upstreamPlacementOf(u *dispatch.UpstreamExplanation) UpstreamPlacement {
	out := UpstreamPlacement{
		Upstream: u.Upstream, Region: u.Region, State: u.State.String(), Reason: u.Reason,
		AvoidedForMS: u.AvoidedFor.Milliseconds(), InFlight: u.InFlight, Load: u.Load, Slots: u.Slots, OwnSlots: u.OwnSlots,
		PromptTokens: u.PromptTokens, Version: u.Version,
	}
	if u.State != dispatch.Unacceptable {
		parts := PlacementCosts(u.Cost)
		out.Cost, out.Parts = u.Cost.Total(), &parts
	}
	return out
}
