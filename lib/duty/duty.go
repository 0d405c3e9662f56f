// Package duty runs the long-lived goroutines of a process, one for each duty.
package duty

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// Func is the body of a duty. It returns when the context ends or on a failure;
// an error stops the whole group.
type Func func(ctx context.Context) error

// Group runs duties and waits for them. The first error cancels the others.
type Group struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	waitGroup sync.WaitGroup
}

// NewGroup returns a group whose duties end when parent ends.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that the duties run under.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty as one goroutine. A panic is not recovered here, because the
// state that the duty owns may be incomplete and must not be served. A duty that can
// rebuild its state recovers by itself.
func (g *Group) Go(name string, f Func) {
	g.waitGroup.Go(func() {
		if err := f(g.ctx); err != nil && g.ctx.Err() == nil {
			g.cancel(eris.Wrapf(err, "duty %s", name))
		}
	})
}

// Stop cancels all duties without an error.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait blocks until all duties have returned. It returns the error that ended
// the group, or nil if it was stopped.
func (g *Group) Wait() error {
	g.waitGroup.Wait()
	cause := context.Cause(g.ctx)
	if cause == nil || eris.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}
