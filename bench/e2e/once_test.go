package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/once"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

// onceLab starts two entries and two agents with the same ledger as upstream.
func onceLab(t *testing.T, change func(*lab.Options)) (*lab.Lab, context.Context) {
	t.Helper()
	o := smallOptions()
	o.Agents = 2
	o.Ledger = standin.NewLedger(20 * time.Millisecond)
	o.ExtraAgent = "clock_step = 200ms\n"
	if change != nil {
		change(&o)
	}
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return l, ctx
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// awaitBooking submits bookings with new keys until one has run through each
// entry at each owner.
func awaitBooking(ctx context.Context, t *testing.T, l *lab.Lab, owners ...fleet.InstanceID) {
	t.Helper()
	for entry := range l.Entries {
		for _, owner := range owners {
			require.NoError(t, lab.Await(ctx, func() error {
				key := keyOwnedBy(t, l.Owners(), owner)
				a, err := l.Book(ctx, lab.Booking{Entry: entry, Name: key, Submission: newKey(), Key: key})
				if err == nil && a.Outcome != wire.Ran {
					err = fmt.Errorf("status %d: %s", a.Status, a.Body)
				}
				return err
			}))
		}
	}
}

func keyOwnedBy(t *testing.T, o config.Owners, owner fleet.InstanceID) string {
	t.Helper()
	for range 1000 {
		key := newKey()
		parsed, err := once.ParseKey(key)
		require.NoError(t, err)
		if once.Owner(o, parsed) == owner {
			return key
		}
	}
	t.Fatal("none of 1000 keys belongs to the owner")
	return ""
}

// Guards against a second run of a key or token that is submitted several times
// concurrently through both entries, and against different responses to them.
func TestRepeatsThroughBothEntriesRunOnce(t *testing.T) {
	l, ctx := onceLab(t, nil)
	require.NoError(t, l.PublishAllocation(l.Owners()))
	awaitBooking(ctx, t, l, "agent-0", "agent-1")
	token, err := l.Token(ctx, 0)
	require.NoError(t, err)
	for _, b := range []lab.Booking{{Name: "by key", Key: newKey()}, {Name: "by token", Token: token.Token}} {
		var wait sync.WaitGroup
		answers := make([]lab.BookingAnswer, 8)
		for i := range answers {
			wait.Go(func() {
				b := b
				b.Entry, b.Submission = i%2, fmt.Sprint(b.Name, i)
				a, err := l.Book(ctx, b)
				if err == nil {
					answers[i] = a
				}
			})
		}
		wait.Wait()
		replayed := 0
		for _, a := range answers {
			require.Equal(t, wire.Ran, a.Outcome, a.Body)
			require.Equal(t, answers[0].Body, a.Body)
			if a.Replayed {
				replayed++
			}
		}
		require.Equal(t, len(answers)-1, replayed)
		require.Equal(t, 1, l.Options.Ledger.Runs(b.Name))
	}
	a, err := l.Book(ctx, lab.Booking{Name: "no time", Key: "2f1acc6c-95b4-4f5f-8a02-0b8f7d3c9f10"})
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, a.Status)
	require.Equal(t, wire.ProblemNotRun, a.Problem.Type)
	require.Contains(t, a.Problem.Detail, "POST /v1/tokens")
	require.Zero(t, l.Options.Ledger.Runs("no time"))
}

