package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

// engineLab starts a lab and waits until all its agents serve version v1.
func engineLab(t *testing.T, o lab.Options) (context.Context, *lab.Lab, config.Weights) {
	t.Helper()
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	_, w, err := l.AddStore(1)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", w))
	require.NoError(t, l.AwaitReady(ctx, w.Root, l.Agents...))
	return ctx, l, w
}

// startLoad starts callers that send chat completions through all entries until
// stop is called, which returns the responses. A response to another request is
// marked in its body, and an error gets the outcome wire.Unknown.
func startLoad(ctx context.Context, l *lab.Lab, callers int) (stop func() []lab.Answer) {
	var wait sync.WaitGroup
	var stopping atomic.Bool
	answers := make([][]lab.Answer, callers)
	for i := range callers {
		wait.Go(func() {
			for n := 0; !stopping.Load() && ctx.Err() == nil; n++ {
				text := fmt.Sprintf("caller-%d-%d", i, n)
				a, err := l.Chat(ctx, i%len(l.Entries), text)
				if err == nil && a.Status == http.StatusOK && !strings.Contains(a.Body, text+" ") {
					a.Body = "answer to another request: " + a.Body
				}
				if err != nil {
					a.Outcome = wire.Unknown
				}
				answers[i] = append(answers[i], a)
				if a.Status != http.StatusOK {
					// Wait before the next call after a refusal or failure.
					sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	return func() []lab.Answer {
		stopping.Store(true)
		wait.Wait()
		var all []lab.Answer
		for _, list := range answers {
			all = append(all, list...)
		}
		return all
	}
}

// startAgentLoad starts callers that send chat completions directly to an agent
// until stop is called.
func startAgentLoad(ctx context.Context, l *lab.Lab, p *lab.Process, w config.Weights, callers int) (stop func()) {
	var wait sync.WaitGroup
	var stopping atomic.Bool
	for i := range callers {
		wait.Go(func() {
			for n := 0; !stopping.Load() && ctx.Err() == nil; n++ {
				c := wire.Call{
					Request: fmt.Sprintf("stale-%d-%d", i, n), Service: lab.Service, Root: w.Root, Timeout: 10 * time.Second,
				}
				a, err := l.CallAgent(ctx, p, c, lab.ChatPath, lab.ChatBody("stale"))
				if err != nil || a.Status != http.StatusOK {
					sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	return func() {
		stopping.Store(true)
		wait.Wait()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitCounts waits until ok accepts the counts of an engine. what is the prefix
// of the error if ctx ends first.
func awaitCounts(ctx context.Context, t *testing.T, e *standin.Engine, what string, ok func(standin.EngineCounts) bool) {
	t.Helper()
	require.NoError(t, lab.Await(ctx, func() error {
		if c := e.Counts(ctx); !ok(c) {
			return fmt.Errorf("%s: %+v", what, c)
		}
		return nil
	}))
}

// versionsIn returns the concatenated names of the versions in a response.
func versionsIn(a lab.Answer) string {
	v := ""
	for _, name := range []string{"v1", "v2"} {
		if strings.Contains(a.Body, `"content":"`+name+` "`) {
			v += name
		}
	}
	return v
}

// Guards against an engine that receives more calls than its limit in cold start
// after it was restarted under load with its versions still loaded, and against
// counts at the gate that do not return to zero.
func TestEngineRestartUnderLoad(t *testing.T) {
	o := smallOptions()
	o.Engine = standin.EngineOptions{
		ChecksFence: true, KeepsVersions: true, TokenTime: time.Millisecond, WarmAfter: 8,
		ColdBound: o.Limits.Cold, WarmBound: o.Limits.Warm,
	}
	ctx, l, w := engineLab(t, o)
	stop := startLoad(ctx, l, 24)
	victim := l.Agents[0]
	// Entries avoid an agent after failures. These callers do not, like entries
	// with a stale view.
	stopStale := startAgentLoad(ctx, l, victim, w, 24)
	for range 3 {
		before := victim.Engine.Counts(ctx).Finished
		awaitCounts(ctx, t, victim.Engine, "too few calls finished", func(c standin.EngineCounts) bool { return c.Finished > before+40 })
		victim.Engine.Restart(ctx)
	}
	before := victim.Engine.Counts(ctx).Finished
	awaitCounts(ctx, t, victim.Engine, "no call finished after the restart", func(c standin.EngineCounts) bool { return c.Finished > before })
	stopStale()
	stop()
	require.NoError(t, l.AwaitReady(ctx, w.Root, l.Agents...))
	for _, p := range l.Agents {
		require.Zero(t, p.Engine.Counts(ctx).OverBound, p.ID)
		s, err := l.Status(ctx, p)
		require.NoError(t, err)
		require.Zero(t, s.Gate.InFlight, p.ID)
	}
}

// Guards against calls that an agent held or that waited in its socket while it
// was paused, and that it runs although its failure domain was taken out in the
// meantime. The agent resumes with its stale view and receives the change later.
func TestPausedAgentRunsNoStaleCalls(t *testing.T) {
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	o.Regions = []string{"north"}
	o.ExtraAgent = "\n[node]\nwatch_wait = 200ms\n"
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	before := p.Engine.Counts(ctx).Started
	require.NoError(t, l.Signal(p, syscall.SIGSTOP))
	require.NoError(t, lab.Await(ctx, func() error { return checkStopped(p.PID()) }))
	var wait sync.WaitGroup
	answers := make([]lab.Answer, 16)
	for i := range answers {
		wait.Go(func() {
			call := wire.Call{Request: fmt.Sprint(i), Service: lab.Service, Root: w.Root, Timeout: 30 * time.Second}
			answers[i], _ = l.CallAgent(ctx, p, call, lab.ChatPath, lab.ChatBody("held"))
		})
	}
	// The pause is longer than a delay that the agent attributes to a busy
	// machine (2 s). It is also longer than the agent's watch, which otherwise
	// would return the change as soon as the agent resumes. It is shorter than
	// the age at which a health check is outdated (3 s), because that would
	// close the gate too.
	sleep(ctx, 2500*time.Millisecond)
	require.NoError(t, l.PublishDomain("north", config.DomainOut))
	l.Config.Down.Store(true)
	require.NoError(t, l.Signal(p, syscall.SIGCONT))
	wait.Wait()
	l.Config.Down.Store(false)
	for _, a := range answers {
		require.Equal(t, wire.NotRun, a.Outcome, "status %d: %s", a.Status, a.Body)
	}
	require.Equal(t, before, p.Engine.Counts(ctx).Started)
}

// checkStopped returns an error unless all threads of a process are stopped by a
// signal.
func checkStopped(pid int) error {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	for _, name := range tasks {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if !strings.Contains(string(data), ") T ") {
			return fmt.Errorf("%s is not stopped: %.40s", name, data)
		}
	}
	return nil
}

// Guards against a graceful stop that cuts a call, and against an agent that
// accepts new calls after it began to stop, even if entries still send them.
func TestGracefulStopUnderLoad(t *testing.T) {
	o := smallOptions()
	o.Engine.TokenTime = 20 * time.Millisecond
	o.ExtraAgent = "leave_linger = 1s\n"
	ctx, l, _ := engineLab(t, o)
	stop := startLoad(ctx, l, 12)
	victim := l.Agents[0]
	awaitCounts(ctx, t, victim.Engine, "too few calls running", func(c standin.EngineCounts) bool { return c.Running > 1 })
	require.NoError(t, l.Signal(victim, syscall.SIGTERM))
	require.NoError(t, l.Wait(ctx, victim))
	answers := stop()
	for _, a := range answers {
		if a.Outcome == wire.NotRun {
			continue
		}
		require.Equal(t, wire.Ran, a.Outcome, "status %d: %s", a.Status, a.Body)
		require.Contains(t, a.Body, "data: [DONE]")
	}
	c := victim.Engine.Counts(ctx)
	require.Zero(t, c.Cancelled)
	require.Equal(t, c.Started, c.Finished)
}

// Guards against an engine that continues to work for callers that disconnected,
// and against calls that remain in the counts after that or after a connection
// on which the engine sends nothing.
func TestCancelledAndSilentCalls(t *testing.T) {
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	o.Regions = []string{"north"}
	o.Engine = standin.EngineOptions{TokenTime: 10 * time.Second, StallOn: "hush"}
	o.ExtraAgent = "progress_timeout = 1s\n"
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	callCtx, cancelCall := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = l.Chat(callCtx, 0, "leaves early") })
	awaitCounts(ctx, t, p.Engine, "call not started", func(c standin.EngineCounts) bool { return c.Running == 1 })
	cancelCall()
	awaitCounts(ctx, t, p.Engine, "call not canceled", func(c standin.EngineCounts) bool { return c.Cancelled == 1 && c.Running == 0 })
	wait.Wait()
	answer, err := l.Chat(ctx, 0, "hush")
	require.True(t, err != nil || answer.Outcome == wire.Unknown, "a cut response looks complete: %+v", answer)
	awaitCounts(ctx, t, p.Engine, "call not canceled", func(c standin.EngineCounts) bool { return c.Cancelled == 2 && c.Running == 0 })
	require.NoError(t, lab.Await(ctx, func() error {
		s, err := l.Status(ctx, p)
		if err == nil && s.Gate.InFlight != 0 {
			err = fmt.Errorf("%d in flight", s.Gate.InFlight)
		}
		return err
	}))
	require.NoError(t, l.AwaitReady(ctx, w.Root, p))
}

// Guards against a plain service that receives calls while its health check
// fails, and against one that never receives any because it reports no load.
func TestPlainServiceHealth(t *testing.T) {
	o := smallOptions()
	o.Agents, o.Entries, o.PlainAgents = 0, 1, 1
	o.ExtraAgent = "health_path = /healthz\n"
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, l.PublishPlain())
	p := l.PlainAgents[0]
	require.NoError(t, l.AwaitReady(ctx, fleet.Digest{}, p))
	call := func() lab.Answer {
		c := wire.Call{Request: "r", Service: lab.PlainService, Timeout: 10 * time.Second}
		a, err := l.CallAgent(ctx, p, c, lab.PlainPrefix+"/entries", []byte("one bale"))
		require.NoError(t, err)
		return a
	}
	a := call()
	require.Equal(t, wire.Ran, a.Outcome, a.Body)
	require.Equal(t, "one bale", a.Body)
	p.Plain.SetDown(ctx, true)
	require.NoError(t, lab.Await(ctx, func() error {
		if a := call(); a.Outcome != wire.NotRun {
			return fmt.Errorf("outcome %s", a.Outcome)
		}
		return nil
	}))
	runs := p.Plain.Counts(ctx).Runs
	call()
	require.Equal(t, runs, p.Plain.Counts(ctx).Runs)
	p.Plain.SetDown(ctx, false)
	require.NoError(t, l.AwaitReady(ctx, fleet.Digest{}, p))
	require.Equal(t, wire.Ran, call().Outcome)
}
