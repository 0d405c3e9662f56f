package soak

import (
	"context"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/ring"
)

// askRoom is the number of questions that wait for an owner.
const askRoom = 64

// owned is a state that one duty owns; others hand it functions to run.
type owned[S any] struct {
	ctx  context.Context
	asks *ring.Ring[func(*S)]
}

func own[S any](g *duty.Group, name string, state *S) *owned[S] {
	o := &owned[S]{ctx: g.Context(), asks: ring.New[func(*S)](askRoom, ring.Wait)}
	g.Go(name, func(ctx context.Context) error {
		for {
			f, err := o.asks.Take(ctx)
			if err != nil {
				return nil
			}
			f(state)
		}
	})
	return o
}

// ask runs f on the state and returns its answer, or the zero value if the
// owner has ended.
func ask[S, T any](o *owned[S], f func(*S) T) T {
	reply := ring.New[T](1, ring.Wait)
	_ = o.asks.Put(o.ctx, func(s *S) { _ = reply.Put(o.ctx, f(s)) })
	v, _ := reply.Take(o.ctx)
	return v
}

// tell runs f on the state and waits until it has.
func tell[S any](o *owned[S], f func(*S)) {
	ask(o, func(s *S) struct{} {
		f(s)
		return struct{}{}
	})
}
