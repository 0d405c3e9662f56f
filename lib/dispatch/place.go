package dispatch

import (
	"slices"
	"time"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/staging"
)

const (
	// remoteCost is how much more loaded, as a share of its slots, an upstream
	// of the own region may be before another region is used.
	remoteCost = 0.3
	// engineRoom is the part of an engine's slots that is used. A request that
	// waits in the engine cannot go elsewhere any more.
	engineRoom = 1.0
	// backRoom is that part for requests that come back after a refusal. They
	// are late already, and each one that is served while others arrive makes
	// another one late.
	backRoom = 0.75
	// scarceRoom is that part for them while new requests wait or are refused
	// anywhere.
	scarceRoom = 0.5
	// resumeRoom is that part for requests that an upstream lost: an answer may
	// have begun, and its caller waits for the next event.
	resumeRoom = 1.25
	// plainRoom is that part for plain services, whose requests are short.
	plainRoom = 2.0
	// readingRoom is the part of a service's goal that the prompts which wait at
	// an engine may take to be read: it reads them one after the other.
	readingRoom = 0.35
	// readingCost is what a time of reading of the route's whole goal adds to
	// the cost of an engine.
	readingCost = 1.0
	// slowCost is what a time to the first byte of the route's whole goal adds
	// to the cost of an upstream.
	slowCost = 0.2
	// firstByteGoals and gapGoals bound the silence of an upstream, in times of
	// what the route asks for, and leastSilence bounds both from below.
	firstByteGoals = 4
	gapGoals       = 4
	leastSilence   = time.Second
)

// try sends a request to an upstream with room, if there is one.
func (c *Core) try(now time.Time, s *service, r *request) (Send, bool) {
	u := c.pick(now, s, r)
	if u == nil {
		return Send{}, false
	}
	return c.send(now, s, r, u), true
}

func (c *Core) send(now time.Time, s *service, r *request, u *upstream) Send {
	u.take(now, s.coldBound > 0)
	r.at = u
	r.reading = true
	u.prompt += r.Prompt
	r.attempts++
	send := Send{
		Ticket:    r.ticket,
		Upstream:  u.ID,
		Address:   u.Address,
		Customer:  r.customerName(),
		Deadline:  r.deadline,
		Streaming: r.route.Kind == published.Streaming,
		Hold:      r.route.Idempotent(),
		Waited:    now.Sub(r.arrived),
		Number:    r.attempts,
	}
	if s.published != nil && s.published.Engine != nil {
		send.ExpectVersion = u.serves(now, r.Model, s.published.Engine.Layers)
	}
	if r.route.Idempotent() {
		send.FirstByte = max(firstByteGoals*r.route.Goal, leastSilence)
	}
	if send.Streaming {
		send.Gap = max(gapGoals*r.route.GapGoal, leastSilence)
	}
	return send
}

// least returns the version below which the weights of an upstream may begin no
// more requests, or 0. A request begins with its first token, which takes longer
// the more the upstream has to do.
func (c *Core) least(now time.Time, e *published.Engine, r *request, u *upstream) int64 {
	first := max(u.firstByte, reading(e, u.unread(now)+r.Prompt))
	margin := versionMargin + time.Duration(beginFactor*float64(first))
	return c.view.Wanted[r.Model].Due(now, c.settings.VersionWithin-margin)
}

