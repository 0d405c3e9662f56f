package gateway

import (
	"context"
	"slices"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
)

// event is an input of the router, sent through the gateway's inbox.
type event interface{ event() }

// arrival is a new request. Commands for its handler go to the commands ring. ctx ends when
// the caller disconnects.
type arrival struct {
	ctx      context.Context
	ticket   dispatch.Ticket
	call     dispatch.Call
	commands *ring.Ring[command]
}

// headReceived carries what the head of a response reports about its upstream.
type headReceived struct {
	ticket      dispatch.Ticket
	observation dispatch.Observation
}

// responseStarted reports that the response to a streaming request has started,
// responseGoesOn that it has gone on for a time.
type (
	responseStarted struct{ ticket dispatch.Ticket }
	responseGoesOn  struct {
		ticket   dispatch.Ticket
		answered time.Duration
	}
)

// attemptEnded reports how an attempt ended. conn is the connection if it can be
// reused, and nil otherwise.
type attemptEnded struct {
	ticket dispatch.Ticket
	result dispatch.AttemptResult
	conn   *exchange.Conn
}

// attemptSilent reports that nothing has come from the upstream of an attempt for a while,
// attemptResumed that it goes on. Commands for hedges go to the hedges ring.
type (
	attemptSilent struct {
		ticket  dispatch.Ticket
		hedges  *ring.Ring[command]
		silence dispatch.Silence
	}
	attemptResumed struct{ ticket dispatch.Ticket }
)

// callerDisconnected reports that a caller disconnected while its handler waited
// for a command.
type callerDisconnected struct{ ticket dispatch.Ticket }

func (arrival) event()            {}
func (headReceived) event()       {}
func (responseStarted) event()    {}
func (responseGoesOn) event()     {}
func (attemptEnded) event()       {}
func (attemptSilent) event()      {}
func (attemptResumed) event()     {}
func (callerDisconnected) event() {}

