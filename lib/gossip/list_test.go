package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

func listedInstance(id string) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(id), State: fleet.StateLive}
}

// Guards against an instance list that is ignored for as long as its revisions stay below
// those from before a restore of its service, and against an older list that a lagging
// copy of the service returns now and then.
func TestListIsFollowedAfterItsRevisionsWentBack(t *testing.T) {
	table := NewTable(listedInstance("self"), 1)
	now := time.Unix(1000, 0)
	a, b := listedInstance("a"), listedInstance("b")
	state := func(id fleet.InstanceID) ListState { return table.records[id].Listed.State }
	table.SetList([]fleet.Instance{listedInstance("self"), a, b}, 100, now)
	table.SetList([]fleet.Instance{listedInstance("self"), a}, 90, now)
	require.Equal(t, ListedLive, state("b"), "a lagging copy")
	table.SetList([]fleet.Instance{listedInstance("self"), a, b}, 100, now.Add(listRestoreDelay))
	table.SetList([]fleet.Instance{listedInstance("self"), a}, 50, now.Add(listRestoreDelay))
	require.Equal(t, ListedLive, state("b"), "the newer list was read in between")
	table.SetList([]fleet.Instance{listedInstance("self"), a}, 51, now.Add(2*listRestoreDelay))
	require.Equal(t, Delisted, state("b"), "no newer list was read for the whole delay")
	table.SetList([]fleet.Instance{listedInstance("self"), a, listedInstance("c")}, 52, now.Add(2*listRestoreDelay))
	require.Equal(t, ListedLive, state("c"))
}

// Guards against a list that is read after a restore and whose listings lose against
// older ones with greater revisions that other processes still hold.
func TestListingsAfterARestoreWin(t *testing.T) {
	table := NewTable(listedInstance("self"), 1)
	now := time.Unix(1000, 0)
	instances := []fleet.Instance{listedInstance("self"), listedInstance("a"), listedInstance("b"), listedInstance("c")}
	table.SetList(instances, 100, now)
	table.Merge(Member{Instance: listedInstance("a"), Listed: Listing{State: ListedLive, Revision: 140}}, now)
	table.SetList([]fleet.Instance{instances[0], instances[2], instances[3]}, 50, now)
	table.SetList([]fleet.Instance{instances[0], instances[2], instances[3]}, 50, now.Add(listRestoreDelay))
	require.Equal(t, Delisted, table.records["a"].Listed.State)
}
