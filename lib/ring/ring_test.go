package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a full ring that grows or drops the wrong element.
func TestPolicies(t *testing.T) {
	ctx := context.Background()

	refuse := New[int](2, Refuse)
	require.NoError(t, refuse.Put(ctx, 1))
	require.NoError(t, refuse.Put(ctx, 2))
	require.ErrorIs(t, refuse.Put(ctx, 3), ErrFull)
	require.Equal(t, uint64(1), refuse.Drops())

	drop := New[int](2, DropOldest)
	for i := range 4 {
		require.NoError(t, drop.Put(ctx, i))
	}
	v, err := drop.Take(ctx)
	require.NoError(t, err)
	require.Equal(t, 2, v)
	require.Equal(t, uint64(2), drop.Drops())

	wait := New[int](1, Wait)
	require.NoError(t, wait.Put(ctx, 1))
	ended, cancel := context.WithCancel(ctx)
	cancel()
	require.ErrorIs(t, wait.Put(ended, 2), context.Canceled)
}

// Guards against elements lost between Close and the last Take.
func TestCloseDrains(t *testing.T) {
	ctx := context.Background()
	r := New[int](4, Wait)
	require.NoError(t, r.Put(ctx, 1))
	r.Close()
	require.ErrorIs(t, r.Put(ctx, 2), ErrClosed)
	v, err := r.Take(ctx)
	require.NoError(t, err)
	require.Equal(t, 1, v)
	_, err = r.Take(ctx)
	require.ErrorIs(t, err, ErrClosed)
}
