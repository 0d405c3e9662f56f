// Package ring provides bounded typed rings that connect the duties of a
// process.
//
// A ring is the only means by which two duties exchange state. Its capacity is
// fixed, its Policy defines the behaviour when it is full, and neither side
// spins while it waits.
package ring

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Policy defines what Put does on a full ring.
type Policy uint8

const (
	// Refuse makes Put return ErrFull.
	Refuse Policy = iota
	// Wait makes Put block until there is free capacity or the context ends.
	Wait
	// DropOldest makes Put discard the oldest element.
	DropOldest
)

// ErrFull is returned by Put on a full ring whose policy is Refuse.
var ErrFull = errors.New("ring is full")

// ErrClosed is returned by Put after Close and by Take on a closed, empty ring.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded queue of T for any number of senders and receivers.
type Ring[T any] struct {
	items     chan T
	closed    chan struct{}
	closeOnce sync.Once
	policy    Policy
	drops     atomic.Uint64
}

// New returns a ring that holds at most capacity elements; capacity must be
// positive.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{
		items:  make(chan T, capacity),
		closed: make(chan struct{}),
		policy: policy,
	}
}

// Put adds v according to the ring's policy. It returns ErrFull, ErrClosed or
// the context's error; with an error, v was not added.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	switch r.policy {
	case Wait:
		return r.putWait(ctx, v)
	case DropOldest:
		r.putDropOldest(v)
		return nil
	default:
		return r.putRefuse(v)
	}
}

func (r *Ring[T]) putWait(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Ring[T]) putRefuse(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		r.drops.Add(1)
		return ErrFull
	}
}

func (r *Ring[T]) putDropOldest(v T) {
	for {
		select {
		case r.items <- v:
			return
		default:
		}
		select {
		case <-r.items:
			r.drops.Add(1)
		default:
		}
	}
}

// Take removes the oldest element and blocks while there is none. After Close
// it returns the remaining elements and then ErrClosed. It returns the
// context's error if ctx ends while it blocks.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	var zero T
	select {
	case v := <-r.items:
		return v, nil
	default:
	}
	select {
	case v := <-r.items:
		return v, nil
	case <-r.closed:
		return r.takeRemaining()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (r *Ring[T]) takeRemaining() (T, error) {
	var zero T
	select {
	case v := <-r.items:
		return v, nil
	default:
		return zero, ErrClosed
	}
}

// Out returns the receiving side for use in a select statement. Close does not
// close it; select on Closed as well to detect Close.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Closed returns a channel that is closed by Close.
func (r *Ring[T]) Closed() <-chan struct{} { return r.closed }

// Close makes the ring reject further elements. It may be called more than
// once.
func (r *Ring[T]) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

// Depth returns the number of elements in the ring.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the maximum number of elements in the ring.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Drops returns the number of elements rejected or discarded because the ring
// was full.
func (r *Ring[T]) Drops() uint64 { return r.drops.Load() }
