package loader

import (
	"context"
	"errors"
	"time"

	"rattanspur.example/lib/staging"
)

// taskKind is the kind of a task at the engine.
type taskKind uint8

const (
	// taskSearch reads the pieces stored at the engine and verifies them.
	taskSearch taskKind = iota
	// taskPlace writes all pieces to the engine.
	taskPlace
	// taskOrder verifies the pieces at the engine and orders it to load them.
	taskOrder
	// taskVerify verifies the pieces at the engine.
	taskVerify
)

// taskNames are the names of the tasks in logs.
var taskNames = [...]string{taskSearch: "pieces-found", taskPlace: "pieces-placed", taskOrder: "engine-ordered", taskVerify: "pieces-verified"}

// minReads is the number of stored pieces that are read before the engine is assumed to store
// another version: one alone may be corrupt.
const minReads = 2

// engineTask is a task at the engine. The worker uses manifest and data, which
// do not change; source belongs to the coordinator. startTime and sequence are those
// of the engine's report before the task.
type engineTask struct {
	kind      taskKind
	source    *versionCopy
	startTime int64
	sequence  int64
	manifest  *staging.Manifest
	data      [][]byte
}

// startTask passes a task to the engine worker. It returns false if the worker
// is still busy with the previous one.
func (c *coordinator) startTask(ctx context.Context, t engineTask) bool {
	if c.taskRunning {
		return false
	}
	t.startTime, t.sequence = c.report.StartTime, c.report.Sequence
	t.manifest = t.source.manifest
	t.data = append([][]byte(nil), t.source.data...)
	c.taskRunning, c.taskVersion = c.loader.tasks.Put(ctx, t) == nil, t.source.version
	return c.taskRunning
}

// runEngineWorker executes the tasks at the engine, one at a time. It alone
// accesses the pieces stored there, so no order can load a mix of versions.
func (l *Loader) runEngineWorker(ctx context.Context) error {
	for {
		t, err := l.tasks.Take(ctx)
		if err != nil {
			return nil
		}
		done := engineTaskDone{task: t}
		startedAt := time.Now()
		switch t.kind {
		case taskSearch:
			done.found, done.held, done.err = l.findPieces(ctx, t)
		case taskPlace:
			done.err = l.placePieces(ctx, t)
		case taskOrder:
			done.err = l.orderLoad(ctx, t)
		case taskVerify:
			done.err = l.verifyPieces(ctx, t.manifest, l.uptime())
		}
		done.took = time.Since(startedAt)
		if l.events.Put(ctx, done) != nil {
			return nil
		}
	}
}

// findPieces reads the pieces stored at the engine and returns those that belong
// to the version of the task, and how many are stored.
func (l *Loader) findPieces(ctx context.Context, t engineTask) (found map[int][]byte, held int, err error) {
	numbers, err := l.engine.Held(ctx, t.manifest.Model)
	if err != nil {
		return nil, 0, err
	}
	found = map[int][]byte{}
	for i, n := range numbers {
		data, err := l.engine.Get(ctx, t.manifest.Model, n, t.manifest.PieceBytes)
		switch {
		case err != nil && !unusablePiece(err):
			return found, len(numbers), err
		case t.manifest.Verify(n, data):
			found[n] = data
		case i+1 >= minReads && len(found) == 0:
			// The engine is assumed to store another version. A later corrupt piece is only
			// transferred again.
			return found, len(numbers), nil
		}
	}
	return found, len(numbers), nil
}

// foundOf returns the result of a search that ended.
func foundOf(ev *engineTaskDone) staging.Found {
	switch {
	case ev.err != nil:
		return staging.NotSearched
	case ev.held == 0:
		return staging.FoundEmpty
	case len(ev.found) == 0:
		return staging.FoundNone
	case len(ev.found) < len(ev.task.manifest.Digests):
		return staging.FoundSome
	default:
		return staging.FoundAll
	}
}

func (l *Loader) placePieces(ctx context.Context, t engineTask) error {
	for n, data := range t.data {
		if err := l.engine.Put(ctx, t.manifest.Model, n, data); err != nil {
			return err
		}
	}
	return nil
}

// orderLoad verifies the pieces at the engine right before the order, because they may
// have become corrupt.
func (l *Loader) orderLoad(ctx context.Context, t engineTask) error {
	return l.verifiedOrder(ctx, t.manifest, func(ctx context.Context) error {
		return l.engine.OrderLoad(ctx, t.manifest.Model, t.manifest.Version, t.sequence)
	})
}

// handleTaskDone records the result of a task in the copy and the staging core.
func (c *coordinator) handleTaskDone(ctx context.Context, now time.Time, ev engineTaskDone) {
	c.taskRunning = false
	vc := ev.task.source
	if ev.task.kind == taskSearch {
		c.handleSearch(vc, &ev)
		return
	}
	_ = c.loader.logger.Log("event", taskNames[ev.task.kind], "version", vc.version,
		"took", ev.took.Seconds(), "sequence", ev.task.sequence, "err", ev.err)
	if ev.err != nil {
		c.handleTaskFailed(now, &ev)
		return
	}
	switch ev.task.kind {
	case taskPlace:
		c.core.MarkPlaced(vc.version)
	case taskOrder:
		c.core.MarkOrdered(now, vc.version)
		c.notifyGateways(ctx, 0, c.served)
	case taskVerify:
		c.core.MarkVerified(now)
	}
}

// handleSearch adds the pieces that were found at the engine to a copy.
func (c *coordinator) handleSearch(vc *versionCopy, ev *engineTaskDone) {
	vc.searching, vc.searched = false, true
	for n, data := range ev.found {
		vc.add(n, data)
	}
	c.core.MarkFound(vc.version, foundOf(ev))
	_ = c.loader.logger.Log("event", taskNames[taskSearch], "version", vc.version, "pieces", len(ev.found), "held", ev.held, "err", ev.err)
}

// handleTaskFailed records why a task failed.
func (c *coordinator) handleTaskFailed(now time.Time, ev *engineTaskDone) {
	version, unanswered := ev.task.source.version, errors.Is(ev.err, staging.ErrUnanswered)
	switch {
	case errors.Is(ev.err, errCorruptPiece):
		c.core.MarkCorrupt()
	case ev.task.kind == taskOrder && unanswered:
		c.core.MarkUnanswered(now, version, ev.task.startTime, ev.task.sequence)
	case ev.task.kind == taskOrder:
		c.core.MarkRefused(version)
	case ev.task.kind == taskPlace && unanswered:
		c.core.MarkPieceUnanswered(now, version, ev.task.startTime)
	}
	c.core.MarkFailed(now)
}
