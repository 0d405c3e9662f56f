package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

// testRetry is a time after which a failed attempt is repeated.
const testRetry = 2 * retryDelay

// coreWithOpenOrder returns a core whose order to load version 2 got no answer, while version 3
// is desired and complete.
func coreWithOpenOrder() (c *Core, now time.Time) {
	now = start.Add(updateWindow)
	c = New("m", 16, updateWindow)
	c.SetTarget(target(2))
	c.SetReport(reportOf(1, 7, false))
	c.MarkComplete(2)
	c.MarkPlaced(2)
	c.MarkUnanswered(now, 2, 7, 0)
	c.MarkFailed(now)
	c.SetTarget(target(3))
	c.MarkComplete(3)
	return c, now.Add(testRetry)
}

// requireNext fails the test unless the core returns an action and its version.
func requireNext(t *testing.T, c *Core, now time.Time, action Action, version int64, why string) {
	t.Helper()
	a, v := c.Next(now)
	require.Equal(t, action, a, why)
	require.Equal(t, version, v, why)
}

// Guards against an engine that loads pieces of two versions: it accepts an order after the
// loader gave it up and began to store a newer version.
func TestPiecesStayWhileAnOrderMayBeAccepted(t *testing.T) {
	c, now := coreWithOpenOrder()
	requireNext(t, c, now, Order, 2, "the same order again, of which only one is accepted")
	c.MarkCorrupt()
	requireNext(t, c, now, Place, 2, "the guard does not depend on what is stored")
	c.MarkPlaced(2)
	c.SetReport(reportOf(1, 7, true))
	requireNext(t, c, now, Idle, 2, "the engine executes an order")

	accepted := reportOf(1, 7, false)
	accepted.Sequence = 1
	c.SetReport(accepted)
	v, ok := c.TakeAccepted(now)
	require.True(t, ok)
	require.Equal(t, int64(2), v)
	requireNext(t, c, now, Place, 3, "the order is accepted, and those before are void")

	c, now = coreWithOpenOrder()
	c.MarkOrdered(now, 2)
	requireNext(t, c, now, Place, 3, "the engine answered the same order")

	c, now = coreWithOpenOrder()
	c.SetReport(reportOf(0, 8, false))
	requireNext(t, c, now, Place, 3, "a restart ends the order")

	c, now = coreWithOpenOrder()
	c.SetReport(reportOf(2, 7, false))
	requireNext(t, c, now, Place, 3, "an order for what the engine serves has no effect")
}

// Guards against an engine that is kept on an old version for good because it never answers an
// order to load another one, or refuses it.
func TestOrderThatIsNeverAnsweredExpires(t *testing.T) {
	for _, unanswered := range []bool{true, false} {
		c, now := coreWithOpenOrder()
		sentAt := now.Add(-testRetry)
		for range maxRepeats {
			requireNext(t, c, now, Order, 2, "sent again")
			if unanswered {
				sentAt = now
				c.MarkUnanswered(now, 2, 7, 0)
			} else {
				c.MarkRefused(2)
			}
			c.MarkFailed(now)
			now = now.Add(testRetry)
		}
		require.NotEqual(t, Order, nextAction(c, now), "each accepted order interrupts the engine")
		require.Equal(t, int64(2), c.OpenOrder(sentAt.Add(requestLifetime-time.Millisecond)))
		requireNext(t, c, sentAt.Add(requestLifetime), Place, 3, "the order is void")
	}
}

// Guards against a piece that turns corrupt at the engine long before it accepts an order: no
// verification follows the last time that the order was sent.
func TestPiecesOfAnOpenOrderAreVerified(t *testing.T) {
	c, now := coreWithOpenOrder()
	for range maxRepeats {
		c.MarkRefused(2)
	}
	requireNext(t, c, now, Verify, 2, "the pieces may have turned corrupt")
	c.MarkVerified(now)
	requireNext(t, c, now, Idle, 2, "just verified")
	now = now.Add(verifyInterval)
	requireNext(t, c, now, Verify, 2, "a second later")
	c.MarkCorrupt()
	requireNext(t, c, now, Place, 2, "stored again")
}

// Guards against a version that is never loaded because an order for it got no answer often
// before another version was desired.
func TestRepeatsCountOnlyForAnObsoleteVersion(t *testing.T) {
	c, now := coreWithOpenOrder()
	c.SetTarget(target(2))
	for range 2 * maxRepeats {
		requireNext(t, c, now, Order, 2, "desired")
		c.MarkUnanswered(now, 2, 7, 0)
	}
	c.SetTarget(target(3))
	requireNext(t, c, now, Order, 2, "sent again")
}

