package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

var peerClient = &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}

// fleetLab starts processes without weights and publishes generation 1.
func fleetLab(t *testing.T) (*lab.Lab, context.Context) {
	o := smallOptions()
	o.Agents, o.Entries = 9, 3
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	require.NoError(t, l.Publish(func(*config.Document) {}))
	awaitInForce(ctx, t, l, 1)
	return l, ctx
}

func allProcesses(l *lab.Lab) []*lab.Process {
	return append(append([]*lab.Process(nil), l.Agents...), l.Entries...)
}

func nodeStatus(ctx context.Context, p *lab.Process) (node.Status, error) {
	var s node.Status
	err := peerClient.GetJSON(ctx, p.Address, wire.PathStatus, &s)
	return s, err
}

func eventsOfKind(ctx context.Context, t *testing.T, p *lab.Process, kind timeline.Kind) []timeline.Event {
	var list, kept []timeline.Event
	require.NoError(t, peerClient.GetJSON(ctx, p.Address, wire.PathTimeline, &list))
	for _, e := range list {
		if e.Kind == kind {
			kept = append(kept, e)
		}
	}
	return kept
}

func awaitStatus(ctx context.Context, t *testing.T, p *lab.Process, ok func(node.Status) bool) {
	require.NoError(t, lab.Await(ctx, func() error {
		s, err := nodeStatus(ctx, p)
		if err == nil && !ok(s) {
			err = fmt.Errorf("%s: %+v", p.ID, s)
		}
		return err
	}))
}

func awaitInForce(ctx context.Context, t *testing.T, l *lab.Lab, g fleet.Generation) {
	for _, p := range allProcesses(l) {
		awaitStatus(ctx, t, p, func(s node.Status) bool { return s.Ready && s.Generation == g })
	}
}

// requireIncreasingGenerations fails the test if a process adopted an older
// generation after a newer one.
func requireIncreasingGenerations(ctx context.Context, t *testing.T, p *lab.Process) {
	last := fleet.Generation(0)
	for _, e := range eventsOfKind(ctx, t, p, timeline.ConfigAdopted) {
		require.Greater(t, e.Generation, last, p.ID)
		last = e.Generation
	}
}

// Guards against a change that does not spread beyond the one process that has
// read it.
func TestServiceDownAfterOneRead(t *testing.T) {
	l, ctx := fleetLab(t)
	l.Config.FailAfter(1)
	require.NoError(t, l.PublishDomain("middle", config.DomainOut))
	awaitInForce(ctx, t, l, 2)
	require.True(t, l.Config.Down.Load())
}

// Guards against a stale configuration service that brings back an older
// generation through processes that start with empty memory.
func TestOlderGenerationAfterRestart(t *testing.T) {
	l, ctx := fleetLab(t)
	old := l.Config.Value(lab.ConfigKey)
	require.NoError(t, l.PublishDomain("middle", config.DomainOut))
	awaitInForce(ctx, t, l, 2)
	l.Config.Put(lab.ConfigKey, old)
	processes := allProcesses(l)
	for _, p := range processes[:len(processes)/2] {
		require.NoError(t, l.Signal(p, os.Kill))
		require.NoError(t, l.Wait(ctx, p))
		require.NoError(t, l.Launch(p))
	}
	awaitInForce(ctx, t, l, 2)
	for _, p := range processes {
		requireIncreasingGenerations(ctx, t, p)
	}
	for _, p := range processes[:len(processes)/2] {
		require.Len(t, eventsOfKind(ctx, t, p, timeline.ConfigAdopted), 1, "a restarted process had the older generation in force")
	}
}

// Guards against a rejected document that replaces the one in force, and against
// more than one time line event for the same rejected document.
func TestRejectedDocument(t *testing.T) {
	l, ctx := fleetLab(t)
	require.NoError(t, lab.Await(ctx, func() error {
		if n := l.Config.Pending.Load(); n < 3*gossip.WatchersPerRegion {
			return fmt.Errorf("%d pending watches", n)
		}
		return nil
	}))
	rejected := bytes.Replace(l.Config.Value(lab.ConfigKey), []byte(`"generation":1`), []byte(`"generation":7,"typo":1`), 1)
	l.Config.Put(lab.ConfigKey, rejected)
	watching := 0
	for _, p := range allProcesses(l) {
		s, err := nodeStatus(ctx, p)
		require.NoError(t, err)
		if !s.Watching {
			continue
		}
		watching++
		require.NoError(t, lab.Await(ctx, func() error {
			if len(eventsOfKind(ctx, t, p, timeline.ConfigRejected)) == 0 {
				return fmt.Errorf("%s has not reported the rejection", p.ID)
			}
			return nil
		}))
	}
	require.Positive(t, watching)
	l.Config.Put(lab.ConfigKey, rejected)
	require.NoError(t, l.Publish(func(*config.Document) {}))
	awaitInForce(ctx, t, l, 2)
	for _, p := range allProcesses(l) {
		require.LessOrEqual(t, len(eventsOfKind(ctx, t, p, timeline.ConfigRejected)), 1)
	}
}

