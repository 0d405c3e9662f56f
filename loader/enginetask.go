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
)

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
	c.taskRunning = c.loader.tasks.Put(ctx, t) == nil
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
			done.found, done.err = l.findPieces(ctx, t)
		case taskPlace:
			done.err = l.placePieces(ctx, t)
		case taskOrder:
			done.err = l.orderLoad(ctx, t)
		}
		done.took = time.Since(startedAt)
		if l.events.Put(ctx, done) != nil {
			return nil
		}
	}
}

// findPieces reads the pieces stored at the engine and returns those that belong
// to the version of the task.
func (l *Loader) findPieces(ctx context.Context, t engineTask) (map[int][]byte, error) {
	held, err := l.engine.Held(ctx, t.manifest.Model)
	if err != nil {
		return nil, err
	}
	found := map[int][]byte{}
	for i, n := range held {
		data, err := l.engine.Get(ctx, t.manifest.Model, n, t.manifest.PieceBytes)
		switch {
		case err != nil && !unusablePiece(err):
			return found, err
		case t.manifest.Verify(n, data):
			found[n] = data
		case i == 0 && len(found) == 0:
			// If the first stored piece does not match, the engine is assumed to
			// store another version. A later corrupt piece is only transferred
			// again.
			return found, nil
		}
	}
	return found, nil
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
	switch ev.task.kind {
	case taskSearch:
		vc.searching, vc.searched = false, true
		for n, data := range ev.found {
			vc.add(n, data)
		}
		_ = c.loader.logger.Log("event", "pieces-found", "version", vc.version, "pieces", len(ev.found), "err", ev.err)
		return
	case taskPlace:
		if ev.err == nil {
			c.core.MarkPlaced(vc.version)
		}
	case taskOrder:
		if ev.err == nil {
			c.core.MarkOrdered(now, vc.version)
			c.notifyGateways(ctx, 0, c.served)
		}
	}
	_ = c.loader.logger.Log("event", [...]string{"", "pieces-placed", "engine-ordered"}[ev.task.kind], "version", vc.version,
		"took", ev.took.Seconds(), "sequence", ev.task.sequence, "err", ev.err)
	switch {
	case errors.Is(ev.err, errCorruptPiece):
		c.core.MarkCorrupt()
	case errors.Is(ev.err, staging.ErrUnanswered):
		c.core.MarkUnanswered(vc.version, ev.task.startTime, ev.task.sequence)
	}
	if ev.err != nil {
		c.core.MarkFailed(now)
	}
}