// command tells a handler what to do next.
type command struct {
	action dispatch.Action
	// conn is an idle connection for a dispatch.Send. It is nil if there is none.
	conn *exchange.Conn
	// ctx is the context of the attempt of a dispatch.Send, and cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// activeRequest is a request that has a handler. Its latest attempt is part of it;
// inAttempt is set while that is in progress. orphaned is set if the core that sent it was
// replaced.
type activeRequest struct {
	activeAttempt
	ctx      context.Context
	commands *ring.Ring[command]
	call     dispatch.Call
	// hedges takes the commands for hedges, and hedge is the one in progress; nil if there is
	// none.
	hedges    *ring.Ring[command]
	hedge     *activeAttempt
	inAttempt bool
	orphaned  bool
	// interrupted is set once an orphaned request was interrupted at the end of a stop.
	interrupted bool
}

// activeAttempt is an attempt of a request. interrupt ends it.
type activeAttempt struct {
	upstream  fleet.InstanceID
	conn      *exchange.Conn
	interrupt context.CancelCauseFunc
}

const (
	// queueInterval is the time between two ticks of the core while requests are
	// queued, idleInterval the time between two ticks otherwise. Each tick also
	// closes expired idle connections.
	queueInterval = 20 * time.Millisecond
	idleInterval  = 500 * time.Millisecond
)

// router is the state of the router duty, the goroutine that owns the dispatch
// core, the active requests and the idle connections to upstreams.
type router struct {
	gateway        *Gateway
	core           *dispatch.Core
	active         map[dispatch.Ticket]*activeRequest
	idleConns      map[fleet.InstanceID][]*exchange.Conn
	knownUpstreams map[fleet.InstanceID]bool
	// convicted maps the traits that were convicted at the last check to their
	// episodes.
	convicted map[poison.Trait]int
	peers     *peering.Table
	view      *published.View
	// revision is the revision of the newest item in the view.
	revision published.Revision
	// stopEnd is when a planned stop is over; zero if none has begun.
	stopEnd time.Time
}

func (g *Gateway) runRouter(ctx context.Context) error {
	r := &router{
		gateway:        g,
		core:           dispatch.New(g.settings.Dispatch),
		active:         map[dispatch.Ticket]*activeRequest{},
		idleConns:      map[fleet.InstanceID][]*exchange.Conn{},
		knownUpstreams: map[fleet.InstanceID]bool{},
		peers:          peering.NewTable(g.settings.Peers, g.settings.Dispatch.Region, g.settings.Seeds),
	}
	gossip := time.NewTicker(peering.SendInterval)
	defer gossip.Stop()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	nextTick := time.Now().Add(idleInterval)
	// Peers are told at once, and the core learns its place among them before it sends.
	r.protect(ctx, func() { r.gossip(ctx, time.Now()) })
	for {
		select {
		case v := <-g.views.Out():
			r.protect(ctx, func() { r.applyView(ctx, v) })
		case ev := <-g.inbox.Out():
			r.protect(ctx, func() { r.handleEvent(ctx, ev) })
		case <-gossip.C:
			r.protect(ctx, func() { r.gossip(ctx, time.Now()) })
		case <-timer.C:
			r.protect(ctx, func() { r.tick(ctx) })
			nextTick = time.Time{}
		case <-ctx.Done():
			return nil
		}
		nextTick = r.schedule(timer, nextTick)
	}
}

// tick lets the core handle the passing of time and closes expired idle connections.
func (r *router) tick(ctx context.Context) {
	now := time.Now()
	r.execute(ctx, r.core.Tick(now))
	r.endStop(ctx, now)
	r.closeExpired(now)
}

// schedule makes sure that the timer fires within queueInterval if requests are
// queued, or within idleInterval otherwise. nextTick is the time for which the
// timer is set, or zero if it has fired. It returns the time of the next tick.
func (r *router) schedule(timer *time.Timer, nextTick time.Time) time.Time {
	interval := idleInterval
	if r.core.Waiting() > 0 {
		interval = queueInterval
	}
	next := time.Now().Add(interval)
	if !nextTick.IsZero() && nextTick.Before(next) {
		return nextTick
	}
	timer.Reset(interval)
	return next
}

func (r *router) applyView(ctx context.Context, v *published.View) {
	if v.Config != nil {
		r.gateway.configured.Store(true)
		if n := v.Config.Limits.BodyBytes; n > 0 {
			r.gateway.maxBodyBytes.Store(n)
		}
	}
	r.view, r.revision = v, v.Revision
	clear(r.knownUpstreams)
	for _, u := range v.Upstreams {
		r.knownUpstreams[u.ID] = true
	}
	for id, list := range r.idleConns {
		if r.knownUpstreams[id] {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(r.idleConns, id)
	}
	r.execute(ctx, r.core.Update(time.Now(), v))
}

func (r *router) handleEvent(ctx context.Context, ev event) {
	now := time.Now()
	switch ev := ev.(type) {
	case arrival:
		r.active[ev.ticket] = &activeRequest{ctx: ev.ctx, commands: ev.commands, call: ev.call}
		r.execute(ctx, r.core.Arrive(now, ev.ticket, ev.call))
	case peerMessage:
		r.handlePeerMessage(ctx, now, ev.message)
	case stopStarted:
		r.startStop(ctx, now, ev.end)
	case stopOver:
		r.tick(ctx)
	case seedUpdate:
		r.peers.SetSeeds(ev.seeds)
	case rosterQuery:
		r.replyRoster(ctx, now, ev)
	case explainQuery:
		r.replyExplanation(ctx, now, ev)
	case headReceived:
		r.core.Observe(now, ev.ticket, ev.observation)
	case responseStarted:
		r.execute(ctx, r.core.ResponseStarted(now, ev.ticket))
	case responseGoesOn:
		r.execute(ctx, r.core.ResponseGoesOn(now, ev.ticket, ev.answered))
	case attemptSilent:
		if req := r.active[ev.ticket]; req != nil {
			req.hedges = ev.hedges
			r.execute(ctx, r.core.AttemptSilent(now, ev.ticket, ev.silence))
		}
	case attemptResumed:
		r.execute(ctx, r.core.AttemptResumed(now, ev.ticket))
	case attemptEnded:
		r.handleAttemptEnd(ctx, now, ev)
	case attemptReplaced:
		r.handleReplacement(ctx, now, ev)
	case hedgeSilent:
		r.core.HedgeSilent(now, ev.ticket, ev.since)
	case hedgeDropped:
		r.endHedge(ev.ticket, ev.conn)
		r.execute(ctx, r.core.HedgeDropped(now, ev.ticket))
	case hedgeEnded:
		r.endHedge(ev.ticket, ev.conn)
		r.execute(ctx, r.core.HedgeEnded(now, ev.ticket, ev.result))
		if ev.result.End.Crash() {
			r.checkConvictions(now)
		}
	case callerDisconnected:
		if req := r.active[ev.ticket]; req != nil && req.conn != nil {
			req.conn.Close()
		}
		delete(r.active, ev.ticket)
		r.execute(ctx, r.core.Cancel(now, ev.ticket))
	}
}

func (r *router) handleAttemptEnd(ctx context.Context, now time.Time, ev attemptEnded) {
	req := r.active[ev.ticket]
	if req == nil {
		if ev.conn != nil {
			ev.conn.Close()
		}
		return
	}
	r.endAttempt(&req.activeAttempt, ev.conn)
	req.abandonHedge()
	if !req.orphaned {
		r.protect(ctx, func() {
			actions := r.core.AttemptEnded(now, ev.ticket, ev.result)
			req.inAttempt = false
			r.execute(ctx, actions)
			if ev.result.End.Crash() {
				r.checkConvictions(now)
			}
		})
	}
	if req.orphaned {
		r.endOrphan(ctx, ev)
	}
}

// putIdle makes a connection available for the next request. It closes the
// connection if its upstream is no longer in the view.
func (r *router) putIdle(id fleet.InstanceID, c *exchange.Conn) {
	if !r.knownUpstreams[id] {
		c.Close()
		return
	}
	r.idleConns[id] = append(r.idleConns[id], c)
}

// takeIdle removes and returns the most recently used idle connection to an
// upstream on which a request was not refused before, or nil if there is none. Reusing
// the most recent one lets the other connections expire.
func (r *router) takeIdle(id fleet.InstanceID, request string) *exchange.Conn {
	list := r.idleConns[id]
	for i, c := range slices.Backward(list) {
		if !c.HasRefused(request) {
			r.idleConns[id] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (r *router) closeExpired(now time.Time) {
	for id, list := range r.idleConns {
		remaining := list[:0]
		for _, c := range list {
			if c.Expired(now) {
				c.Close()
				continue
			}
			remaining = append(remaining, c)
		}
		r.idleConns[id] = remaining
	}
}

// execute sends the core's actions to the handlers as commands.
func (r *router) execute(ctx context.Context, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			r.executeSend(ctx, &a)
		case dispatch.Interrupt:
			if req := r.active[a.Ticket]; req != nil {
				r.gateway.metrics.interrupts.Inc()
				req.interruptAll()
			}
		case dispatch.Deliver:
			r.sendCommand(ctx, a.Ticket, command{action: a}, true)
		case dispatch.Refuse:
			r.gateway.metrics.recordRefusal(&a)
			r.gateway.countStop(&a)
			r.sendCommand(ctx, a.Ticket, command{action: a}, true)
		case dispatch.Finish:
			r.sendCommand(ctx, a.Ticket, command{action: a}, true)
		}
	}
}

// executeSend begins an attempt.
func (r *router) executeSend(ctx context.Context, a *dispatch.Send) {
	req := r.active[a.Ticket]
	r.recordProbe(req, a)
	attemptCtx, interrupt := context.WithCancelCause(req.ctx)
	attempt := activeAttempt{upstream: a.Upstream, conn: r.takeIdle(a.Upstream, req.call.ID), interrupt: interrupt}
	cmd := command{action: *a, conn: attempt.conn, ctx: attemptCtx, cancel: interrupt}
	if a.Hedge {
		r.logHedge(req, a)
		req.hedge = &attempt
		_ = req.hedges.Put(ctx, cmd)
		return
	}
	req.activeAttempt, req.inAttempt = attempt, true
	if a.Ranked && a.Attempt == 1 {
		r.gateway.metrics.recordRank(a.Rank, "sent")
	}
	r.sendCommand(ctx, a.Ticket, cmd, false)
}

// endAttempt ends an attempt. Its connection is nil if it cannot be used again.
func (r *router) endAttempt(a *activeAttempt, conn *exchange.Conn) {
	a.conn = nil
	a.interrupt(nil)
	if conn != nil {
		r.putIdle(a.upstream, conn)
	}
}

// sendCommand sends a command to a handler. last marks the last command of a
// request. The put does not block, because a handler has at most one command at
// a time.
func (r *router) sendCommand(ctx context.Context, t dispatch.Ticket, cmd command, last bool) {
	req := r.active[t]
	if req == nil {
		return
	}
	if last {
		delete(r.active, t)
	}
	_ = req.commands.Put(ctx, cmd)
}
