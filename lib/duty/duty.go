// Package duty runs the long-lived goroutines of a process, one for each duty.
package duty

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// Func is the body of a duty. It returns when the context ends or when it
// cannot go on; an error ends the whole group.
type Func func(ctx context.Context) error

// Group starts duties and waits for them. The first error cancels the others.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wait   sync.WaitGroup
}

// NewGroup returns a group whose duties end when parent ends.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that the duties run under.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty. A panic in a duty is not recovered: state whose owner
// failed half way must not be served.
func (g *Group) Go(name string, f Func) {
	g.wait.Go(func() {
		if err := f(g.ctx); err != nil && g.ctx.Err() == nil {
			g.cancel(eris.Wrapf(err, "duty %s", name))
		}
	})
}

// Stop ends all duties without an error.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait blocks until every duty has returned. It returns the error that ended
// the group, or nil if it was stopped.
func (g *Group) Wait() error {
	g.wait.Wait()
	cause := context.Cause(g.ctx)
	if cause == nil || eris.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}
