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

// engineLab starts a lab whose agents serve version v1.
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

// load sends chat completions through all entries until stop is called, which
// returns the answers. The number of callers is fixed.
func load(ctx context.Context, l *lab.Lab, callers int) (stop func() []lab.Answer) {
	var wait sync.WaitGroup
	var ending atomic.Bool
	answers := make([][]lab.Answer, callers)
	for i := range callers {
		wait.Go(func() {
			for n := 0; !ending.Load() && ctx.Err() == nil; n++ {
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
					// A refused caller waits a little before it comes again.
					pause(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	return func() []lab.Answer {
		ending.Store(true)
		wait.Wait()
		var all []lab.Answer
		for _, list := range answers {
			all = append(all, list...)
		}
		return all
	}
}

// loadAgent sends chat completions straight to an agent until stop is called.
func loadAgent(ctx context.Context, l *lab.Lab, p *lab.Process, w config.Weights, callers int) (stop func()) {
	var wait sync.WaitGroup
	var ending atomic.Bool
	for i := range callers {
		wait.Go(func() {
			for n := 0; !ending.Load() && ctx.Err() == nil; n++ {
				c := wire.Call{
					Request: fmt.Sprintf("stale-%d-%d", i, n), Service: lab.Service, Root: w.Root, Timeout: 10 * time.Second,
				}
				a, err := l.CallAgent(ctx, p, c, lab.ChatPath, lab.ChatBody("stale"))
				if err != nil || a.Status != http.StatusOK {
					pause(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	return func() {
		ending.Store(true)
		wait.Wait()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitCounts waits until the counts of an engine fulfil a condition.
func awaitCounts(ctx context.Context, t *testing.T, e *standin.Engine, what string, ok func(standin.EngineCounts) bool) {
	t.Helper()
	require.NoError(t, lab.Await(ctx, func() error {
		if c := e.Counts(ctx); !ok(c) {
			return fmt.Errorf("%s: %+v", what, c)
		}
		return nil
	}))
}

// version returns which versions an answer names.
func version(a lab.Answer) string {
	v := ""
	for _, name := range []string{"v1", "v2"} {
		if strings.Contains(a.Body, `"content":"`+name+` "`) {
			v += name
		}
	}
	return v
}

// Guards against an engine that gets more work than it can bear in cold start,
// after a restart under load that leaves its versions loaded, and against
// counts at the gate that do not return to zero.
func TestEngineRestartUnderLoad(t *testing.T) {
	o := small()
	o.Engine = standin.EngineOptions{
		ChecksFence: true, KeepsVersions: true, TokenTime: time.Millisecond, WarmAfter: 8,
		ColdBound: o.Limits.Cold, WarmBound: o.Limits.Warm,
	}
	ctx, l, w := engineLab(t, o)
	stop := load(ctx, l, 24)
	victim := l.Agents[0]
	// Entries avoid an agent after failures; these callers do not, like
	// entries with an old view.
	stopStale := loadAgent(ctx, l, victim, w, 24)
	for range 3 {
		before := victim.Engine.Counts(ctx).Finished
		awaitCounts(ctx, t, victim.Engine, "serves", func(c standin.EngineCounts) bool { return c.Finished > before+40 })
		victim.Engine.Restart(ctx)
	}
	before := victim.Engine.Counts(ctx).Finished
	awaitCounts(ctx, t, victim.Engine, "serves again", func(c standin.EngineCounts) bool { return c.Finished > before })
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

// Guards against calls that an agent held, or found in its socket, while it
// was paused, and runs although its domain was taken out in the meantime. The
// agent wakes with its old view and hears of the change later.
func TestPausedAgentRunsNothingFromBefore(t *testing.T) {
	o := small()
	o.Agents, o.Entries = 1, 1
	o.Regions = []string{"north"}
	o.ExtraAgent = "\n[node]\nwatch_wait = 200ms\n"
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	before := p.Engine.Counts(ctx).Started
	require.NoError(t, l.Signal(p, syscall.SIGSTOP))
	require.NoError(t, lab.Await(ctx, func() error { return stopped(p.PID()) }))
	var wait sync.WaitGroup
	answers := make([]lab.Answer, 16)
	for i := range answers {
		wait.Go(func() {
			call := wire.Call{Request: fmt.Sprint(i), Service: lab.Service, Root: w.Root, Timeout: 30 * time.Second}
			answers[i], _ = l.CallAgent(ctx, p, call, lab.ChatPath, lab.ChatBody("held"))
		})
	}
	// The pause is longer than what the agent takes for a busy machine (2 s)
	// and than its watch, which else brings the change together with the wake.
	// It is shorter than the age at which a health check counts as old (3 s),
	// which else closes the gate too.
	pause(ctx, 2500*time.Millisecond)
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

// stopped returns nil once the signal has stopped all threads of a process.
func stopped(pid int) error {
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
// takes new work after it began to stop, also from entries that go on sending.
func TestGracefulStopUnderLoad(t *testing.T) {
	o := small()
	o.Engine.TokenTime = 20 * time.Millisecond
	o.ExtraAgent = "leave_linger = 1s\n"
	ctx, l, _ := engineLab(t, o)
	stop := load(ctx, l, 12)
	victim := l.Agents[0]
	awaitCounts(ctx, t, victim.Engine, "busy", func(c standin.EngineCounts) bool { return c.Running > 1 })
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

// Guards against an engine that goes on working for callers that left, and
// against calls that stay counted after that or after a silent connection.
func TestCancelledAndSilentCalls(t *testing.T) {
	o := small()
	o.Agents, o.Entries = 1, 1
	o.Regions = []string{"north"}
	o.Engine = standin.EngineOptions{TokenTime: 10 * time.Second, SilentOn: "hush"}
	o.ExtraAgent = "progress_timeout = 1s\n"
	ctx, l, w := engineLab(t, o)
	p := l.Agents[0]
	leaving, leave := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = l.Chat(leaving, 0, "leaves early") })
	awaitCounts(ctx, t, p.Engine, "begun", func(c standin.EngineCounts) bool { return c.Running == 1 })
	leave()
	awaitCounts(ctx, t, p.Engine, "cancelled", func(c standin.EngineCounts) bool { return c.Cancelled == 1 && c.Running == 0 })
	wait.Wait()
	cut, err := l.Chat(ctx, 0, "hush")
	require.True(t, err != nil || cut.Outcome == wire.Unknown, "a cut answer is told from a whole one: %+v", cut)
	awaitCounts(ctx, t, p.Engine, "cancelled", func(c standin.EngineCounts) bool { return c.Cancelled == 2 && c.Running == 0 })
	require.NoError(t, lab.Await(ctx, func() error {
		s, err := l.Status(ctx, p)
		if err == nil && s.Gate.InFlight != 0 {
			err = fmt.Errorf("%d in flight", s.Gate.InFlight)
		}
		return err
	}))
	require.NoError(t, l.AwaitReady(ctx, w.Root, p))
}

// Guards against a plain service that gets work while it fails its check, and
// against one that never gets any because it reports no load.
func TestPlainServiceHealth(t *testing.T) {
	o := small()
	o.Agents, o.Entries, o.Plains = 0, 1, 1
	o.ExtraAgent = "health_path = /healthz\n"
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, l.PublishPlain())
	p := l.Plains[0]
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
