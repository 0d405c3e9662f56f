package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

// serving starts a lab and waits until every entry gets answers.
func serving(t *testing.T, change func(*lab.Options)) (context.Context, *lab.Lab) {
	o := small()
	o.ModelBytes = 1 << 20
	change(&o)
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	_, weights, err := l.AddStore(1)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	require.NoError(t, l.AwaitServing(ctx, weights.Root.String(), len(l.Agents)))
	for entry := range l.Entries {
		require.NoError(t, lab.Await(ctx, func() error { return ownAnswer(l.Chat(ctx, entry, "ready")) }))
	}
	return ctx, l
}

// ownAnswer returns an error unless the whole answer arrived.
func ownAnswer(a lab.Answer, err error) error {
	if err == nil && (a.Status != http.StatusOK || !strings.Contains(a.Body, "[DONE]")) {
		err = fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return err
}

// burst sends calls at the same time through all entries and returns the
// errors of those without their own whole answer.
func burst(ctx context.Context, l *lab.Lab, calls int) []error {
	errs := make([]error, calls)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			text := fmt.Sprintf("text-%d", i)
			a, err := l.Chat(ctx, i%len(l.Entries), text)
			if errs[i] = ownAnswer(a, err); errs[i] == nil && !strings.Contains(a.Body, text+" ") {
				errs[i] = fmt.Errorf("another caller's answer: %s", a.Body)
			}
		})
	}
	wait.Wait()
	var failed []error
	for _, err := range errs {
		if err != nil {
			failed = append(failed, err)
		}
	}
	return failed
}

// Guards against repeatable calls that fail because an agent was killed while
// it worked on them or because calls still go to it. A stream that has begun
// cannot be repeated; such calls must end with an error event.
func TestAgentKilledUnderLoad(t *testing.T) {
	ctx, l := serving(t, func(o *lab.Options) {
		o.Engine = standin.EngineOptions{TokenTime: 20 * time.Millisecond}
		o.Limits = config.Limits{Cold: 16, Warm: 16, RampStep: 1}
	})
	killed := make(chan error, 1)
	go func() {
		killed <- lab.Await(ctx, func() error {
			if l.Agents[0].Engine.Counts(ctx).Running == 0 {
				return fmt.Errorf("no call runs yet")
			}
			return l.Signal(l.Agents[0], syscall.SIGKILL)
		})
	}()
	for _, err := range burst(ctx, l, 48) {
		require.ErrorContains(t, err, "event: error", "only streams that had begun may break off")
	}
	require.NoError(t, <-killed)
	require.Empty(t, burst(ctx, l, 48), "the other agents answer everything")
}

// Guards against a request that crashes engine after engine, also through
// another entry, and against innocent requests that are blocked with it.
func TestCrashingRequestIsStoppedEverywhere(t *testing.T) {
	ctx, l := serving(t, func(o *lab.Options) {
		o.Agents = 4
		o.Engine = standin.EngineOptions{TokenTime: time.Millisecond, CrashOn: "poison", KeepsVersions: true}
		o.Limits = config.Limits{Cold: 8, Warm: 8, RampStep: 1}
	})
	for entry := range l.Entries {
		require.NoError(t, lab.Await(ctx, func() error {
			a, err := l.Chat(ctx, entry, "poison")
			if err == nil && !strings.Contains(a.Body, string(wire.ProblemBlocked)) {
				err = fmt.Errorf("entry %d answers %d: %s", entry, a.Status, a.Body)
			}
			return err
		}))
	}
	before := 0
	for _, p := range l.Agents {
		before += p.Engine.Counts(ctx).Started
	}
	for entry := range l.Entries {
		a, err := l.Chat(ctx, entry, "poison")
		require.NoError(t, err)
		require.Equal(t, http.StatusUnprocessableEntity, a.Status)
	}
	after := 0
	for _, p := range l.Agents {
		after += p.Engine.Counts(ctx).Started
	}
	require.Equal(t, before, after, "a blocked request reaches no engine")
	require.NoError(t, lab.Await(ctx, func() error {
		if failed := burst(ctx, l, 8); len(failed) > 0 {
			return failed[0]
		}
		return nil
	}))
}

// Guards against new work in a failure domain that is out of service (G3) when
// an entry decides by an old view, and against calls that fail because of it:
// the entry is paused while the domain leaves and resumes with calls at hand.
func TestStaleEntryReachesNoDomainOutOfService(t *testing.T) {
	ctx, l := serving(t, func(o *lab.Options) {
		o.Limits = config.Limits{Cold: 16, Warm: 16, RampStep: 1}
	})
	stale, gone := l.Entries[0], l.Agents[1]
	require.NoError(t, l.Signal(stale, syscall.SIGSTOP))
	require.NoError(t, l.PublishDomain(gone.FailureDomain, config.DomainOut))
	require.NoError(t, lab.Await(ctx, func() error { return inForce(ctx, gone.Address, 2) }))
	before := gone.Engine.Counts(ctx).Started
	failed := make(chan []error, 1)
	go func() { failed <- burst(ctx, l, 32) }()
	require.NoError(t, l.Signal(stale, syscall.SIGCONT))
	require.Empty(t, <-failed)
	require.Equal(t, before, gone.Engine.Counts(ctx).Started)
}

// inForce returns an error unless a process has adopted a generation.
func inForce(ctx context.Context, address string, generation fleet.Generation) error {
	client := wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}
	data, err := client.Get(ctx, address, wire.PathStatus, 1<<20)
	if err != nil {
		return err
	}
	var s node.Status
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Generation < generation {
		return fmt.Errorf("generation %d is in force, want %d", s.Generation, generation)
	}
	return nil
}
