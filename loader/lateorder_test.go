package loader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/staging"
)

// lateEngine is an engine that hangs on the first order to load version 2. It accepts that order
// once it stores half of the pieces of a later version, if the order still fits then.
type lateEngine struct {
	*fakeEngine
	once sync.Once
	// held is closed once that order has arrived.
	held chan struct{}
	// sequence is the one that the order states.
	sequence int64
	// silent is the number of further orders that are neither answered nor accepted.
	silent int
}

func newLateEngine() *lateEngine {
	return &lateEngine{fakeEngine: fullEngine(1, firstVersion), held: make(chan struct{})}
}

func (e *lateEngine) OrderLoad(ctx context.Context, model string, version, sequence int64) error {
	first := false
	e.once.Do(func() {
		first = true
		e.sequence = sequence
		close(e.held)
	})
	if !first {
		e.mu.Lock()
		e.silent--
		silent := e.silent >= 0
		e.mu.Unlock()
		if !silent {
			return e.fakeEngine.OrderLoad(ctx, model, version, sequence)
		}
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", staging.ErrUnanswered, ctx.Err())
}

func (e *lateEngine) Put(ctx context.Context, model string, number int, data []byte) error {
	if err := e.fakeEngine.Put(ctx, model, number, data); err != nil {
		return err
	}
	select {
	case <-e.held:
	default:
		return nil
	}
	if number == testPieces/2 && string(data) != string(piece(2, number)) {
		// The error means that the order no longer fits.
		_ = e.fakeEngine.OrderLoad(ctx, model, 2, e.sequence)
	}
	return nil
}

// Guards against an engine that loads pieces of two versions, because it accepts an order after
// the loader gave it up and began to store a newer version.
func TestOrderIsAcceptedLate(t *testing.T) {
	e := newLateEngine()
	c := newCluster(t, e.fakeEngine)
	c.runLoader(0, e)
	c.store.setDesired(2)
	<-e.held
	c.store.setDesired(3)
	c.awaitLoaded(3)
}

// Guards against a loader that fails because it no longer has the version that it ordered, when
// versions are named in quick succession.
func TestOrderIsAcceptedLateAmidSeveralVersions(t *testing.T) {
	e := newLateEngine()
	e.silent = 1
	c := newCluster(t, e.fakeEngine)
	c.runLoader(0, e)
	c.store.setDesired(2)
	<-e.held
	c.store.setDesired(3)
	c.store.setDesired(4)
	c.awaitLoaded(4)
}

// Guards against an engine that loads pieces of two versions, because it accepts an order of a
// loader that was killed after the one that follows, which knows of no order, began to store a
// newer version.
func TestOrderOfAKilledLoaderIsAcceptedLate(t *testing.T) {
	for name, namedBefore := range map[string]bool{"before the kill": true, "after the restart": false} {
		t.Run(name, func(t *testing.T) {
			e := newLateEngine()
			c := newCluster(t, e.fakeEngine)
			kill := c.runLoader(0, e)
			c.store.setDesired(2)
			<-e.held
			if namedBefore {
				c.store.setDesired(3)
			}
			kill()
			c.runLoader(0, e)
			c.store.setDesired(3)
			c.awaitLoaded(3)
		})
	}
}

// Guards against a restarted loader that interrupts its engine, or waits, although the pieces
// that it finds are those that the engine serves.
func TestRestartedLoaderFindsNoOpenOrder(t *testing.T) {
	e := fullEngine(1, firstVersion)
	c := newCluster(t, e)
	c.store.setDesired(3)
	c.runLoader(0, e)
	require.Eventually(t, func() bool { loaded, _ := e.state(); return loaded != firstVersion }, eventTimeout, 5*time.Millisecond)
	c.awaitLoaded(3)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, 1, e.orders)
}