// Guards against a second run, and against the outcome "not run", after the
// agent that ran a request was killed and restarted.
func TestRestartedAgentRunsNothingAgain(t *testing.T) {
	l, ctx := onceLab(t, nil)
	require.NoError(t, l.PublishAllocation(l.Owners()))
	awaitBooking(ctx, t, l, "agent-0", "agent-1")
	token, err := l.Token(ctx, 0)
	require.NoError(t, err)
	owner := l.Agents[0]
	if l.Agents[1].ID == token.Instance {
		owner = l.Agents[1]
	}
	bookings := []lab.Booking{
		{Name: "by key", Key: keyOwnedBy(t, l.Owners(), owner.ID), Drop: true},
		{Name: "by token", Token: token.Token, Drop: true},
	}
	// An agent whose upstream has just dropped a connection checks its health, and refuses
	// calls until the upstream responds. What was refused has not run and may be sent again.
	for _, b := range bookings {
		require.NoError(t, lab.Await(ctx, func() error {
			a, err := l.Book(ctx, b)
			require.NoError(t, err)
			if a.Outcome == wire.NotRun && l.Options.Ledger.Runs(b.Name) == 0 {
				return fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			require.Equal(t, wire.Unknown, a.Outcome, a.Body)
			return nil
		}))
	}
	check := func() {
		for _, b := range bookings {
			a, err := l.Book(ctx, b)
			require.NoError(t, err)
			require.Equal(t, wire.Unknown, a.Outcome, a.Body)
			require.Equal(t, wire.ProblemUnknown, a.Problem.Type)
			require.Equal(t, 1, l.Options.Ledger.Runs(b.Name))
		}
	}
	check()
	check()
	require.NoError(t, l.Signal(owner, syscall.SIGKILL))
	require.NoError(t, l.Wait(ctx, owner))
	require.NoError(t, l.Launch(owner))
	awaitBooking(ctx, t, l, owner.ID)
	check()
}

// Guards against a second run when an agent is paused with two submissions of a
// request until their callers time out, and receives a third one when it resumes.
func TestPausedAgentRunsOnce(t *testing.T) {
	l, ctx := onceLab(t, nil)
	require.NoError(t, l.PublishAllocation(l.Owners()))
	awaitBooking(ctx, t, l, "agent-0", "agent-1")
	key := keyOwnedBy(t, l.Owners(), "agent-0")
	require.NoError(t, l.Signal(l.Agents[0], syscall.SIGSTOP))
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	for entry := range l.Entries {
		_, err := l.Book(short, lab.Booking{Entry: entry, Name: "paused", Submission: fmt.Sprint(entry), Key: key})
		require.Error(t, err)
	}
	require.NoError(t, l.Signal(l.Agents[0], syscall.SIGCONT))
	a, err := l.Book(ctx, lab.Booking{Name: "paused", Submission: "last", Key: key})
	require.NoError(t, err)
	require.Equal(t, wire.Ran, a.Outcome, a.Body)
	require.Equal(t, 1, l.Options.Ledger.Runs("paused"))
}

// Guards against a second run when the owner changes during a partition. An
// entry and the old owner have not received the change, so that a key that was
// created after it reaches both owners.
func TestOwnerChangeBehindPartitionRunsOnce(t *testing.T) {
	l, ctx := onceLab(t, func(o *lab.Options) {
		o.Partitioned = func(p *lab.Process) bool { return p.ID == "agent-0" || p.ID == "entry-0" }
	})
	start := time.Now()
	old := config.OwnerEpoch{Start: start.Add(-time.Hour), Instances: []fleet.InstanceID{"agent-0"}}
	publish := func(until time.Time) {
		require.NoError(t, l.PublishAllocation(config.Owners{Epochs: []config.OwnerEpoch{old}, Until: until}))
		require.NoError(t, l.PublishToPartition())
	}
	// Until is extended once the processes serve, so that the change takes
	// effect after that.
	await := func(entry int, detail once.Reason) {
		require.NoError(t, lab.Await(ctx, func() error {
			a, err := l.Book(ctx, lab.Booking{Entry: entry, Name: newKey(), Key: newKey()})
			if err == nil && a.Problem.Detail != string(detail) {
				err = fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			return err
		}))
	}
	publish(start)
	await(0, once.BeyondUntil)
	until := time.Now().Add(2 * time.Second)
	publish(until)
	next := config.OwnerEpoch{Start: until, Instances: []fleet.InstanceID{"agent-1"}}
	require.NoError(t, l.PublishAllocation(config.Owners{
		Epochs: []config.OwnerEpoch{old, next}, Until: until.Add(time.Hour),
	}))
	// Keys created before the change run only at the old owner, keys created
	// after it only at the new owner. The last keys are created after Until of
	// the partitioned processes.
	runs := 0
	for time.Now().Before(until.Add(time.Second)) {
		key := newKey()
		for entry := range l.Entries {
			_, err := l.Book(ctx, lab.Booking{Entry: entry, Name: key, Submission: fmt.Sprint(key, entry), Key: key})
			require.NoError(t, err)
		}
		n := l.Options.Ledger.Runs(key)
		require.LessOrEqual(t, n, 1, key)
		runs += n
	}
	require.Positive(t, runs)
	await(0, once.BeyondUntil)
	await(1, "")
}
