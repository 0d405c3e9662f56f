package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
)

var start = time.Unix(1000, 0)

func upstream(id string, revision Revision) Change {
	return Change{Key: "u/" + id, Revision: revision, Item: &Upstream{ID: fleet.InstanceID(id), Revision: revision}}
}

func desired(version int64, revision Revision) Change {
	return Change{Key: "w/m", Revision: revision, Item: DesiredVersion{Model: "m", Version: version}}
}

// Guards against a view that depends on the order or the source of changes: a
// peer that is behind must not restore an older item.
func TestViewDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []Change
		n := rapid.IntRange(1, 20).Draw(t, "changes")
		for i := range n {
			c := upstream(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Revision(i+1))
			if rapid.Bool().Draw(t, "removed") {
				c.Removed, c.Item = true, nil
			}
			changes = append(changes, c)
		}
		ordered, shuffled := NewState(), NewState()
		ordered.Apply(start, changes, Revision(n))
		for _, c := range rapid.Permutation(changes).Draw(t, "order") {
			shuffled.Apply(start, []Change{c}, 0)
		}
		require.Equal(t, ordered.View().Upstreams, shuffled.View().Upstreams)
		require.Equal(t, ordered.View().Revision, shuffled.View().Revision)
	})
}

// Guards against an outage of the store that removes every upstream:
// registrations that expired meanwhile are renewed within LapseGrace.
func TestLapsedUpstreamStaysForItsGrace(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{upstream("a", 1), upstream("b", 2)}, 2)
	s.Replace(start.Add(time.Minute), []Change{upstream("a", 1)}, 9)
	require.Len(t, s.View().Upstreams, 2)
	require.False(t, s.Expire(start.Add(time.Minute+LapseGrace-time.Millisecond)))
	require.True(t, s.Expire(start.Add(time.Minute+LapseGrace)))
	require.Len(t, s.View().Upstreams, 1)
}

// Guards against removing a lapsed upstream that renewed its registration in
// time.
func TestLapsedUpstreamRenewsItsRegistration(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{upstream("a", 1)}, 1)
	s.Replace(start, nil, 5)
	s.Apply(start, []Change{upstream("a", 6)}, 6)
	s.Expire(start.Add(time.Hour))
	require.Len(t, s.View().Upstreams, 1)
}

// Guards against restoring an upstream that was removed before this process
// started, from the view of a peer that has not seen the removal yet. Nothing
// would ever remove it again, because its removal precedes the snapshot.
func TestPeerDoesNotRestoreRemovedUpstream(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{upstream("a", 3)}, 9)
	require.False(t, s.Apply(start, []Change{upstream("gone", 2)}, 5))
	require.Len(t, s.View().Upstreams, 1)
	require.True(t, s.Apply(start, []Change{upstream("new", 10)}, 10))
	require.Len(t, s.View().Upstreams, 2)
}

// Guards against a peer's change that ends the grace period of a lapsed
// upstream: only the store knows whether the registration was renewed.
func TestPeerDoesNotRenewALapsedUpstream(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{upstream("a", 1)}, 1)
	s.Replace(start, nil, 5)
	s.Apply(start, []Change{upstream("a", 1)}, 4)
	require.True(t, s.Expire(start.Add(LapseGrace)))
	require.Empty(t, s.View().Upstreams)
}

// Guards against restoring a removed key, which Trim has dropped, from the view
// of a peer that is behind.
func TestForgottenRemovalStaysRemoved(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{upstream("a", 1)}, 1)
	for i := range Revision(2 * maxRemovedKeys) {
		s.Apply(start, []Change{{Key: "u/" + time.Duration(i).String(), Revision: i + 2, Removed: true}}, i+2)
	}
	s.Trim()
	s.Apply(start, []Change{upstream(time.Duration(0).String(), 1)}, 1)
	require.Len(t, s.View().Upstreams, 1)
}

// Guards against an item that cannot be decoded and still yields the upstream
// that it held before.
func TestUnreadableItemRemovesUpstream(t *testing.T) {
	s := NewState()
	s.Apply(start, []Change{upstream("a", 1), upstream("b", 2)}, 2)
	s.Apply(start, []Change{{Key: "u/a", Revision: 3, Removed: true}}, 3)
	require.Len(t, s.View().Upstreams, 1)
	require.Equal(t, fleet.InstanceID("b"), s.View().Upstreams[0].ID)
}

