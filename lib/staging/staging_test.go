package staging

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

var start = time.Unix(1000, 0)

const updateWindow = 8 * time.Second

func reportOf(version, startTime int64, busy bool) Report {
	r := Report{StartTime: startTime, Busy: busy}
	if version > 0 {
		r.Copies = []published.Copy{{Model: "m", Version: version, Layers: 16}}
	}
	return r
}

func target(version int64) published.DesiredVersion {
	return published.DesiredVersion{Model: "m", Version: version, Published: published.At(start)}
}

// nextAction returns the next action without its version.
func nextAction(c *Core, now time.Time) Action {
	a, _ := c.Next(now)
	return a
}

// Guards against an order that is sent before every piece is stored at the
// engine, and against an order while another is in progress.
func TestStagesVersionInOrder(t *testing.T) {
	c := New("m", 16, updateWindow)
	now := start
	require.Equal(t, Idle, nextAction(c, now))
	c.SetTarget(target(2))
	require.Equal(t, Idle, nextAction(c, now), "no report from the engine yet")
	c.SetReport(reportOf(0, 1, false))
	require.Equal(t, Fetch, nextAction(c, now))
	c.MarkComplete(2)
	require.Equal(t, Place, nextAction(c, now))
	c.MarkPlaced(2)
	require.Equal(t, Order, nextAction(c, now))
	c.MarkOrdered(now, 2)
	require.Equal(t, Idle, nextAction(c, now))
	require.Equal(t, Order, nextAction(c, now.Add(orderTimeout)), "an order without effect is sent again")
	c.SetReport(reportOf(0, 1, true))
	require.Equal(t, Idle, nextAction(c, now.Add(orderTimeout)))
	c.SetReport(reportOf(2, 1, false))
	require.Equal(t, Idle, nextAction(c, now.Add(time.Hour)))
}

// Guards against treating pieces and orders from before an engine's restart as
// still stored or in progress.
func TestRestartedEngineIsStagedAgain(t *testing.T) {
	c := New("m", 16, updateWindow)
	c.SetTarget(target(2))
	c.SetReport(reportOf(0, 1, false))
	c.MarkComplete(2)
	c.MarkPlaced(2)
	c.MarkOrdered(start, 2)
	c.SetReport(reportOf(0, 2, false))
	require.Equal(t, Place, nextAction(c, start))
	c.MarkPlaced(2)
	require.Equal(t, Order, nextAction(c, start))
}

// Guards against an engine that is ordered to load an older target.
func TestNewTargetReplacesAnOlderOne(t *testing.T) {
	c := New("m", 16, updateWindow)
	c.SetTarget(target(2))
	c.SetReport(reportOf(0, 1, false))
	c.MarkComplete(2)
	c.MarkPlaced(2)
	c.SetTarget(target(3))
	require.Equal(t, Fetch, nextAction(c, start))
	c.MarkComplete(3)
	require.Equal(t, Place, nextAction(c, start), "the engine stores the pieces of version 2")
}

// Guards against an engine that serves nothing, or a version that must be
// replaced, although the loader has a usable earlier version and cannot fetch
// the target.
func TestEarlierVersionServesWhileTheTargetIsMissing(t *testing.T) {
	w := published.DesiredVersion{
		Model: "m", Version: 3, Published: published.At(start.Add(2 * time.Second)), Previous: []published.PreviousVersion{{Version: 2, Published: published.At(start)}},
	}
	c := New("m", 16, updateWindow)
	c.SetTarget(w)
	c.SetReport(reportOf(1, 1, false))
	c.MarkComplete(2)
	slot := c.SlotStart()
	require.Equal(t, Fetch, nextAction(c, slot.Add(-time.Millisecond)), "the target may arrive before the update slot")
	a, version := c.Next(slot)
	require.Equal(t, Place, a)
	require.Equal(t, int64(2), version)
	c.MarkPlaced(2)
	require.Equal(t, Order, nextAction(c, slot))
	c.MarkOrdered(slot, 2)
	c.SetReport(reportOf(2, 1, false))
	require.Equal(t, Fetch, nextAction(c, slot))
	c.MarkComplete(3)
	a, version = c.Next(slot)
	require.Equal(t, Place, a)
	require.Equal(t, int64(3), version)

	empty := New("m", 16, updateWindow)
	empty.SetTarget(w)
	empty.SetReport(reportOf(0, 1, false))
	empty.MarkComplete(2)
	_, version = empty.Next(start.Add(3 * time.Second))
	require.Equal(t, int64(2), version)
	require.Equal(t, Fetch, nextAction(empty, w.Published.NotBefore.Add(updateWindow-minRemainingUse)), "remaining time of use is too short")
}

// Guards against an order to load pieces that failed verification at the engine.
func TestCorruptPiecesArePlacedAgain(t *testing.T) {
	c := New("m", 16, updateWindow)
	c.SetTarget(target(2))
	c.SetReport(reportOf(0, 1, false))
	c.MarkComplete(2)
	c.MarkPlaced(2)
	c.MarkCorrupt()
	require.Equal(t, Place, nextAction(c, start))
}

