package soak

import (
	"context"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/ring"
)

// callCapacity is the number of calls that can wait for an owner.
const callCapacity = 64

// owned is a state that one duty owns. Other goroutines pass it functions, which
// the duty runs one after the other.
type owned[S any] struct {
	ctx   context.Context
	calls *ring.Ring[func(*S)]
}

// newOwned starts the duty that owns state. It ends with g.
func newOwned[S any](g *duty.Group, name string, state *S) *owned[S] {
	o := &owned[S]{ctx: g.Context(), calls: ring.New[func(*S)](callCapacity, ring.Wait)}
	g.Go(name, func(ctx context.Context) error {
		for {
			f, err := o.calls.Take(ctx)
			if err != nil {
				return nil
			}
			f(state)
		}
	})
	return o
}

// call runs f on the state in the owner's goroutine and returns its result, or
// the zero value if the owner has ended.
func call[S, T any](o *owned[S], f func(*S) T) T {
	reply := ring.New[T](1, ring.Wait)
	_ = o.calls.Put(o.ctx, func(s *S) { _ = reply.Put(o.ctx, f(s)) })
	v, _ := reply.Take(o.ctx)
	return v
}

// apply runs f on the state in the owner's goroutine and waits until f returns or
// the owner has ended.
func apply[S any](o *owned[S], f func(*S)) {
	call(o, func(s *S) struct{} {
		f(s)
		return struct{}{}
	})
}
