package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
)

// retentionLab starts agents of one region that reduce a root to their share
// soon after loading, and stops the first of them before anything is published.
func retentionLab(t *testing.T, agents int) (*lab.Lab, context.Context) {
	t.Helper()
	o := small()
	o.Agents, o.Entries, o.Regions = agents, 0, []string{"north"}
	o.ModelBytes, o.ChunkBytes = 2<<20, 32<<10
	o.Link, o.OriginLink = 2<<20, 4<<20
	o.ExtraAgent = "linger = 300ms\n"
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	return l, ctx
}

// Guards against agents that keep whole copies after loading, and against a
// late joiner that draws from the origin what its region retains.
func TestBurstLateJoinerAfterRetention(t *testing.T) {
	const agents = 8
	l, ctx := retentionLab(t, agents)
	joiner := l.Agents[0]
	require.NoError(t, l.Signal(joiner, syscall.SIGKILL))
	require.NoError(t, l.Wait(ctx, joiner))
	store, weights, err := l.AddStore(6)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	require.NoError(t, l.AwaitServing(ctx, weights.Root.String(), agents-1))
	require.NoError(t, lab.Await(ctx, func() error {
		var held int64
		for _, p := range l.Agents[1:] {
			s, err := transferStatus(ctx, p)
			if err != nil {
				return err
			}
			held += s.HeldBytes
		}
		// Three copies of each chunk in the region, less what ranked first at
		// the stopped agent.
		if limit := int64(3 * (l.Options.ModelBytes + 4<<10)); held > limit {
			return eris.Errorf("agents hold %d bytes, want at most %d", held, limit)
		}
		return nil
	}))
	before := store.Bytes()
	require.NoError(t, l.Launch(joiner))
	require.NoError(t, l.AwaitServing(ctx, weights.Root.String(), agents))
	require.Equal(t, before, store.Bytes(), "the joiner drew from the origin")
}
