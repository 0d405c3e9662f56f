package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
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

// servingLab starts a lab with a published profile and waits until a call through
// every entry succeeds.
func servingLab(t *testing.T, change func(*lab.Options)) (context.Context, *lab.Lab) {
	o := smallOptions()
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
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), len(l.Agents)))
	for entry := range l.Entries {
		require.NoError(t, lab.Await(ctx, func() error { return checkComplete(l.Chat(ctx, entry, "ready")) }))
	}
	return ctx, l
}

// checkComplete returns an error unless the response is complete.
func checkComplete(a lab.Answer, err error) error {
	if err == nil && (a.Status != http.StatusOK || !strings.Contains(a.Body, "[DONE]")) {
		err = fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return err
}

// callConcurrently sends calls at the same time through all entries. It returns
// an error for each call whose response is incomplete or belongs to another call.
func callConcurrently(ctx context.Context, l *lab.Lab, calls int) []error {
	errs := make([]error, calls)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			text := fmt.Sprintf("text-%d", i)
			a, err := l.Chat(ctx, i%len(l.Entries), text)
			if errs[i] = checkComplete(a, err); errs[i] == nil && !strings.Contains(a.Body, text+" ") {
				errs[i] = fmt.Errorf("response to another call: %s", a.Body)
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

// Guards against calls that fail, although they could be retried, because an
// agent was killed while it ran them or because entries still send calls to it.
// A call whose stream has started cannot be retried and must end with an error
// event.
func TestAgentKilledUnderLoad(t *testing.T) {
	ctx, l := servingLab(t, func(o *lab.Options) {
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
	for _, err := range callConcurrently(ctx, l, 48) {
		require.ErrorContains(t, err, "event: error", "only calls whose stream had started may fail")
	}
	require.NoError(t, <-killed)
	require.Empty(t, callConcurrently(ctx, l, 48), "the other agents must answer all calls")
}

// Guards against a request that crashes one engine after another, also through
// another entry, and against other requests that are blocked with it.
func TestCrashingRequestIsStoppedEverywhere(t *testing.T) {
	ctx, l := servingLab(t, func(o *lab.Options) {
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
	before := startedCalls(ctx, l)
	for entry := range l.Entries {
		a, err := l.Chat(ctx, entry, "poison")
		require.NoError(t, err)
		require.Equal(t, http.StatusUnprocessableEntity, a.Status)
	}
	require.Equal(t, before, startedCalls(ctx, l), "a blocked request reached an engine")
	require.NoError(t, lab.Await(ctx, func() error {
		if failed := callConcurrently(ctx, l, 8); len(failed) > 0 {
			return failed[0]
		}
		return nil
	}))
}

// chatBody returns a request with several messages; the first one is from the
// system.
func chatBody(t *testing.T, texts ...string) []byte {
	list := []map[string]string{}
	for i, text := range texts {
		role := "user"
		if i == 0 {
			role = "system"
		}
		list = append(list, map[string]string{"role": role, "content": text})
	}
	body, err := json.Marshal(map[string]any{"model": lab.Service, "stream": true, "messages": list})
	require.NoError(t, err)
	return body
}

// Guards against a message that crashes one engine after another because no two
// requests with it are alike, also through another entry, and against sound requests
// of the same customer that are blocked because they begin with the same message.
func TestHarmfulMessageIsStoppedEverywhere(t *testing.T) {
	requireHarmfulMessageStopped(t, 0, []string{"system"})
}

// Guards against the same if the engines crash after the first tokens of each answer.
func TestMessageThatCrashesAfterAnswersBeganIsStoppedEverywhere(t *testing.T) {
	requireHarmfulMessageStopped(t, 2, []string{"system"})
}

// Guards against the same if the message comes late in a long conversation.
func TestLateHarmfulMessageIsStoppedEverywhere(t *testing.T) {
	conversation := []string{"system"}
	for i := range 40 {
		conversation = append(conversation, fmt.Sprint("message ", i))
	}
	requireHarmfulMessageStopped(t, 0, conversation)
}

// requireHarmfulMessageStopped checks that a message is blocked that crashes engines after they
// have sent a number of tokens, and that follows the messages of a conversation.
func requireHarmfulMessageStopped(t *testing.T, tokens int, conversation []string) {
	t.Helper()
	ctx, l := servingLab(t, func(o *lab.Options) {
		o.Agents = 4
		o.Engine = standin.EngineOptions{TokenTime: time.Millisecond, CrashOn: "poison", CrashAfter: tokens, KeepsVersions: true}
		o.Limits = config.Limits{Cold: 8, Warm: 8, RampStep: 1}
	})
	next := 0
	post := func(entry int, texts ...string) (lab.Answer, error) {
		next++
		texts = slices.Concat(conversation, texts, []string{fmt.Sprint("question ", next)})
		return l.Post(ctx, entry, lab.ChatPath, chatBody(t, texts...))
	}
	sound := func(entry int) error { return checkComplete(post(entry)) }
	for entry := range l.Entries {
		require.NoError(t, lab.Await(ctx, func() error { return sound(entry) }))
		require.NoError(t, lab.Await(ctx, func() error {
			a, err := post(entry, "poison")
			if err == nil && !strings.Contains(a.Body, string(wire.ProblemBlocked)) {
				err = fmt.Errorf("entry %d answers %d: %s", entry, a.Status, a.Body)
			}
			return err
		}))
	}
	requireBlocked := func() {
		before := startedCalls(ctx, l)
		for entry := range l.Entries {
			a, err := post(entry, "poison")
			require.NoError(t, err)
			require.Equal(t, http.StatusUnprocessableEntity, a.Status)
		}
		require.Equal(t, before, startedCalls(ctx, l), "a blocked request reached an engine")
	}
	requireBlocked()
	for entry := range l.Entries {
		require.NoError(t, lab.Await(ctx, func() error { return sound(entry) }))
	}
	// What is blocked is the message, and not what sound requests have in common with it, which
	// their answers have cleared by now.
	requireBlocked()
}

// startedCalls returns the number of calls that all engines began.
func startedCalls(ctx context.Context, l *lab.Lab) int {
	n := 0
	for _, p := range l.Agents {
		n += p.Engine.Counts(ctx).Started
	}
	return n
}

// Guards against new work in a failure domain that is out of service (G3) when
// an entry has a stale view, and against calls that fail because of it. The entry
// is paused while the domain is taken out, and resumes with calls to route.
func TestStaleEntryReachesNoDomainOutOfService(t *testing.T) {
	ctx, l := servingLab(t, func(o *lab.Options) {
		o.Limits = config.Limits{Cold: 16, Warm: 16, RampStep: 1}
	})
	stale, outOfService := l.Entries[0], l.Agents[1]
	require.NoError(t, l.Signal(stale, syscall.SIGSTOP))
	require.NoError(t, l.PublishDomain(outOfService.FailureDomain, config.DomainOut))
	require.NoError(t, lab.Await(ctx, func() error { return checkGeneration(ctx, outOfService.Address, 2) }))
	before := outOfService.Engine.Counts(ctx).Started
	failed := make(chan []error, 1)
	go func() { failed <- callConcurrently(ctx, l, 32) }()
	require.NoError(t, l.Signal(stale, syscall.SIGCONT))
	require.Empty(t, <-failed)
	require.Equal(t, before, outOfService.Engine.Counts(ctx).Started)
}

// checkGeneration returns an error unless a process has adopted the given or a
// later generation.
func checkGeneration(ctx context.Context, address string, generation fleet.Generation) error {
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
		return fmt.Errorf("generation %d is in force, expected at least %d", s.Generation, generation)
	}
	return nil
}