// Guards against engines that all leave service at once, and against an update
// slot that starts after the loaded version may no longer start requests.
func TestSlotsAreSpreadOverTheUpdateWindow(t *testing.T) {
	const engines = 20
	var all []string
	for i := range engines {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	seen := map[int]bool{}
	ranks := Ranks(all, 1)
	for _, e := range all {
		rank := ranks[e]
		require.False(t, seen[rank])
		seen[rank] = true
		slot := SlotStart(target(2), 1, updateWindow, rank, engines)
		require.False(t, slot.Before(start.Add(updateWindow/4)))
		require.False(t, slot.After(start.Add(updateWindow-lastSlotMargin)))
	}
	// Version 2 became the target shortly before version 3. An engine with
	// version 1 must be updated within the window of version 2.
	w := target(3)
	w.Published.NotBefore = start.Add(2 * time.Second)
	w.Previous = []published.PreviousVersion{{Version: 2, Published: published.At(start)}, {Version: 1}}
	last := SlotStart(w, 1, updateWindow, engines-1, engines)
	require.False(t, last.After(start.Add(updateWindow-lastSlotMargin)))
	require.True(t, SlotStart(w, 2, updateWindow, engines-1, engines).After(last))
}

// Guards against engines that leave service all at once because a second version
// became the target shortly after the first: those that have loaded the first one
// must wait until the others are updated.
func TestSlotsOfTwoVersionsFollowEachOther(t *testing.T) {
	const engines = 200
	var all []string
	for i := range engines {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	second := start.Add(2 * time.Second)
	w := target(3)
	w.Published.NotBefore = second
	w.Previous = []published.PreviousVersion{{Version: 2, Published: published.At(start)}, {Version: 1}}
	var slots []time.Time
	for address, rank := range Ranks(all, 1) {
		slot := SlotStart(w, 1, updateWindow, rank, engines)
		slots = append(slots, slot)
		// Without version 3, the engine loads version 2 meanwhile.
		if slot.Before(second.Add(time.Duration(firstSlotFraction * float64(updateWindow)))) {
			again := SlotStart(w, 2, updateWindow, Ranks(all, 2)[address], engines)
			require.False(t, again.After(second.Add(updateWindow-lastSlotMargin)))
			slots = append(slots, again)
		}
	}
	most := 0
	for _, from := range slots {
		n := 0
		for _, s := range slots {
			if !s.Before(from) && s.Before(from.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	require.LessOrEqual(t, most, engines/3, "engines that leave service within one second")
}

// Guards against an end of use that is later than the one by which the engine gets no
// more requests: a paused process may first observe the oldest newer version last.
func TestEarliestNewerVersionEndsTheUse(t *testing.T) {
	w := target(3)
	w.Previous = []published.PreviousVersion{{Version: 2, Published: published.At(start.Add(5 * time.Second))}, {Version: 1}}
	require.Equal(t, start.Add(updateWindow), UsableUntil(w, 1, updateWindow))
	require.False(t, SlotStart(w, 1, updateWindow, 9, 10).After(start.Add(updateWindow-lastSlotMargin)))
	// Engines with version 2 still come after those with version 1, which is due first.
	require.False(t, SlotStart(w, 2, updateWindow, 0, 10).Before(SlotStart(w, 1, updateWindow, 9, 10)))
	w.Published.NotBefore = time.Time{}
	require.Equal(t, start.Add(5*time.Second+updateWindow), UsableUntil(w, 1, updateWindow), "the time of version 3 is unknown")
	w.Published.NotBefore, w.Previous[0].Published.NotBefore = start, time.Time{}
	require.Equal(t, time.Time{}.Add(updateWindow), UsableUntil(w, 1, updateWindow), "version 2 may be over already")
}

// Guards against a version that was withdrawn and is desired again, and whose first time
// ends the use of the other version at once, so that all engines load together.
func TestVersionThatIsDesiredAgainLeavesTheOtherUsable(t *testing.T) {
	again := start.Add(3 * time.Minute)
	w := published.DesiredVersion{Model: "m", Version: 2, Revision: 4, Published: published.At(again), Previous: []published.PreviousVersion{
		{Version: 1, Revision: 3, Published: published.At(start.Add(2 * time.Minute))}, {Version: 2, Revision: 2, Published: published.At(start)}, {Version: 1, Revision: 1},
	}}
	require.Equal(t, again.Add(updateWindow), UsableUntil(w, 1, updateWindow))
	require.False(t, SlotStart(w, 1, updateWindow, 0, 10).Before(again))
}

// Guards against an engine without weights that waits for an update slot.
func TestEmptyEngineUpdatesAtOnce(t *testing.T) {
	c := New("m", 16, updateWindow)
	c.SetTarget(target(2))
	c.SetEngines("engine", []string{"engine", "other"})
	c.SetReport(reportOf(1, 1, false))
	require.True(t, c.SlotStart().After(start))
	c.SetReport(reportOf(0, 1, false))
	require.True(t, c.SlotStart().IsZero())
}

// Guards against a piece that is accepted under another number, and against
// manifests of different versions with the same root.
func TestManifest(t *testing.T) {
	m := Manifest{Model: "m", Version: 2, Digests: []fleet.Digest{sha256.Sum256([]byte("a")), sha256.Sum256([]byte("b"))}}
	require.True(t, m.Verify(1, []byte("b")))
	require.False(t, m.Verify(0, []byte("b")))
	require.False(t, m.Verify(2, []byte("b")))
	require.False(t, m.Verify(-1, []byte("b")))
	other := m
	other.Version = 3
	require.NotEqual(t, m.Root(), other.Root())
}