// pick returns the best upstream with room, or nil. Upstreams that failed or
// refused lately are used only if all others did so too.
func (c *Core) pick(now time.Time, s *service, r *request) *upstream {
	if s.published == nil {
		return nil
	}
	var best, avoided *upstream
	bestCost := 0.0
	healthy := false
	for _, u := range s.upstreams {
		if !c.acceptable(now, s, r, u) {
			continue
		}
		if slices.Contains(r.tried, u.ID) {
			continue
		}
		if now.Before(u.avoid) {
			if u.strikes > 0 && u.mine == 0 && (avoided == nil || u.avoid.Before(avoided.avoid)) {
				avoided = u
			}
			continue
		}
		healthy = true
		if !c.hasRoom(now, s, r, u) {
			continue
		}
		if cost := c.cost(now, s, r, u); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil && !healthy && avoided != nil && c.hasRoom(now, s, r, avoided) {
		return avoided
	}
	return best
}

// acceptable reports whether an upstream may get a request at all.
func (c *Core) acceptable(now time.Time, s *service, r *request, u *upstream) bool {
	if u.Draining || c.view.Out[u.Domain] || !c.allowed(r, u) {
		return false
	}
	e := s.published.Engine
	if e == nil {
		return true
	}
	v := u.serves(now, r.Model, e.Layers)
	if v == 0 || v < c.least(now, e, r, u) {
		return false
	}
	return r.version == 0 || v == r.version
}

// allowed reports whether the regions of route and customer include the
// upstream's.
func (c *Core) allowed(r *request, u *upstream) bool {
	if len(r.route.Regions) > 0 && !slices.Contains(r.route.Regions, u.region) {
		return false
	}
	return r.customer == nil || len(r.customer.Regions) == 0 || slices.Contains(r.customer.Regions, u.region)
}

func (c *Core) hasRoom(now time.Time, s *service, r *request, u *upstream) bool {
	if !u.bears(now, s.coldBound) {
		return false
	}
	e := s.published.Engine
	if e == nil {
		return float64(u.load(now)) < plainRoom*float64(u.Slots)
	}
	if r.ran > 0 {
		return float64(u.load(now)) < resumeRoom*float64(u.Slots)
	}
	room := engineRoom
	if r.returning {
		room = backRoom
		if s.contended(now) {
			room = scarceRoom
		}
	}
	if float64(u.load(now)) >= room*float64(u.Slots) || u.mine >= s.quota(now, u) {
		return false
	}
	unread := u.unread(now)
	return unread == 0 || reading(e, unread+r.Prompt) <= time.Duration(readingRoom*float64(s.goal))
}

// reading returns how long an engine reads a number of prompt tokens.
func reading(e *published.Engine, tokens int) time.Duration {
	if e.PromptPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PromptPerSecond * float64(time.Second))
}

// cost compares upstreams: the load after one more request as a share of the
// slots, and what distance, slowness and a coming change of weights add.
func (c *Core) cost(now time.Time, s *service, r *request, u *upstream) float64 {
	cost := (float64(u.load(now)+1) + u.unheard(now, s)) / float64(max(u.Slots, 1))
	if u.region != c.settings.Region {
		cost += remoteCost
	}
	if goal := r.route.Goal; goal > 0 {
		cost += slowCost * min(float64(u.firstByte)/float64(goal), 2)
	}
	if e := s.published.Engine; e != nil && r.route.Goal > 0 {
		cost += readingCost * float64(reading(e, u.unread(now))) / float64(r.route.Goal)
	}
	if e := s.published.Engine; e != nil && !u.turn.IsZero() && u.serves(now, r.Model, e.Layers) < c.view.Wanted[r.Model].Version {
		over := now.Add(r.duration(e)).Sub(u.turn)
		cost += turnCost * min(max(over.Seconds(), 0), turnMost.Seconds())
	}
	return cost
}

const (
	// turnCost is what each second adds that a request would run on after its
	// engine's turn to take new weights; the engine takes no requests meanwhile.
	turnCost = 0.3
	turnMost = 2 * time.Second
	// prefillShare is how much longer a token takes while the engine reads the
	// prompts of others in between.
	prefillShare = 1.5
)

// duration estimates how long an engine takes for the request.
func (r *request) duration(e *published.Engine) time.Duration {
	return time.Duration(prefillShare * float64(e.Token) * float64(r.Answer))
}

// setTurns computes when the engines of each service take the wanted weights.
func (c *Core) setTurns(now time.Time) {
	for _, s := range c.services {
		if s.published == nil || s.published.Engine == nil || len(s.published.Engine.Models) == 0 {
			continue
		}
		model := s.published.Engine.Models[0]
		w, ok := c.view.Wanted[model]
		if !ok {
			continue
		}
		addresses := make([]string, 0, len(s.upstreams))
		for _, u := range s.upstreams {
			addresses = append(addresses, u.Address)
		}
		for _, u := range s.upstreams {
			rank := staging.Rank(u.Address, addresses, w.Version)
			loaded := u.serves(now, model, s.published.Engine.Layers)
			u.turn = staging.SlotStart(w, loaded, c.settings.VersionWithin, rank, len(addresses))
		}
	}
}