// Guards against a process that resumes with a stale view and keeps it. It must
// receive the new generation while the configuration service is down.
func TestPausedProcessCatchesUp(t *testing.T) {
	l, ctx := fleetLab(t)
	paused := l.Agents[4]
	require.NoError(t, l.Signal(paused, syscall.SIGSTOP))
	require.NoError(t, l.PublishDomain("middle", config.DomainOut))
	for _, p := range allProcesses(l) {
		if p != paused {
			awaitStatus(ctx, t, p, func(s node.Status) bool { return s.Generation == 2 })
		}
	}
	l.Config.Down.Store(true)
	require.NoError(t, l.Signal(paused, syscall.SIGCONT))
	awaitStatus(ctx, t, paused, func(s node.Status) bool { return s.Generation == 2 })
}

// Guards against a process that cannot start while the configuration service is
// down.
func TestStartWhileServiceIsDown(t *testing.T) {
	l, ctx := fleetLab(t)
	l.Config.Down.Store(true)
	p := l.Agents[2]
	require.NoError(t, l.Signal(p, os.Kill))
	require.NoError(t, l.Wait(ctx, p))
	require.NoError(t, l.Launch(p))
	awaitStatus(ctx, t, p, func(s node.Status) bool { return s.Ready && s.Generation == 1 })
}

// Guards against a stopping process that the others keep as a live member
// because the instance list lags behind.
func TestLeavingBeforeListUpdate(t *testing.T) {
	l, ctx := fleetLab(t)
	leaving := l.Agents[5]
	require.NoError(t, l.Signal(leaving, syscall.SIGTERM))
	for _, p := range allProcesses(l) {
		if p != leaving {
			awaitStatus(ctx, t, p, func(s node.Status) bool { return s.Leaving == 1 })
		}
	}
}

// Guards against a split in which two documents of the same generation stay in
// force, and against more than one time line event for the conflict.
func TestConflictResolvesToGreaterDigest(t *testing.T) {
	l, ctx := fleetLab(t)
	first := l.Config.Value(lab.ConfigKey)
	second := bytes.Replace(first, []byte(`"customers"`), []byte(` "customers"`), 1)
	winner := max(fleet.Digest(blake3.Sum256(first)).String(), fleet.Digest(blake3.Sum256(second)).String())
	for range 3 {
		l.Config.Put(lab.ConfigKey, second)
		l.Config.Put(lab.ConfigKey, first)
	}
	l.Config.Put(lab.ConfigKey, second)
	conflicts := 0
	for _, p := range allProcesses(l) {
		awaitStatus(ctx, t, p, func(s node.Status) bool { return s.Digest.String() == winner })
		n := len(eventsOfKind(ctx, t, p, timeline.ConfigConflict))
		require.LessOrEqual(t, n, 1)
		conflicts += n
	}
	require.Positive(t, conflicts)
}

// Guards against a process that exits or reports to be ready while there is no
// configuration.
func TestReadyOnlyWithAConfiguration(t *testing.T) {
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	l.Config.Down.Store(true)
	const reason = "no configuration was accepted yet"
	for _, p := range allProcesses(l) {
		awaitStatus(ctx, t, p, func(s node.Status) bool { return !s.Ready && s.Reason == reason })
		require.NoError(t, checkReadyz(p, http.StatusServiceUnavailable))
	}
	l.Config.Down.Store(false)
	require.NoError(t, l.Publish(func(*config.Document) {}))
	awaitInForce(ctx, t, l, 1)
	// Only the entry becomes ready, as an agent also needs a version to serve.
	require.NoError(t, lab.Await(ctx, func() error { return checkReadyz(l.Entries[0], http.StatusOK) }))
}

func checkReadyz(p *lab.Process, want int) error {
	resp, err := lab.HTTP.Get("http://" + p.Address + "/readyz")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		return fmt.Errorf("%s: status %d", p.ID, resp.StatusCode)
	}
	return nil
}

// Guards against a publication that no process reads after all watchers were
// killed at the same time.
func TestWatchersAreReplaced(t *testing.T) {
	l, ctx := fleetLab(t)
	// A process that was unreachable while it started is skipped for some time.
	// Another process then watches as well, so that there can be too many
	// watchers at first.
	var watchers, rest []*lab.Process
	require.NoError(t, lab.Await(ctx, func() error {
		watchers, rest = nil, nil
		for _, p := range allProcesses(l) {
			if s, err := nodeStatus(ctx, p); err == nil && s.Watching {
				watchers = append(watchers, p)
			} else {
				rest = append(rest, p)
			}
		}
		if len(watchers) != 3*gossip.WatchersPerRegion {
			return fmt.Errorf("%d watchers", len(watchers))
		}
		return nil
	}))
	for _, p := range watchers {
		require.NoError(t, l.Signal(p, os.Kill))
		require.NoError(t, l.Wait(ctx, p))
	}
	require.NoError(t, l.PublishDomain("middle", config.DomainOut))
	for _, p := range rest {
		awaitStatus(ctx, t, p, func(s node.Status) bool { return s.Generation == 2 })
	}
}
