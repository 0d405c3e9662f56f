package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
)

var start = time.Unix(1000, 0)

func ready(id string, revision uint64) Change {
	return Change{Key: "u/" + id, Revision: revision, Item: &Upstream{ID: fleet.InstanceID(id), Revision: revision}}
}

func wanted(version int64, revision uint64) Change {
	return Change{Key: "w/m", Revision: revision, Item: Wanted{Model: "m", Version: version}}
}

// Guards against a view that depends on the order or the source of changes: a
// peer that is behind must not bring an older item back.
func TestViewDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []Change
		n := rapid.IntRange(1, 20).Draw(t, "changes")
		for i := range n {
			c := ready(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), uint64(i+1))
			if rapid.Bool().Draw(t, "removed") {
				c.Removed, c.Item = true, nil
			}
			changes = append(changes, c)
		}
		ordered, shuffled := NewState(), NewState()
		ordered.Apply(start, changes, uint64(n))
		for _, c := range rapid.Permutation(changes).Draw(t, "order") {
			shuffled.Apply(start, []Change{c}, 0)
		}
		require.Equal(t, ordered.View().Upstreams, shuffled.View().Upstreams)
		require.Equal(t, ordered.View().Revision, shuffled.View().Revision)
	})
}

// Guards against an outage of the store that takes every upstream away:
// registrations that lapsed meanwhile come back within LapseGrace.
func TestLapsedUpstreamStaysForItsGrace(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{ready("a", 1), ready("b", 2)}, 2)
	s.Replace(start.Add(time.Minute), []Change{ready("a", 1)}, 9)
	require.Len(t, s.View().Upstreams, 2)
	require.False(t, s.Expire(start.Add(time.Minute+LapseGrace-time.Millisecond)))
	require.True(t, s.Expire(start.Add(time.Minute+LapseGrace)))
	require.Len(t, s.View().Upstreams, 1)
}

// Guards against a lapsed upstream that renews its registration in time and is
// dropped all the same.
func TestLapsedUpstreamComesBack(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{ready("a", 1)}, 1)
	s.Replace(start, nil, 5)
	s.Apply(start, []Change{ready("a", 6)}, 6)
	s.Expire(start.Add(time.Hour))
	require.Len(t, s.View().Upstreams, 1)
}

// Guards against an upstream that left before this process started and comes
// back with the view of a peer that has not heard so yet: nothing would ever
// remove it, because its removal lies before the snapshot.
func TestPeerDoesNotBringBackWhatASnapshotLacks(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{ready("a", 3)}, 9)
	require.False(t, s.Apply(start, []Change{ready("gone", 2)}, 5))
	require.Len(t, s.View().Upstreams, 1)
	require.True(t, s.Apply(start, []Change{ready("new", 10)}, 10))
	require.Len(t, s.View().Upstreams, 2)
}

// Guards against a peer that ends the grace of a lapsed upstream: only the
// store knows whether the registration was renewed.
func TestPeerDoesNotRenewALapsedUpstream(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{ready("a", 1)}, 1)
	s.Replace(start, nil, 5)
	s.Apply(start, []Change{ready("a", 1)}, 4)
	require.True(t, s.Expire(start.Add(LapseGrace)))
	require.Empty(t, s.View().Upstreams)
}

// Guards against removed keys that were forgotten to stay within the bound and
// come back with the view of a peer that is behind.
func TestForgottenRemovalStaysRemoved(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{ready("a", 1)}, 1)
	for i := range uint64(2 * maxRemoved) {
		s.Apply(start, []Change{{Key: "u/" + time.Duration(i).String(), Revision: i + 2, Removed: true}}, i+2)
	}
	s.Trim()
	s.Apply(start, []Change{ready(time.Duration(0).String(), 1)}, 1)
	require.Len(t, s.View().Upstreams, 1)
}

// Guards against an entry that cannot be read and still names its last upstream.
func TestUnreadableItemNamesNothing(t *testing.T) {
	s := NewState()
	s.Apply(start, []Change{ready("a", 1), ready("b", 2)}, 2)
	s.Apply(start, []Change{{Key: "u/a", Revision: 3, Removed: true}}, 3)
	require.Len(t, s.View().Upstreams, 1)
	require.Equal(t, fleet.InstanceID("b"), s.View().Upstreams[0].ID)
}

// Guards against the time of a version that is forgotten when the next one is
// named shortly after: requests then begin on too old weights.
func TestEachVersionKeepsItsTime(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{wanted(1, 1)}, 1)
	s.Apply(start.Add(10*time.Second), []Change{wanted(2, 2)}, 2)
	s.Apply(start.Add(12*time.Second), []Change{wanted(3, 3)}, 3)
	w := s.View().Wanted["m"]
	at := func(seconds int) int64 { return w.Due(start.Add(time.Duration(seconds)*time.Second), 8*time.Second) }
	require.Equal(t, int64(1), at(17))
	require.Equal(t, int64(2), at(18))
	require.Equal(t, int64(3), at(20))
}

// Guards against a process that starts in the middle of a change of weights and
// takes the wanted version for a new one.
func TestVersionOfFirstSnapshotIsDueAtOnce(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{wanted(2, 2)}, 2)
	require.Equal(t, int64(2), s.View().Wanted["m"].Due(start, 8*time.Second))
}

// Guards against a process that restarts in the middle of a change of weights
// and gives the old ones up, although a peer knows how much time is left.
func TestPeerTellsSinceWhenAVersionIsWanted(t *testing.T) {
	old := NewState()
	old.Replace(start, []Change{wanted(1, 1)}, 1)
	old.Apply(start.Add(time.Second), []Change{wanted(2, 2)}, 2)
	passed := old.Since(start.Add(4*time.Second), 0)
	fresh := NewState()
	fresh.Replace(start.Add(4*time.Second), []Change{wanted(2, 2)}, 2)
	fresh.Apply(start.Add(4*time.Second), passed.Changes, passed.Revision)
	w := fresh.View().Wanted["m"]
	require.Zero(t, w.Due(start.Add(8*time.Second), 8*time.Second))
	require.Equal(t, int64(2), w.Due(start.Add(9*time.Second), 8*time.Second))
}

// Guards against removed keys that fill the memory of a long-lived process.
func TestRemovedKeysAreBounded(t *testing.T) {
	s := NewState()
	for i := range uint64(2 * maxRemoved) {
		s.Apply(start, []Change{{Key: "u/" + time.Duration(i).String(), Revision: i + 1, Removed: true}}, i+1)
	}
	s.Trim()
	require.Len(t, s.items, maxRemoved)
}

// Guards against a shorter prefix that hides a longer one, and a host that is
// compared by case.
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
