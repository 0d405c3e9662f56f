package loader

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
)

// agingEngine is an engine whose reads take time on a clock of its own. onRead is called with
// the number of reads so far, after each read.
type agingEngine struct {
	*fakeEngine
	clock  atomic.Int64
	reads  atomic.Int64
	busy   atomic.Int64
	most   atomic.Int64
	onRead func(read int64)
	// gate holds reads back until so many wait in parallel as the test expects.
	gate func()
}

func (e *agingEngine) Get(ctx context.Context, model string, number, limit int) ([]byte, error) {
	busy := e.busy.Add(1)
	defer e.busy.Add(-1)
	for most := e.most.Load(); busy > most && !e.most.CompareAndSwap(most, busy); most = e.most.Load() {
	}
	if e.gate != nil {
		e.gate()
	}
	data, err := e.fakeEngine.Get(ctx, model, number, limit)
	e.onRead(e.reads.Add(1))
	return data, err
}

func (e *agingEngine) spoil(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[number] = []byte("corrupt")
}

func (e *agingEngine) sleep(d time.Duration) { e.clock.Add(int64(d)) }

// verifyingLoader returns a loader with an engine and its piece verifiers.
func verifyingLoader(t *testing.T, e *agingEngine) *Loader {
	l := &Loader{
		engine: e, logger: log.NewNopLogger(), uptime: func() time.Duration { return time.Duration(e.clock.Load()) },
		checks:  ring.New[pieceCheck](maxParallelReads, ring.Wait),
		checked: ring.New[checkedPiece](maxParallelReads, ring.Wait),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for range maxParallelReads {
		wait.Go(func() { _ = l.runPieceVerifier(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return l
}

func manifestOf(version int64) *staging.Manifest {
	m := &staging.Manifest{Model: testModel, Version: version, PieceBytes: len(piece(version, 10))}
	for i := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(piece(version, i)))
	}
	return m
}

func orderTask() engineTask {
	return engineTask{kind: taskOrder, manifest: manifestOf(2), data: make([][]byte, testPieces)}
}

// Guards against an order to load a piece that turned corrupt after it was verified: the
// process or its machine was paused at any piece of the verification.
func TestPausedVerificationIsRepeated(t *testing.T) {
	for pausedAt := int64(1); pausedAt <= testPieces; pausedAt++ {
		e := &agingEngine{fakeEngine: fullEngine(1, 2)}
		e.loaded = 1
		e.onRead = func(read int64) {
			if read == pausedAt {
				e.sleep(3350 * time.Millisecond)
				e.spoil(0)
			}
		}
		l := verifyingLoader(t, e)
		require.ErrorIs(t, l.orderLoad(context.Background(), orderTask()), errCorruptPiece, "paused at read %d", pausedAt)
		require.Zero(t, e.orders)
	}
}

// Guards against an order after a verification that took too long because the engine is
// slow, and against an engine that never gets an order because it is.
func TestSlowEngineIsVerifiedInParallel(t *testing.T) {
	e := &agingEngine{fakeEngine: fullEngine(1, 2)}
	e.loaded = 1
	const readTime = 450 * time.Millisecond
	// One read after the other would take 5.4 s.
	needed := int64(parallelReads(testPieces, readTime))
	require.Greater(t, needed, int64(1))
	e.onRead = func(read int64) {
		if read == 1 || (read-1)%needed == 0 {
			e.sleep(readTime)
		}
	}
	var arrived atomic.Int64
	full := make(chan struct{})
	e.gate = func() {
		switch n := arrived.Add(1); {
		case n == needed+1:
			close(full)
		case n > 1 && n <= needed:
			<-full
		}
	}
	l := verifyingLoader(t, e)
	require.NoError(t, l.orderLoad(context.Background(), orderTask()))
	require.Equal(t, needed, e.most.Load())
	loaded, partial := e.state()
	require.Equal(t, int64(2), loaded)
	require.False(t, partial)
}

// Guards against verifications without end of an engine that is too slow for any.
func TestEndlessVerificationFails(t *testing.T) {
	e := &agingEngine{fakeEngine: fullEngine(1, 2)}
	e.onRead = func(int64) { e.sleep(2 * time.Second) }
	l := verifyingLoader(t, e)
	require.ErrorIs(t, l.orderLoad(context.Background(), orderTask()), errVerificationExpired)
	require.Zero(t, e.orders)
}

// Guards against a result of a verification that ended early and is taken for one of the
// next.
func TestResultsOfAnEndedVerificationAreTaken(t *testing.T) {
	e := &agingEngine{fakeEngine: fullEngine(1, 2)}
	e.onRead = func(read int64) {
		if read == 1 {
			e.sleep(time.Second)
			e.spoil(1)
		}
	}
	l := verifyingLoader(t, e)
	require.ErrorIs(t, l.orderLoad(context.Background(), orderTask()), errCorruptPiece)
	require.Zero(t, l.checked.Depth())
	require.NoError(t, e.Put(context.Background(), testModel, 1, piece(2, 1)))
	require.NoError(t, l.orderLoad(context.Background(), orderTask()))
}

// Guards against an engine that never gets weights because a piece is missing there when it
// is read back, or is far too long: only a wrong content was placed again.
func TestMissingPieceIsPlacedAgain(t *testing.T) {
	for name, stored := range map[string][]byte{"missing": nil, "too long": make([]byte, 1<<20)} {
		e := &agingEngine{fakeEngine: fullEngine(1, 2), onRead: func(int64) {}}
		e.staged[4] = stored
		l := verifyingLoader(t, e)
		require.ErrorIs(t, l.orderLoad(context.Background(), orderTask()), errCorruptPiece, name)
	}
}
