package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// renewalOf returns a write of a registration. A version of the weights makes it another state.
func renewalOf(id string, revision Revision, version int64) Change {
	u := &Upstream{ID: fleet.InstanceID(id), Revision: revision, ColdRemaining: time.Duration(revision)}
	if version > 0 {
		u.Copies = []Copy{{Model: "m", Version: version, Layers: 16}}
	}
	return Change{Key: id, Revision: revision, Item: u}
}

// renewals returns a number of renewals of each upstream, from a revision on.
func renewals(from Revision, number int, ids ...string) []Change {
	var out []Change
	for range number {
		for _, id := range ids {
			from++
			out = append(out, renewalOf(id, from, 0))
		}
	}
	return out
}

// afterSilence returns whether an upstream is in use after the store, of which nothing had been
// heard for five renewal intervals, tells the given changes and its removal.
func afterSilence(ids []string, changes []Change) (s *State, used bool) {
	s = NewState()
	s.Replace(start, renewals(0, 1, ids...), 10)
	last := Revision(10)
	if len(changes) > 0 {
		last = changes[len(changes)-1].Revision
	}
	s.SetUnheard(5 * DefaultRenewalInterval)
	s.Apply(start, append(changes, Change{Key: ids[0], Revision: last + 1, Removed: true}), last+1)
	for _, u := range s.View().Upstreams {
		used = used || string(u.ID) == ids[0]
	}
	return s, used
}

// Guards against an upstream that stays in use after it left because the store seems to have been
// away, although others wrote to it all the time, and against one that is given up although it may
// have been away.
func TestRenewalsDecideAboutRemovals(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	_, used := afterSilence(ids, renewals(10, 5, "b", "c", "d", "e"))
	require.False(t, used, "the others renewed their registrations all the time")
	_, used = afterSilence(ids, renewals(10, 5, "b", "c"))
	require.False(t, used, "others may have ended")
	_, used = afterSilence(ids, nil)
	require.True(t, used, "nobody wrote")
	_, used = afterSilence(ids, renewals(10, 2, "b", "c", "d", "e"))
	require.True(t, used, "the store may have been away between two renewals")
	_, used = afterSilence([]string{"a"}, nil)
	require.True(t, used, "there is nobody else")

	var changes []Change
	for i := range Revision(10) {
		changes = append(changes, renewalOf("b", 11+i, int64(i+1)))
	}
	_, used = afterSilence(ids[:2], changes)
	require.True(t, used, "writes for another reason than the time tell nothing")
}

// Guards against removals that are put off for good, or beyond the grace that began with the first
// read after the silence, and against those that a peer knows and that are put off as well.
func TestLapseEndsWithItsGrace(t *testing.T) {
	s, used := afterSilence([]string{"a", "b", "c"}, nil)
	require.True(t, used)
	s.SetUnheard(0)
	later := start.Add(LapseGrace / 2)
	s.Apply(later, []Change{{Key: "b", Revision: 20, Removed: true}}, 20)
	require.Len(t, s.View().Upstreams, 3, "it is removed a moment after the end of the silence")
	require.Equal(t, start.Add(LapseGrace), s.NextExpiry())
	s.ApplyPeer(later, []Change{{Key: "c", Revision: 21, Removed: true}}, 21)
	require.Len(t, s.View().Upstreams, 2, "a peer has seen that it left")
	s.Apply(later, []Change{renewalOf("b", 22, 0), renewalOf("d", 23, 0)}, 23)
	require.Len(t, s.View().Upstreams, 3)
	s.Apply(later, []Change{{Key: "d", Revision: 24, Removed: true, Raw: []byte("unusable")}}, 24)
	require.Len(t, s.View().Upstreams, 2, "its registration was overwritten")
	require.True(t, s.Expire(start.Add(LapseGrace)))
	require.Len(t, s.View().Upstreams, 1, "b is back, a is not")
	require.True(t, s.NextExpiry().IsZero())
	s.Apply(start.Add(LapseGrace), []Change{{Key: "b", Revision: 25, Removed: true}}, 25)
	require.Empty(t, s.View().Upstreams, "the grace is over")
}

// Guards against a removal that is put off in a store that is only slow, or quiet for a while.
func TestShortSilenceIsNoOutage(t *testing.T) {
	s := NewState()
	s.Replace(start, renewals(0, 1, "a", "b"), 10)
	s.SetUnheard(lapseIntervals*DefaultRenewalInterval - time.Millisecond)
	s.Apply(start, []Change{{Key: "a", Revision: 11, Removed: true}}, 11)
	require.Len(t, s.View().Upstreams, 1)
}
