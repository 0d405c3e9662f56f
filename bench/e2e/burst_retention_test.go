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

// retentionLab starts agents of one region. 300 ms after loading, each agent
// reduces its chunks to the share that it retains.
func retentionLab(t *testing.T, agents int) (*lab.Lab, context.Context) {
	t.Helper()
	o := smallOptions()
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

// Guards against agents that retain complete copies after loading, and against
// an agent that joins late and fetches from the origin the chunks that its
// region retains. The joining agent is stopped before the publication.
func TestBurstLateJoinerAfterRetention(t *testing.T) {
	const agents = 8
	l, ctx := retentionLab(t, agents)
	joiner := l.Agents[0]
	require.NoError(t, l.Signal(joiner, syscall.SIGKILL))
	require.NoError(t, l.Wait(ctx, joiner))
	store, weights, err := l.AddStore(6)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), agents-1))
	require.NoError(t, lab.Await(ctx, func() error {
		var held int64
		for _, p := range l.Agents[1:] {
			s, err := transferStatus(ctx, p)
			if err != nil {
				return err
			}
			held += s.HeldBytes
		}
		// The region retains three copies of each chunk, less the copies that
		// are assigned to the stopped agent.
		if limit := int64(3 * (l.Options.ModelBytes + 4<<10)); held > limit {
			return eris.Errorf("agents hold %d bytes, expected at most %d", held, limit)
		}
		return nil
	}))
	before := store.Bytes()
	require.NoError(t, l.Launch(joiner))
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), agents))
	require.Equal(t, before, store.Bytes(), "the joining agent fetched from the origin")
}
