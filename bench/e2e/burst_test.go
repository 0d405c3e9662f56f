package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/wire"
)

// burstLab starts agents with slow links. A transfer takes about two seconds, so
// that a test can inject a fault during it.
func burstLab(t *testing.T, agents int) (*lab.Lab, context.Context) {
	t.Helper()
	o := smallOptions()
	o.Agents, o.Entries = agents, 0
	o.ModelBytes, o.ChunkBytes = 1<<20, 32<<10
	o.Link, o.OriginLink = 512<<10, 1<<20
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	return l, ctx
}

func transferStatus(ctx context.Context, p *lab.Process) (wire.TransferStatus, error) {
	var s wire.TransferStatus
	peers := &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}
	err := peers.GetJSON(ctx, p.Address, wire.PathTransfer, &s)
	return s, err
}

// awaitTransfer waits until the transfer of an agent is in the state that
// reached accepts.
func awaitTransfer(ctx context.Context, t *testing.T, p *lab.Process, reached func(wire.TransferStatus) bool) {
	t.Helper()
	require.NoError(t, lab.Await(ctx, func() error {
		s, err := transferStatus(ctx, p)
		if err == nil && !reached(s) {
			err = eris.Errorf("%s: %+v", p.ID, s)
		}
		return err
	}))
}

func halfComplete(s wire.TransferStatus) bool { return s.Chunks > 0 && s.Missing < s.Chunks/2 }

// Guards against corrupt bytes from the origin that reach an engine, and against
// a transfer that does not complete after the origin sends correct bytes again.
func TestBurstCorruptStoreThenRecovery(t *testing.T) {
	l, ctx := burstLab(t, 4)
	store, weights, err := l.AddStore(1)
	require.NoError(t, err)
	store.Corrupt.Store(true)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	awaitTransfer(ctx, t, l.Agents[0], func(s wire.TransferStatus) bool { return s.CorruptChunks > 1 })
	for _, p := range l.Agents {
		require.False(t, p.Engine.Holds(ctx, weights.Root.String()))
		s, err := transferStatus(ctx, p)
		require.NoError(t, err)
		require.Zero(t, s.HeldBytes, "a corrupt chunk counts as held")
	}
	store.Corrupt.Store(false)
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), 4))
}

// Guards against a transfer that waits for an agent that was killed. The other
// agents must take over its chunks, and the restarted agent must complete too.
func TestBurstAgentKilledInTransfer(t *testing.T) {
	l, ctx := burstLab(t, 6)
	_, weights, err := l.AddStore(2)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	victim := l.Agents[0]
	awaitTransfer(ctx, t, victim, halfComplete)
	require.NoError(t, l.Signal(victim, syscall.SIGKILL))
	require.NoError(t, l.Wait(ctx, victim))
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), 5))
	require.NoError(t, l.Launch(victim))
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), 6))
}

// Guards against an engine that loads weights of a version that was replaced
// during the transfer. The stand-in engine verifies all bytes against the root,
// so that a mix of versions fails to load.
func TestBurstSecondVersionInTransfer(t *testing.T) {
	l, ctx := burstLab(t, 4)
	_, first, err := l.AddStore(3)
	require.NoError(t, err)
	_, second, err := l.AddStore(4)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", first))
	awaitTransfer(ctx, t, l.Agents[0], halfComplete)
	require.NoError(t, l.PublishProfile("burst-2", "v2", second))
	require.NoError(t, l.AwaitLoaded(ctx, second.Root.String(), 4))
	for _, p := range l.Agents {
		s, err := transferStatus(ctx, p)
		require.NoError(t, err)
		require.Equal(t, second.Root, s.Root)
		require.LessOrEqual(t, s.HeldBytes, int64(2*l.Options.ModelBytes))
	}
}

// Guards against a transfer that continues with bytes of another version. The
// origin's ETag changes during the transfer. The transfer must be aborted and
// counted, and must complete later, since the configuration still has the root.
func TestBurstChangedTagEndsTransfer(t *testing.T) {
	l, ctx := burstLab(t, 1)
	store, weights, err := l.AddStore(5)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	awaitTransfer(ctx, t, l.Agents[0], halfComplete)
	store.SetTag("other")
	awaitTransfer(ctx, t, l.Agents[0], func(s wire.TransferStatus) bool { return s.Aborted > 0 })
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), 1))
}

// Guards against a rollback during a transfer after which the abandoned version
// is still loaded or kept in memory.
func TestBurstRollbackInTransfer(t *testing.T) {
	l, ctx := burstLab(t, 3)
	_, first, err := l.AddStore(6)
	require.NoError(t, err)
	_, second, err := l.AddStore(7)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", first))
	require.NoError(t, l.AwaitLoaded(ctx, first.Root.String(), 3))
	require.NoError(t, l.PublishProfile("burst-2", "v2", second))
	awaitTransfer(ctx, t, l.Agents[0], func(s wire.TransferStatus) bool {
		return s.Root == second.Root && halfComplete(s)
	})
	require.NoError(t, l.Publish(func(d *config.Document) { d.Services[0].Profile = "burst-1" }))
	for _, p := range l.Agents {
		awaitTransfer(ctx, t, p, func(s wire.TransferStatus) bool {
			return s.Aborted > 0 && s.HeldBytes <= int64(l.Options.ModelBytes+4<<10)
		})
		require.True(t, p.Engine.Holds(ctx, first.Root.String()))
		require.False(t, p.Engine.Holds(ctx, second.Root.String()))
	}
}

// Guards against a transfer that is blocked by a weight store that refuses all
// requests, and against agents that never try the store. The agents must fetch
// from the origin instead.
func TestBurstBusyStore(t *testing.T) {
	l, ctx := burstLab(t, 2)
	origin, weights, err := l.AddStore(8)
	require.NoError(t, err)
	store, same, err := l.AddStore(8)
	require.NoError(t, err)
	require.Equal(t, weights.Root, same.Root)
	weights.Store = same.Origin
	store.Busy.Store(true)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), 2))
	require.Positive(t, store.Refused.Load())
	require.Zero(t, store.Bytes())
	require.Positive(t, origin.Bytes())
}