// Guards against losing the publication time of a version when the next version
// is published shortly after: requests would then start on weights that are too
// old.
func TestEachVersionKeepsItsPublication(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{desired(1, 1)}, 1)
	s.Apply(start.Add(10*time.Second), []Change{desired(2, 2)}, 2)
	s.Apply(start.Add(12*time.Second), []Change{desired(3, 3)}, 3)
	w := s.View().Desired["m"]
	at := func(seconds int) int64 { return w.Due(start.Add(time.Duration(seconds)*time.Second), 8*time.Second) }
	require.Equal(t, int64(1), at(17))
	require.Equal(t, int64(2), at(18))
	require.Equal(t, int64(3), at(20))
}

// Guards against a process that starts during a change of weights and treats the
// desired version as a new one.
func TestVersionOfFirstSnapshotIsDueAtOnce(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{desired(2, 2)}, 2)
	require.Equal(t, int64(2), s.View().Desired["m"].Due(start, 8*time.Second))
}

// Guards against a process that restarts during a change of weights and stops
// using the old version, although a peer knows how much time remains.
func TestPeerReportsAgeOfDesiredVersion(t *testing.T) {
	old := NewState()
	old.Replace(start, []Change{desired(1, 1)}, 1)
	old.Apply(start.Add(time.Second), []Change{desired(2, 2)}, 2)
	batch := old.Since(start.Add(4*time.Second), 0)
	restarted := NewState()
	restarted.Replace(start.Add(4*time.Second), []Change{desired(2, 2)}, 2)
	restarted.Apply(start.Add(4*time.Second), batch.Changes, batch.Revision)
	restarted.ApplyAges(start.Add(4*time.Second), batch.Ages)
	w := restarted.View().Desired["m"]
	require.Zero(t, w.Due(start.Add(8*time.Second), 8*time.Second))
	require.Equal(t, int64(2), w.Due(start.Add(9*time.Second), 8*time.Second))
}

// Guards against a process that was paused while a version was published and counts the
// update window from its own later observation: requests began on old weights after it.
func TestLateProcessTakesTheAgeOfItsPeers(t *testing.T) {
	peer := NewState()
	peer.Replace(start, []Change{desired(1, 1)}, 1)
	peer.Apply(start.Add(time.Second), []Change{desired(2, 2)}, 2)
	late := NewState()
	late.Replace(start, []Change{desired(1, 1)}, 1)
	late.Apply(start.Add(6*time.Second), []Change{desired(2, 2)}, 2)
	batch := peer.Since(start.Add(7*time.Second), 0)
	late.Apply(start.Add(7*time.Second), batch.Changes, batch.Revision)
	late.ApplyAges(start.Add(7*time.Second), batch.Ages)
	w := late.View().Desired["m"]
	require.Equal(t, int64(1), w.Due(start.Add(9*time.Second-1), 8*time.Second))
	require.Equal(t, int64(2), w.Due(start.Add(9*time.Second), 8*time.Second))
}

// Guards against a process that missed a version altogether, because the next one was
// published before it resumed, and keeps using what was desired before the missed one.
func TestMissedVersionIsLearntFromPeers(t *testing.T) {
	peer := NewState()
	peer.Replace(start, []Change{desired(1, 1)}, 1)
	peer.Apply(start.Add(time.Second), []Change{desired(2, 2)}, 2)
	peer.Apply(start.Add(3*time.Second), []Change{desired(3, 3)}, 3)
	late := NewState()
	late.Replace(start, []Change{desired(1, 1)}, 1)
	late.Apply(start.Add(6*time.Second), []Change{desired(3, 3)}, 3)
	require.True(t, late.ApplyAges(start.Add(6*time.Second), peer.View().Ages(start.Add(6*time.Second))))
	w := late.View().Desired["m"]
	at := func(seconds int) int64 { return w.Due(start.Add(time.Duration(seconds)*time.Second), 8*time.Second) }
	require.Equal(t, []int64{1, 2, 2, 3}, []int64{at(8), at(9), at(10), at(11)})
}

// Guards against a later report that moves the publication time of a version, and against
// reports that echo between processes without end.
func TestOnlyEarlierReportsOfAVersionCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Replace(start, []Change{desired(1, 1)}, 1)
		now := start.Add(time.Minute)
		s.Apply(now, []Change{desired(2, 2)}, 2)
		earliest := int64(0)
		for _, age := range rapid.SliceOf(rapid.Int64Range(0, 30_000)).Draw(t, "ages in ms") {
			report := map[string][]VersionAge{"m": {{Version: 2, Number: 2, AgeMS: age}}}
			s.ApplyAges(now, report)
			require.False(t, s.ApplyAges(now, report))
			earliest = max(earliest, age)
		}
		known := s.View().Ages(now)["m"][0].AgeMS
		require.InDelta(t, earliest, known, float64(ageTolerance.Milliseconds()))
	})
}

