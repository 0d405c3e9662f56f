package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream that is removed although it renews its registration, against
// one that stays for good, and against other items that stay.
func TestLapsedRegistrations(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState()
	s.Replace(now, []Change{
		{Key: "a", Revision: 1, Item: &Upstream{ID: "a"}},
		{Key: "b", Revision: 2, Item: &Upstream{ID: "b"}},
		{Key: "out", Revision: 3, Item: OutOfService{Domain: "z"}},
	}, 3)
	require.True(t, s.ApplyLapses(now, []Change{
		{Key: "a", Revision: 4, Removed: true}, {Key: "b", Revision: 5, Removed: true}, {Key: "out", Revision: 6, Removed: true},
	}, 6))
	require.Len(t, s.View().Upstreams, 2)
	require.Empty(t, s.View().OutOfService)
	s.Apply(now.Add(LapseGrace/2), []Change{{Key: "a", Revision: 7, Item: &Upstream{ID: "a"}}}, 7)
	s.Expire(now.Add(LapseGrace))
	require.Len(t, s.View().Upstreams, 1)
	require.Equal(t, "a", string(s.View().Upstreams[0].ID))
	s.ApplyPeer(now.Add(LapseGrace), []Change{{Key: "b", Revision: 2, Item: &Upstream{ID: "b"}}}, 2)
	require.Len(t, s.View().Upstreams, 1, "a peer that is behind does not bring it back")
}
