package gateway

import (
	"context"
	"errors"
	"sync"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/ring"
)

// errOvertaken ends an attempt because another one of the same request was the first to make
// progress.
var errOvertaken = errors.New("another attempt of the request made progress first")

// turn decides which attempt of a request may write to its caller: the current one, until its
// hedge is the first to make progress.
type turn struct {
	mu sync.Mutex
	// current is the attempt whose turn it is, and hedge the one beside it; nil if there is
	// none.
	current, hedge *attemptRun
	// silent is set while a hedge may begin, and received is what the caller had received when
	// the current attempt fell silent.
	silent   bool
	received received
}

// begin gives the turn to the first attempt of a command.
func (t *turn) begin(r *attemptRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current, t.hedge, t.silent = r, nil, false
}

// fallSilent records that an attempt makes no progress. It returns false if the attempt is not
// the current one.
func (t *turn) fallSilent(r *attemptRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return false
	}
	t.silent, t.received = true, r.received
	return true
}

// beginHedge lets a hedge of an attempt begin. It returns false if the attempt has gone on or
// ended.
func (t *turn) beginHedge(h, of *attemptRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != of || !t.silent {
		return false
	}
	t.hedge, h.received = h, t.received
	return true
}

// endHedge records that a hedge has ended. It returns false if the hedge has the turn.
func (t *turn) endHedge(h *attemptRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hedge == h {
		t.hedge = nil
	}
	return t.current != h
}

// advance records that an attempt has made progress, which it may then write to the caller. The
// other attempt of the request ends. A hedge waits until the attempt whose place it takes has
// ended. advance returns an error if the turn has gone to another attempt, or the attempt ends.
func (t *turn) advance(r *attemptRun) error {
	if !t.take(r) {
		return errOvertaken
	}
	if r.turnComes == nil {
		return nil
	}
	select {
	case <-r.turnComes:
		return nil
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	}
}

// take ends the other attempt of the request and gives the turn to r, unless it has gone to
// another attempt.
func (t *turn) take(r *attemptRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.current == r:
		t.dropHedge()
	case t.hedge == r:
		t.current.cancel(exchange.ErrInterrupted)
		t.current, t.hedge, t.silent = r, nil, false
	default:
		return false
	}
	return true
}

func (t *turn) dropHedge() {
	t.silent = false
	if t.hedge != nil {
		t.hedge.cancel(errOvertaken)
		t.hedge = nil
	}
}

// hold calls a function that writes to the caller what is no progress. The turn does not
// change meanwhile.
func (t *turn) hold(r *attemptRun, write func() error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return errOvertaken
	}
	return write()
}

// end records the end of the attempt that had the turn. It returns the hedge that takes its
// place: one that made progress, or one that still runs if the attempt got no answer.
func (t *turn) end(r *attemptRun) *attemptRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return t.current
	}
	out := &r.outcome
	if t.hedge == nil || out.End == retry.Canceled || out.End == retry.Answered && out.Held == nil {
		t.dropHedge()
		return nil
	}
	t.current, t.hedge, t.silent = t.hedge, nil, false
	return t.current
}

// hedging is the duty that sends the hedges of a silent attempt, one after the other.
type hedging struct {
	// commands takes the router's commands.
	commands *ring.Ring[command]
	cancel   context.CancelFunc
	ended    chan struct{}
}

// startHedging starts the duty. It ends when it is stopped, or with the end of a hedge that has
// taken the place of the attempt.
func (c *callHandler) startHedging(of *attemptRun) *hedging {
	ctx, cancel := context.WithCancel(c.r.Context())
	h := &hedging{commands: ring.New[command](1, ring.Wait), cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(h.ended)
		defer cancel()
		for c.sendHedge(ctx, of, h.commands) {
		}
	}()
	return h
}

// stop ends the duty and its hedge, and waits until the router has been told.
func (h *hedging) stop() {
	if h == nil {
		return
	}
	h.cancel()
	<-h.ended
}

// sendHedge waits for a command and sends the hedge. It returns whether another one may
// follow.
func (c *callHandler) sendHedge(ctx context.Context, of *attemptRun, commands *ring.Ring[command]) bool {
	cmd, err := commands.Take(ctx)
	if err != nil {
		return false
	}
	a, ok := cmd.action.(dispatch.Send)
	if !ok {
		return true
	}
	run := c.newRun(&a, &cmd, received{})
	run.turnComes, run.ended = make(chan struct{}), make(chan struct{})
	if !c.turn.beginHedge(run, of) {
		run.cancel(errOvertaken)
		c.report(hedgeDropped{ticket: c.ticket, conn: run.conn})
		return true
	}
	run.execute()
	if !c.turn.endHedge(run) {
		close(run.ended)
		return false
	}
	c.report(hedgeEnded{ticket: c.ticket, result: run.outcome.AttemptResult, conn: run.conn})
	return true
}
