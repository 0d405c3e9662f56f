package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

// countUnloaded watches the engines until the returned function is called, which
// returns the greatest number of engines that had no version at the same time.
func countUnloaded(ctx context.Context, l *lab.Lab) func() int {
	watching, end := context.WithCancel(ctx)
	most := 0
	var group sync.WaitGroup
	group.Go(func() {
		for watching.Err() == nil {
			unloaded := 0
			for _, p := range l.Agents {
				if p.Engine.Counts(ctx).Loaded == 0 {
					unloaded++
				}
			}
			most = max(most, unloaded)
			sleep(watching, time.Millisecond)
		}
	})
	return func() int {
		end()
		group.Wait()
		return most
	}
}

// Guards against a response that mixes two versions, comes from a version that
// was not requested or belongs to another request; against an unload while calls
// run, and an engine that loads a second version although it can hold only one;
// and against more engines without a version than max_unavailable.
func TestSwitchUnderTraffic(t *testing.T) {
	for _, alongside := range []bool{true, false} {
		t.Run(fmt.Sprint("alongside=", alongside), func(t *testing.T) {
			o := smallOptions()
			o.Engine = standin.EngineOptions{ChecksFence: true, OneVersion: !alongside, TokenTime: time.Millisecond}
			ctx, l, first := engineLab(t, o)
			require.NoError(t, l.Publish(func(d *config.Document) {
				d.Services[0].LoadsAlongside = alongside
				d.Services[0].ChecksFence = true
				d.Services[0].Limits.MaxUnavailable = 1
			}))
			stop := startLoad(ctx, l, 12)
			maxUnloaded := countUnloaded(ctx, l)
			_, second, err := l.AddStore(2)
			require.NoError(t, err)
			require.NoError(t, l.PublishProfile("burst-2", "v2", second))
			require.NoError(t, l.AwaitReady(ctx, second.Root, l.Agents...))
			for _, p := range l.Agents {
				require.NoError(t, lab.Await(ctx, func() error {
					if p.Engine.Holds(ctx, first.Root.String()) {
						return fmt.Errorf("%s still holds the old version", p.ID)
					}
					return nil
				}))
			}
			if most := maxUnloaded(); !alongside {
				require.Equal(t, 1, most, "engines without a version at a time")
			}
			answers := stop()
			for _, a := range answers {
				if a.Status == http.StatusOK && a.Outcome == wire.Ran {
					require.Contains(t, []string{"v1", "v2"}, versionsIn(a), a.Body)
					require.NotContains(t, a.Body, "another request")
				}
			}
			for _, p := range l.Agents {
				c := p.Engine.Counts(ctx)
				require.Zero(t, c.UnloadedInUse, p.ID)
				if !alongside {
					require.Equal(t, 1, c.MostLoaded, p.ID)
				}
			}
			a, err := l.Chat(ctx, 0, "after")
			require.NoError(t, err)
			require.Equal(t, "v2", versionsIn(a), a.Body)
		})
	}
}

// Guards against a crash that is not reported to the other processes, against
// innocent requests that remain suspects after they completed, and against a
// suspect that runs alongside other calls.
func TestCrashMakesSuspects(t *testing.T) {
	o := smallOptions()
	o.Engine = standin.EngineOptions{
		ChecksFence: true, KeepsVersions: true, TokenTime: time.Millisecond,
		CrashOn: "poison", StallOn: "silent",
	}
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	call := func(fingerprint, text string) (lab.Answer, error) {
		c := wire.Call{
			Request: fingerprint, Service: lab.Service, Root: w.Root,
			Timeout: 20 * time.Second, Fingerprint: fingerprint,
		}
		return l.CallAgent(ctx, p, c, lab.ChatPath, lab.ChatBody(text))
	}
	var group sync.WaitGroup
	// The engine never completes this call, so that it runs during the crash.
	group.Go(func() { _, _ = call("innocent", "silent") })
	awaitCounts(ctx, t, p.Engine, "call not started", func(c standin.EngineCounts) bool { return c.Running == 1 })
	_, _ = call("guilty", "poison")
	group.Wait()
	awaitSuspects(ctx, t, l, 2)
	require.NoError(t, l.AwaitReady(ctx, w.Root, p))
	require.NoError(t, lab.Await(ctx, func() error {
		a, err := call("innocent", "text-1")
		if err == nil && (a.Status != http.StatusOK || a.Outcome != wire.Ran) {
			err = fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		return err
	}))
	awaitSuspects(ctx, t, l, 1)
}

// awaitSuspects waits until all agents have the given number of suspects.
func awaitSuspects(ctx context.Context, t *testing.T, l *lab.Lab, count int) {
	t.Helper()
	for _, p := range l.Agents {
		require.NoError(t, lab.Await(ctx, func() error {
			s, err := l.Status(ctx, p)
			if err == nil && s.Gate.Suspects != count {
				err = fmt.Errorf("%s has %d suspects, expected %d", p.ID, s.Gate.Suspects, count)
			}
			return err
		}))
	}
}
