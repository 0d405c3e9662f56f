package bodybudget

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// shortFields is the part of a head with fields that take much more memory than text.
var shortFields = []byte(strings.Repeat("ab:\r\n", 400))

// Guards against a process whose memory heads that stay incomplete use up, and against others
// that get none because of them.
func TestIncompleteHeadsStayWithinTheBudget(t *testing.T) {
	b := New(4 << 20)
	var closed atomic.Int32
	var heads []*Head
	for range 200 {
		var h *Head
		h = b.NewHead(func() {
			closed.Add(1)
			// The connection ends outside of the lock of the budget.
			go h.Complete()
		})
		heads = append(heads, h)
		for range 6 {
			if h.Received(shortFields) != nil {
				break
			}
			require.LessOrEqual(t, b.Stats().Held, b.Stats().Limit)
		}
	}
	require.Positive(t, closed.Load(), "none gave way")
	ordinary := b.NewHead(func() {})
	require.NoError(t, ordinary.Received(make([]byte, 6<<10)), "an ordinary head")
	for _, h := range append(heads, ordinary) {
		h.Complete()
	}
	require.Zero(t, b.Stats().Held)
	require.Zero(t, b.Stats().Incomplete)
}

// Guards against heads of ordinary requests that take part in the budget, and against bytes of
// bodies that count as heads.
func TestOrdinaryHeadsReserveNothing(t *testing.T) {
	b := New(1 << 20)
	h := b.NewHead(func() {})
	for range 3 {
		require.NoError(t, h.Received([]byte(strings.Repeat("Name: some value\r\n", 40))))
		require.Zero(t, b.Stats().Held)
		h.Complete()
		require.NoError(t, h.Received(make([]byte, 1<<20)), "a body")
		require.Zero(t, b.Stats().Held)
		h.Begin()
	}
	require.NoError(t, h.Received(shortFields))
	require.Positive(t, b.Stats().Held)
	h.Complete()
	require.Zero(t, b.Stats().Held)
}

// Guards against a head that displaces others, or holds bytes, although its connection was closed
// right before it asks for them.
func TestHeadThatEndsBeforeItReservesGetsNothing(t *testing.T) {
	b := New(64 * kb)
	stalled := b.open(func() {})
	require.Equal(t, granted, b.request(stalled, b.Stats().Limit))
	h := b.NewHead(func() {})
	ctx, account, n := h.count(shortFields)
	h.Complete()
	require.ErrorIs(t, b.reserve(ctx, account, n), context.Canceled)
	require.Equal(t, uint64(0), b.Stats().Evicted)
	b.close(stalled)
	require.Zero(t, b.Stats().Held)
}

// Guards against reservations that stay for a connection that is closed while it waits for
// memory, or right after.
func TestHeadOfAClosedConnectionHoldsNothing(t *testing.T) {
	b := New(1 << 20)
	var group sync.WaitGroup
	for range 50 {
		h := b.NewHead(func() {})
		group.Go(func() {
			for range 20 {
				if h.Received(shortFields) != nil {
					break
				}
			}
			h.Complete()
		})
		group.Go(h.Complete)
	}
	group.Wait()
	require.Zero(t, b.Stats().Held)
	require.Zero(t, b.Stats().Incomplete)
}
