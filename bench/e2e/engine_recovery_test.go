package e2e

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/standin"
)

// Guards against an engine that stays empty after a restart because its agent
// has already dropped the chunks that other agents retain.
func TestEmptyEngineIsLoadedAgain(t *testing.T) {
	o := smallOptions()
	o.Engine = standin.EngineOptions{ChecksFence: true, TokenTime: time.Millisecond}
	o.ExtraAgent = "linger = 100ms\n"
	ctx, l, w := engineLab(t, o)
	for _, p := range l.Agents {
		p.Engine.Restart(ctx)
		require.NoError(t, lab.Await(ctx, func() error {
			if !p.Engine.Holds(ctx, w.Root.String()) {
				return fmt.Errorf("%s is empty", p.ID)
			}
			return nil
		}))
		require.NoError(t, l.AwaitReady(ctx, w.Root, p))
	}
	for _, p := range l.Agents {
		require.Zero(t, p.Engine.Counts(ctx).Fenced, p.ID)
	}
}

// Guards against an agent that does not recover after its engine was down, and
// against calls that succeed or reach the engine while it is down.
func TestEngineDownAndUp(t *testing.T) {
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	o.Regions = o.Regions[:1]
	o.ExtraEntry = "queue_wait = 200ms\n"
	o.Engine = standin.EngineOptions{ChecksFence: true, TokenTime: time.Millisecond}
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	p.Engine.SetDown(ctx, true)
	require.NoError(t, lab.Await(ctx, func() error {
		s, err := l.Status(ctx, p)
		if err == nil && s.Gate.Ready {
			err = fmt.Errorf("gate is open")
		}
		return err
	}))
	started := p.Engine.Counts(ctx).Started
	a, err := l.Chat(ctx, 0, "nobody")
	require.NoError(t, err)
	require.NotEqual(t, http.StatusOK, a.Status)
	require.Equal(t, started, p.Engine.Counts(ctx).Started)
	p.Engine.SetDown(ctx, false)
	require.NoError(t, l.AwaitReady(ctx, w.Root, p))
}

// Guards against counts of gate and engine that stay too high when calls are
// canceled at any point: while they wait, before they are passed to the engine,
// or during the stream.
func TestCanceledCallsReleaseCounts(t *testing.T) {
	const callers, calls, seed = 24, 12, 7
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	o.Regions = o.Regions[:1]
	o.Engine = standin.EngineOptions{ChecksFence: true, TokenTime: 2 * time.Millisecond}
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for range calls {
				timeout := time.Duration(random.IntN(30)) * time.Millisecond
				callCtx, cancelCall := context.WithTimeout(ctx, timeout)
				_, _ = l.Chat(callCtx, 0, "impatient")
				cancelCall()
			}
		})
	}
	group.Wait()
	require.NoError(t, lab.Await(ctx, func() error {
		s, err := l.Status(ctx, p)
		if running := p.Engine.Counts(ctx).Running; err == nil && (s.Gate.InFlight != 0 || running != 0) {
			err = fmt.Errorf("%d in flight, %d running", s.Gate.InFlight, running)
		}
		return err
	}))
	require.NoError(t, l.AwaitReady(ctx, w.Root, p))
	require.Contains(t, readPath(ctx, t, p, "/readyz"), "ready")
	require.Contains(t, readPath(ctx, t, p, "/metrics"), "rattanspur_agent_gate_in_flight 0")
}

func readPath(ctx context.Context, t *testing.T, p *lab.Process, path string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+path, http.NoBody)
	require.NoError(t, err)
	resp, err := lab.HTTP.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(data)
}