// Guards against an engine that loads a piece of an older version: it stored the piece after
// the loader gave the request up, and after the newer version was stored and verified.
func TestOrderWaitsForAPieceThatMayBeStoredLate(t *testing.T) {
	now := start.Add(updateWindow)
	c := New("m", 16, updateWindow)
	c.SetReport(reportOf(1, 7, false))
	c.MarkPieceUnanswered(now, 2, 7)
	c.SetTarget(target(3))
	c.MarkComplete(3)
	requireNext(t, c, now, Place, 3, "the newer version is verified before it is loaded")
	c.MarkPlaced(3)
	requireNext(t, c, now, Idle, 3, "a piece of version 2 may arrive")
	requireNext(t, c, now.Add(requestLifetime), Order, 3, "no longer")
	c.SetReport(reportOf(1, 8, false))
	c.MarkPlaced(3)
	requireNext(t, c, now, Order, 3, "a restart ends the request")

	c.MarkPieceUnanswered(now, 3, 8)
	requireNext(t, c, now, Order, 3, "the piece is one of the version itself")
}

// inheritingCore returns a core of a loader that found an engine with a loaded version, and for
// which a version is desired and complete.
func inheritingCore(loaded, desired int64) (c *Core, now time.Time) {
	now = start.Add(updateWindow)
	c = New("m", 16, updateWindow)
	c.Inherit(now, reportOf(loaded, 7, false))
	c.SetReport(reportOf(loaded, 7, false))
	c.SetTarget(target(desired))
	c.MarkFound(desired, FoundNone)
	c.MarkComplete(desired)
	return c, now
}

// Guards against an engine that loads pieces of two versions: a loader that was killed had sent
// it an order, and the one that follows knows of none and stores a newer version.
func TestOrderOfAnEarlierProcessIsSettled(t *testing.T) {
	c, now := inheritingCore(1, 3)
	requireNext(t, c, now, Idle, 3, "version 2 may be stored and ordered")
	require.Equal(t, []int64{2, 1}, c.Unsearched(now))
	c.MarkFound(2, FoundAll)
	c.MarkComplete(2)
	requireNext(t, c, now, Order, 2, "it is, and is ordered as the earlier process did")
	require.Empty(t, c.Unsearched(now))
	c.MarkUnanswered(now, 2, 7, 0)
	c.SetTarget(target(4))
	c.MarkComplete(4)
	requireNext(t, c, now.Add(testRetry), Order, 2, "also while the next version is desired")
	c.MarkOrdered(now, 2)
	requireNext(t, c, now, Place, 4, "accepted")
}

// Guards against a loader that waits, or interrupts its engine, for an order that an earlier
// process cannot have sent.
func TestNoOrderOfAnEarlierProcessIsOpen(t *testing.T) {
	for name, settle := range map[string]func(c *Core){
		"the engine is empty":            func(c *Core) { c.MarkFound(3, FoundEmpty) },
		"it stores what it serves":       func(c *Core) { c.MarkFound(1, FoundAll) },
		"the newer version was begun":    func(c *Core) { c.MarkFound(3, FoundSome); c.MarkFound(2, FoundSome) },
		"the newer version is stored":    func(c *Core) { c.MarkFound(3, FoundAll) },
		"another order was accepted":     func(c *Core) { r := reportOf(1, 7, false); r.Sequence = 1; c.SetReport(r) },
		"the engine restarted":           func(c *Core) { c.SetReport(reportOf(1, 8, false)) },
		"it serves the version before":   func(c *Core) { c.SetReport(reportOf(2, 7, false)) },
		"the order is older than it may": func(c *Core) { c.inherited.since = c.inherited.since.Add(-requestLifetime) },
	} {
		c, now := inheritingCore(1, 3)
		settle(c)
		requireNext(t, c, now, Place, 3, name)
	}
}

// Guards against an order of an earlier process that is forgotten once its version is stored
// again, and against one that is assumed after the loader itself has replaced what it found.
func TestInheritedOrderOfTheVersionToLoad(t *testing.T) {
	c, now := inheritingCore(1, 2)
	c.MarkFound(2, FoundAll)
	requireNext(t, c, now, Place, 2, "the same pieces")
	c.SetTarget(target(3))
	c.MarkComplete(3)
	requireNext(t, c, now, Order, 2, "which the earlier process may have ordered")

	c, now = inheritingCore(1, 2)
	requireNext(t, c, now, Place, 2, "the engine stores none of them")
	c.SetTarget(target(3))
	c.MarkComplete(3)
	requireNext(t, c, now, Place, 3, "nobody has ordered version 2")
}

// Guards against a loader that waits for an earlier process for good.
func TestUnknownPiecesAreReplacedInTheEnd(t *testing.T) {
	c, now := inheritingCore(1, 3)
	c.MarkFound(2, FoundNone)
	c.MarkFound(1, FoundSome)
	require.Empty(t, c.Unsearched(now))
	requireNext(t, c, now, Idle, 3, "what the engine stores is not known")
	requireNext(t, c, now.Add(requestLifetime), Place, 3, "no order is open any longer")

	w := target(3)
	w.Previous = []published.PreviousVersion{{Version: 2, Published: published.At(start)}, {Version: 1}}
	c.SetTarget(w)
	require.Empty(t, c.Unsearched(now.Add(requestLifetime)))
}