// Guards against a version that is desired again and whose update window counts from the
// first time: engines with the other version got no requests, and all loaded at once.
func TestVersionThatIsDesiredAgainHasItsOwnWindow(t *testing.T) {
	const window = 8 * time.Second
	a, b := NewState(), NewState()
	for _, s := range []*State{a, b} {
		s.Replace(start, []Change{desired(1, 1)}, 1)
		s.Apply(start.Add(time.Minute), []Change{desired(2, 2)}, 2)
		s.Apply(start.Add(2*time.Minute), []Change{desired(1, 3)}, 3)
		s.Apply(start.Add(3*time.Minute), []Change{desired(2, 4)}, 4)
	}
	now := start.Add(3*time.Minute + 100*time.Millisecond)
	require.Equal(t, int64(1), a.View().Desired["m"].Due(now, window))
	require.False(t, a.ApplyAges(now, b.View().Ages(now)), "both observed the same")
	require.Equal(t, int64(1), a.View().Desired["m"].Due(now, window))
	require.False(t, a.ApplyAges(now, a.View().Ages(now)), "own ages tell nothing new")
}

// Guards against a version that is written again and whose update window starts anew, and
// against a peer that has not read the newer revision yet and loses its earlier observation.
func TestVersionThatIsWrittenAgainKeepsItsPublication(t *testing.T) {
	s, behind := NewState(), NewState()
	for _, state := range []*State{s, behind} {
		state.Replace(start, []Change{desired(1, 1)}, 1)
	}
	s.Apply(start.Add(3*time.Second), []Change{desired(2, 2)}, 2)
	s.Apply(start.Add(5*time.Second), []Change{desired(2, 3)}, 3)
	w := s.View().Desired["m"]
	require.Equal(t, Revision(3), w.Revision)
	require.Equal(t, start.Add(3*time.Second), w.Published.NotBefore)
	behind.Apply(start.Add(time.Second), []Change{desired(2, 2)}, 2)
	s.ApplyAges(start.Add(6*time.Second), behind.View().Ages(start.Add(6*time.Second)))
	w = s.View().Desired["m"]
	require.Equal(t, int64(1), w.Due(start.Add(9*time.Second-1), 8*time.Second))
	require.Equal(t, int64(2), w.Due(start.Add(9*time.Second), 8*time.Second))
}

// Guards against an age that cannot be told from one of an earlier time at which the same
// version was desired: processes of an earlier build report no revision.
func TestAgeWithoutARevisionIsIgnored(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{desired(1, 1)}, 1)
	s.Apply(start.Add(time.Second), []Change{desired(2, 2)}, 2)
	reports := map[string][]VersionAge{"m": {{Version: 2, AgeMS: 60_000}, {Version: 1, AgeMS: 90_000}}}
	require.False(t, s.ApplyAges(start.Add(2*time.Second), reports))
}

// Guards against unbounded memory use by removed keys in a long-lived process.
func TestRemovedKeysAreBounded(t *testing.T) {
	s := NewState()
	for i := range Revision(2 * maxRemovedKeys) {
		s.Apply(start, []Change{{Key: "u/" + time.Duration(i).String(), Revision: i + 1, Removed: true}}, i+1)
	}
	s.Trim()
	require.Len(t, s.items, maxRemovedKeys)
}

// Guards against a shorter prefix that shadows a longer one, and against a
// case-sensitive comparison of hosts.
func TestRouteWithLongestPrefix(t *testing.T) {
	c := &Config{Routes: []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
	}}
	c.Index()
	require.Equal(t, "long", c.Route("H.example", "/a/b/c").Name)
	require.Equal(t, "short", c.Route("h.example", "/a/c").Name)
	require.Nil(t, c.Route("h.example", "/b/"))
	require.Nil(t, c.Route("other.example", "/a/"))
}

// Guards against two keys that name one model, so that the desired version changes at random
// with each change of the view. The one that was written last counts.
func TestOneOfTwoKeysOfAModelCounts(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{desired(1, 1)}, 1)
	odd := Change{Key: "w/odd", Revision: 2, Item: DesiredVersion{Model: "m", Version: 9}}
	s.Apply(start, []Change{odd}, 2)
	for i := range Revision(50) {
		s.Apply(start, []Change{upstream("a", i+3)}, i+3)
		require.Equal(t, int64(9), s.View().Desired["m"].Version)
	}
	s.Apply(start, []Change{{Key: "w/odd", Revision: 60, Removed: true}}, 60)
	require.Equal(t, int64(1), s.View().Desired["m"].Version)
}
