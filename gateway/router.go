package gateway

import (
	"context"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
)

// event is an input of the router.
type event interface{ event() }

// arrival is a new request; orders for its handler go to reply.
type arrival struct {
	ticket dispatch.Ticket
	call   dispatch.Call
	reply  *ring.Ring[order]
}

// observed carries what the head of an answer said of its upstream.
type observed struct {
	ticket dispatch.Ticket
	seen   dispatch.Observation
}

// began says that the answer to a request began.
type began struct{ ticket dispatch.Ticket }

// ended says how an attempt ended. A connection that can be used again comes
// back with it.
type ended struct {
	ticket dispatch.Ticket
	end    dispatch.AttemptResult
	conn   *exchange.Conn
}

// left says that a caller left while its handler waited for an order.
type left struct{ ticket dispatch.Ticket }

func (arrival) event()  {}
func (observed) event() {}
func (began) event()    {}
func (ended) event()    {}
func (left) event()     {}

// order tells a handler what to do next.
type order struct {
	action dispatch.Action
	// conn is an idle connection for a dispatch.Send; nil if there is none.
	conn *exchange.Conn
}

// flight is a request that a handler carries.
type flight struct {
	reply    *ring.Ring[order]
	call     dispatch.Call
	upstream fleet.InstanceID
	conn     *exchange.Conn
}

const (
	// waitTick is the time between two looks at waiting requests, idleTick at
	// idle connections.
	waitTick = 20 * time.Millisecond
	idleTick = 500 * time.Millisecond
)

// router owns the decisions of a gateway, the requests in flight and the idle
// connections to upstreams.
type router struct {
	gateway *Gateway
	core    *dispatch.Core
	flights map[dispatch.Ticket]*flight
	idle    map[fleet.InstanceID][]*exchange.Conn
	present map[fleet.InstanceID]bool
	peers   *peering.Table
	view    *published.View
	// revision is that of the newest item in the view.
	revision uint64
	// informed says that a peer's view was asked for since the start.
	informed bool
	// unsureUntil is when peers are asked no longer since when versions are
	// wanted, asked counts the questions.
	unsureUntil time.Time
	asked       int
}

func (g *Gateway) runRouter(ctx context.Context) error {
	r := &router{
		gateway: g,
		core:    dispatch.New(g.settings.Dispatch),
		flights: map[dispatch.Ticket]*flight{},
		idle:    map[fleet.InstanceID][]*exchange.Conn{},
		present: map[fleet.InstanceID]bool{},
		peers:   peering.NewTable(g.settings.Peers, g.settings.Seeds),
	}
	gossip := time.NewTicker(peering.SendInterval)
	defer gossip.Stop()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	due := time.Now().Add(idleTick)
	for {
		select {
		case v := <-g.views.Out():
			r.update(ctx, v)
		case ev := <-g.inbox.Out():
			r.step(ctx, ev)
		case <-gossip.C:
			r.gossip(ctx, time.Now())
		case <-timer.C:
			r.carryOut(ctx, r.core.Tick(time.Now()))
			r.closeIdle(time.Now())
			due = time.Time{}
		case <-ctx.Done():
			return nil
		}
		due = r.schedule(timer, due)
	}
}

// schedule sets the next tick: soon while requests wait.
func (r *router) schedule(timer *time.Timer, due time.Time) time.Time {
	pause := idleTick
	if r.core.Waiting() > 0 {
		pause = waitTick
	}
	next := time.Now().Add(pause)
	if !due.IsZero() && due.Before(next) {
		return due
	}
	timer.Reset(pause)
	return next
}

func (r *router) update(ctx context.Context, v *published.View) {
	if v.Config != nil {
		r.gateway.configured.Store(true)
		if n := v.Config.Limits.BodyBytes; n > 0 {
			r.gateway.bodyBytes.Store(n)
		}
	}
	r.noteUnsure(time.Now(), v)
	r.view, r.revision = v, v.Revision
	clear(r.present)
	for _, u := range v.Upstreams {
		r.present[u.ID] = true
	}
	for id, list := range r.idle {
		if r.present[id] {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(r.idle, id)
	}
	r.carryOut(ctx, r.core.Update(time.Now(), v))
}

func (r *router) step(ctx context.Context, ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case arrival:
		r.flights[ev.ticket] = &flight{reply: ev.reply, call: ev.call}
		r.carryOut(ctx, r.core.Arrive(now, ev.ticket, ev.call))
	case heard:
		r.heard(ctx, now, ev.message)
	case newSeeds:
		r.peers.SetSeeds(ev.seeds)
	case rosterAsk:
		r.roster(ctx, now, ev)
	case observed:
		r.core.Observe(now, ev.ticket, ev.seen)
	case began:
		r.carryOut(ctx, r.core.ResponseStarted(now, ev.ticket))
	case ended:
		r.end(ctx, now, ev)
	case left:
		if f := r.flights[ev.ticket]; f != nil && f.conn != nil {
			f.conn.Close()
		}
		delete(r.flights, ev.ticket)
		r.carryOut(ctx, r.core.Cancel(now, ev.ticket))
	}
}

func (r *router) end(ctx context.Context, now time.Time, ev ended) {
	f := r.flights[ev.ticket]
	if f == nil {
		if ev.conn != nil {
			ev.conn.Close()
		}
		return
	}
	f.conn = nil
	if ev.conn != nil {
		r.keep(f.upstream, ev.conn)
	}
	r.carryOut(ctx, r.core.AttemptEnded(now, ev.ticket, ev.end))
}

// keep puts a connection back for the next request.
func (r *router) keep(id fleet.InstanceID, c *exchange.Conn) {
	if !r.present[id] {
		c.Close()
		return
	}
	r.idle[id] = append(r.idle[id], c)
}

// borrow takes the connection that was used last, so that the others age.
func (r *router) borrow(id fleet.InstanceID) *exchange.Conn {
	list := r.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	r.idle[id] = list[:len(list)-1]
	return c
}

func (r *router) closeIdle(now time.Time) {
	for id, list := range r.idle {
		kept := list[:0]
		for _, c := range list {
			if c.Expired(now) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		r.idle[id] = kept
	}
}

// carryOut gives the core's actions to the handlers.
func (r *router) carryOut(ctx context.Context, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			f := r.flights[a.Ticket]
			f.upstream = a.Upstream
			f.conn = r.borrow(a.Upstream)
			r.order(ctx, a.Ticket, order{action: a, conn: f.conn}, false)
		case dispatch.Deliver:
			r.order(ctx, a.Ticket, order{action: a}, true)
		case dispatch.Refuse:
			r.gateway.metrics.refused(a.Verdict)
			r.order(ctx, a.Ticket, order{action: a}, true)
		case dispatch.Finish:
			r.order(ctx, a.Ticket, order{action: a}, true)
		}
	}
}

// order tells a handler what to do. Its ring has room, because a handler has
// one order at a time.
func (r *router) order(ctx context.Context, t dispatch.Ticket, o order, last bool) {
	f := r.flights[t]
	if f == nil {
		return
	}
	if last {
		delete(r.flights, t)
	}
	_ = f.reply.Put(ctx, o)
}
