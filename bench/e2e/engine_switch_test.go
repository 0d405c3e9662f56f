package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/poison"
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
// innocent requests that remain suspects after they completed, against a request in
// mid-answer that is taken for harmless although the engine has not survived it, and against
// a repeated crash with other requests that is not ascribed to the part that they share.
func TestCrashMakesSuspects(t *testing.T) {
	o := smallOptions()
	o.Engine = standin.EngineOptions{
		ChecksFence: true, KeepsVersions: true, TokenTime: time.Millisecond,
		CrashOn: "poison", StallOn: "silent", HoldOn: "held",
	}
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	call := func(text string, traits ...poison.Trait) (lab.Answer, error) {
		c := wire.Call{
			Request: text, Service: lab.Service, Root: w.Root,
			Timeout: 20 * time.Second, Traits: traits,
		}
		return l.CallAgent(ctx, p, c, lab.ChatPath, lab.ChatBody(text))
	}
	const answering, innocent, harmful, guilty poison.Trait = 1, 2, 3, 4
	var group sync.WaitGroup
	// The engine never completes these calls, so that they run during the crash. It
	// has sent the head of the answer to one of them.
	group.Go(func() { _, _ = call("silent", answering) })
	group.Go(func() { _, _ = call("held", innocent) })
	awaitCounts(ctx, t, p.Engine, "calls not started", func(c standin.EngineCounts) bool { return c.Running == 2 })
	_, _ = call("poison", harmful, guilty)
	group.Wait()
	awaitSuspects(ctx, t, l, answering, innocent, harmful, guilty)
	require.NoError(t, l.AwaitReady(ctx, w.Root, p))
	require.NoError(t, lab.Await(ctx, func() error { return checkRan(call("text-1", innocent)) }))
	awaitSuspects(ctx, t, l, answering, harmful, guilty)
	require.NoError(t, lab.Await(ctx, func() error { return checkRan(call("text-2", answering)) }))
	awaitSuspects(ctx, t, l, harmful, guilty)
	require.NoError(t, lab.Await(ctx, func() error {
		a, err := call("poison", harmful, guilty+1)
		if err == nil && a.Outcome != wire.Unknown {
			err = fmt.Errorf("the engine did not get the call: status %d: %s", a.Status, a.Body)
		}
		return err
	}))
	awaitSuspects(ctx, t, l, harmful, guilty, guilty+1)
}

// checkRan returns an error unless a call was answered.
func checkRan(a lab.Answer, err error) error {
	if err == nil && (a.Status != http.StatusOK || a.Outcome != wire.Ran) {
		err = fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return err
}

// awaitSuspects waits until all agents have the given suspects.
func awaitSuspects(ctx context.Context, t *testing.T, l *lab.Lab, traits ...poison.Trait) {
	t.Helper()
	var want []string
	for _, trait := range traits {
		want = append(want, trait.String())
	}
	for _, p := range l.Agents {
		require.NoError(t, lab.Await(ctx, func() error {
			s, err := l.Status(ctx, p)
			var got []string
			for _, suspect := range s.Suspects {
				got = append(got, suspect.Trait)
			}
			if err == nil && !slices.Equal(got, want) {
				err = fmt.Errorf("%s has the suspects %v, expected %v", p.ID, got, want)
			}
			return err
		}))
	}
}
