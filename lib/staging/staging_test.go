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

const within = 8 * time.Second

func holds(version, born int64, busy bool) Report {
	r := Report{Born: born, Busy: busy}
	if version > 0 {
		r.Copies = []published.Copy{{Model: "m", Version: version, Layers: 16}}
	}
	return r
}

func target(version int64) published.DesiredVersion {
	return published.DesiredVersion{Model: "m", Version: version, FirstSeen: start}
}

// next returns the next action alone.
func next(c *Core, now time.Time) Action {
	a, _ := c.Next(now)
	return a
}

// Guards against an order before every piece lies in place, and against one
// that is given while another is in progress.
func TestPathOfAVersion(t *testing.T) {
	c := New("m", 16, within)
	now := start
	require.Equal(t, Idle, next(c, now))
	c.SetTarget(target(2))
	require.Equal(t, Idle, next(c, now), "the engine is not known")
	c.SetReport(holds(0, 1, false))
	require.Equal(t, Fetch, next(c, now))
	c.Completed(2)
	require.Equal(t, Place, next(c, now))
	c.Placed(2)
	require.Equal(t, Order, next(c, now))
	c.Ordered(now, 2)
	require.Equal(t, Idle, next(c, now))
	require.Equal(t, Order, next(c, now.Add(orderPatience)), "an order without effect is given again")
	c.SetReport(holds(0, 1, true))
	require.Equal(t, Idle, next(c, now.Add(orderPatience)))
	c.SetReport(holds(2, 1, false))
	require.Equal(t, Idle, next(c, now.Add(time.Hour)))
}

// Guards against an engine that restarted and is taken to hold what lay at it
// before, or to carry out an order that it forgot.
func TestRestartedEngineBeginsAnew(t *testing.T) {
	c := New("m", 16, within)
	c.SetTarget(target(2))
	c.SetReport(holds(0, 1, false))
	c.Completed(2)
	c.Placed(2)
	c.Ordered(start, 2)
	c.SetReport(holds(0, 2, false))
	require.Equal(t, Place, next(c, start))
	c.Placed(2)
	require.Equal(t, Order, next(c, start))
}

// Guards against an engine that begins on weights of an older target.
func TestNewTargetReplacesAnOlderOne(t *testing.T) {
	c := New("m", 16, within)
	c.SetTarget(target(2))
	c.SetReport(holds(0, 1, false))
	c.Completed(2)
	c.Placed(2)
	c.SetTarget(target(3))
	require.Equal(t, Fetch, next(c, start))
	c.Completed(3)
	require.Equal(t, Place, next(c, start), "pieces of version 2 lie in place")
}

// Guards against an engine that serves nothing, or weights that are due to be
// replaced, while the target cannot be brought and an earlier version that is
// still allowed is here.
func TestEarlierVersionServesWhileTheTargetIsMissing(t *testing.T) {
	w := published.DesiredVersion{
		Model: "m", Version: 3, FirstSeen: start.Add(2 * time.Second), Previous: []published.PreviousVersion{{Version: 2, Learned: start}},
	}
	c := New("m", 16, within)
	c.SetTarget(w)
	c.SetReport(holds(1, 1, false))
	c.Completed(2)
	turn := c.Turn()
	require.Equal(t, Fetch, next(c, turn.Add(-time.Millisecond)), "the target may come before the turn")
	a, version := c.Next(turn)
	require.Equal(t, Place, a)
	require.Equal(t, int64(2), version)
	c.Placed(2)
	require.Equal(t, Order, next(c, turn))
	c.Ordered(turn, 2)
	c.SetReport(holds(2, 1, false))
	require.Equal(t, Fetch, next(c, turn))
	c.Completed(3)
	a, version = c.Next(turn)
	require.Equal(t, Place, a)
	require.Equal(t, int64(3), version)

	empty := New("m", 16, within)
	empty.SetTarget(w)
	empty.SetReport(holds(0, 1, false))
	empty.Completed(2)
	_, version = empty.Next(start.Add(3 * time.Second))
	require.Equal(t, int64(2), version)
	require.Equal(t, Fetch, next(empty, w.FirstSeen.Add(within-leastUse)), "too short a use")
}

// Guards against pieces that turned bad in place and are ordered all the same.
func TestSpoiltPiecesArePlacedAgain(t *testing.T) {
	c := New("m", 16, within)
	c.SetTarget(target(2))
	c.SetReport(holds(0, 1, false))
	c.Completed(2)
	c.Placed(2)
	c.Spoilt()
	require.Equal(t, Place, next(c, start))
}

// Guards against engines that all leave service at once, and against one whose
// turn comes after its weights may begin no more requests.
func TestTurnsAreSpreadOverTheTime(t *testing.T) {
	const engines = 20
	var all []string
	for i := range engines {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	seen := map[int]bool{}
	for _, e := range all {
		rank := Rank(e, all, 2)
		require.False(t, seen[rank])
		seen[rank] = true
		turn := Turn(target(2), 1, within, rank, engines)
		require.False(t, turn.Before(start.Add(within/4)))
		require.False(t, turn.After(start.Add(within-turnMargin)))
	}
	// Version 2 was wanted shortly before version 3: what holds version 1 is due
	// with version 2.
	w := target(3)
	w.FirstSeen = start.Add(2 * time.Second)
	w.Previous = []published.PreviousVersion{{Version: 2, Learned: start}, {Version: 1}}
	last := Turn(w, 1, within, engines-1, engines)
	require.False(t, last.After(start.Add(within-turnMargin)))
	require.True(t, Turn(w, 2, within, engines-1, engines).After(last))
}

// Guards against an engine without weights that waits for its turn.
func TestEmptyEngineDoesNotWait(t *testing.T) {
	c := New("m", 16, within)
	c.SetTarget(target(2))
	c.SetRank(5, 6)
	c.SetReport(holds(1, 1, false))
	require.True(t, c.Turn().After(start))
	c.SetReport(holds(0, 1, false))
	require.True(t, c.Turn().IsZero())
}

// Guards against a piece that is accepted in place of another, and against two
// manifests with one root.
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
