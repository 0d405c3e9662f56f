package peering

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// loadAt returns a message of a peer with the speed of one upstream.
func loadAt(from string, percent, ageMS int) *Message {
	return &Message{From: from, Loads: map[fleet.InstanceID]Load{"x": {Requests: 1, Speed: Speed{Percent: percent, AgeMS: ageMS}}}}
}

// Guards against an older speed that replaces a newer one because of the order of the
// messages or of the peers, and against a speed that becomes younger while it waits.
func TestYoungestSpeedOfPeersCounts(t *testing.T) {
	table := NewTable("a", "north", nil)
	table.Record(start, loadAt("b", 250, 100))
	table.Record(start.Add(50*time.Millisecond), loadAt("c", 100, 140))
	table.Record(start.Add(50*time.Millisecond), loadAt("d", 0, 0))
	now := start.Add(60*time.Millisecond + time.Microsecond)
	load := table.PeerLoads(now)["x"]
	require.Equal(t, Load{Requests: 3, Speed: Speed{Percent: 100, AgeMS: 151}}, load)
}

// Guards against a process that pauses and then takes an old speed for a new one: its peers
// do not count as silent, but what they told is as old as it is.
func TestOwnPauseMakesSpeedsOlder(t *testing.T) {
	table := NewTable("a", "north", nil)
	table.Expire(start)
	table.Record(start, loadAt("b", 250, 10))
	now := start.Add(2 * time.Second)
	table.Expire(now)
	load := table.PeerLoads(now)["x"]
	require.Equal(t, 1, load.Requests)
	require.GreaterOrEqual(t, load.Speed.Age(), 2*time.Second)
}

// Guards against a message of a build that knows no speeds, which would be read as one of
// an upstream that works at some speed, and against a field that such a build cannot read.
func TestSpeedIsOptional(t *testing.T) {
	var l Load
	require.NoError(t, json.Unmarshal([]byte(`{"n":3,"p":10}`), &l))
	require.Equal(t, Load{Requests: 3, PromptTokens: 10}, l)
	require.False(t, l.Speed.Known())
	data, err := json.Marshal(l)
	require.NoError(t, err)
	require.JSONEq(t, `{"n":3,"p":10}`, string(data))
	data, err = json.Marshal(Load{Requests: 3, Speed: Speed{Percent: 250, AgeMS: 40}})
	require.NoError(t, err)
	require.JSONEq(t, `{"n":3,"s":{"v":250,"a":40}}`, string(data))
}

// Guards against speeds of a peer that would send all requests to an upstream or none.
func TestImpossibleSpeedsAreInvalid(t *testing.T) {
	for _, s := range []Speed{{Percent: -1}, {Percent: maxSpeed + 1}, {Percent: 100, AgeMS: -1}, {Percent: 100, AgeMS: maxCount + 1}} {
		m := loadAt("b", s.Percent, s.AgeMS)
		assert.False(t, m.Valid(), "%+v", s)
	}
	m := loadAt("b", 250, 100)
	assert.True(t, m.Valid())
}
