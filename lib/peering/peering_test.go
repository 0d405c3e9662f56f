package peering

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
)

var start = time.Unix(1000, 0)

// Guards against processes that start at the same moment, as after a loss of power, and
// each take the whole of a budget because they have not heard of the others yet.
func TestNewProcessOwnsNothingUntilItKnowsItsPeers(t *testing.T) {
	table := NewTable("a", "north", []string{"b"})
	own := map[fleet.Service]Demand{"s": {PerSecond: 1}}
	known := func(now time.Time) float64 {
		s := table.Shares(now, own)["s"]
		return s.KnownHigh - s.KnownLow
	}
	now := start
	require.Zero(t, known(now))
	now = now.Add(settleTime)
	require.Zero(t, known(now), "it has heard of no peer")
	table.Record(now, &Message{From: "b", Region: "north", Demands: map[fleet.Service]Demand{"s": {PerSecond: 3}}})
	require.InDelta(t, 0.25, known(now), 1e-9)
	require.InDelta(t, 1, table.Shares(now.Add(memberTTL), own)["s"].High, 1e-9)
	late := NewTable("a", "north", []string{"b"})
	late.Record(now, &Message{From: "b", Region: "north", Demands: map[fleet.Service]Demand{"s": {PerSecond: 3}}})
	require.Zero(t, late.Shares(now, own)["s"].KnownHigh, "it has just started")
}

// Guards against a peer that is never discovered because it is not a seed.
func TestPeersAreDiscoveredThroughPeers(t *testing.T) {
	a := NewTable("a", "north", []string{"b", "a"})
	found := map[string]bool{}
	for range 10 {
		for _, target := range a.Targets(start) {
			found[target] = true
		}
	}
	require.Equal(t, map[string]bool{"b": true}, found)
	a.Record(start, &Message{From: "b", Peers: []string{"a", "c"}})
	for range 10 {
		for _, target := range a.Targets(start) {
			found[target] = true
		}
	}
	require.Equal(t, map[string]bool{"b": true, "c": true}, found)
	require.Equal(t, 2, a.Processes(), "a peer counts only after it has sent a message")
}

// Guards against using the loads of a peer that stopped sending messages.
func TestStaleLoadsAreIgnored(t *testing.T) {
	table := NewTable("a", "north", nil)
	table.Record(start, &Message{From: "b", Loads: map[fleet.InstanceID]Load{"x": {Requests: 2, PromptTokens: 5}}})
	table.Record(start.Add(loadTTL), &Message{From: "c", Loads: map[fleet.InstanceID]Load{"x": {Requests: 1}}})
	require.Equal(t, Load{Requests: 3, PromptTokens: 5}, table.PeerLoads(start.Add(loadTTL))["x"])
	require.Equal(t, Load{Requests: 1}, table.PeerLoads(start.Add(loadTTL + time.Millisecond))["x"])
	require.Len(t, table.Live(start.Add(loadTTL)), 2)
	table.Expire(start.Add(time.Hour))
	require.Equal(t, 1, table.Processes())
}

// Guards against reading a peer's view that is not newer than the process's own.
func TestNewerView(t *testing.T) {
	table := NewTable("a", "north", nil)
	table.Record(start, &Message{From: "b", Control: "cb", Number: 5})
	table.Record(start, &Message{From: "c", Control: "cc", Number: 7})
	peer, ok := table.PeerWithNewerView(start, 5, 0)
	require.True(t, ok)
	require.Equal(t, ViewSource{Control: "cc", After: 5}, peer)
	_, ok = table.PeerWithNewerView(start, 7, 0)
	require.False(t, ok)
	table.Record(start, &Message{From: "b", Control: "cb", Number: 5, Config: 3})
	peer, ok = table.PeerWithNewerView(start, 7, 2)
	require.True(t, ok, "its configuration was lost by the store")
	require.Equal(t, ViewSource{Control: "cb"}, peer)
	_, ok = table.PeerWithNewerView(start, 7, 3)
	require.False(t, ok)
}

// Guards against processes that own the same slots, or leave slots to none: their
// shares must divide the range from 0 to 1 in one order, and a process that is cut
// off must keep to what it had.
func TestSharesDivideTheRange(t *testing.T) {
	const service = fleet.Service("s")
	type process struct {
		name   string
		region fleet.Region
		demand map[fleet.Service]Demand
	}
	processes := []process{
		{"d", "east", map[fleet.Service]Demand{service: {PerSecond: 10}}},
		{"b", "north", map[fleet.Service]Demand{service: {PerSecond: 20}}},
		{"c", "north", map[fleet.Service]Demand{service: {PerSecond: 30}}},
		{"a", "west", map[fleet.Service]Demand{service: {PerSecond: 40}}},
	}
	low := 0.0
	for i, self := range processes {
		table := NewTable(self.name, self.region, nil)
		for _, p := range processes {
			table.Record(start, &Message{From: p.name, Region: p.region, Demands: p.demand})
		}
		require.Equal(t, i, table.Position())
		share := table.Shares(start, self.demand)[service]
		require.InDelta(t, low, share.Low, 1e-9)
		low = share.High
		cutOff := table.Shares(start.Add(2*loadTTL), self.demand)[service]
		require.Equal(t, Share{High: 1, KnownLow: share.Low, KnownHigh: share.High}, cutOff)
	}
	require.InDelta(t, 1, low, 1e-9)
}

// Guards against a malformed message that distorts what the receiver believes: a
// negative demand would leave it with a share outside the range from 0 to 1.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"from":"b","region":"north","loads":{"x":{"n":2,"p":100}},"demands":{"s":{"r":3.5,"w":1}}}`))
	f.Add([]byte(`{"from":"b","demands":{"s":{"r":-3}}}`))
	f.Add([]byte(`{"from":"b","demands":{"s":{"r":1e308}},"loads":{"x":{"n":-1}}}`))
	f.Add([]byte(`{"from":"b","peers":["","a"],"crashes":[{"i":1,"a":-1,"s":[{"t":2,"d":-1}]}]}`))
	f.Add([]byte(`{"from":"b","rev":18446744073709551615,"era":65536,"cfg":9223372036854775807}`))
	f.Add([]byte(`{"engine":{"address":"1.2.3.4:5","born":9223372036854775807,"version":9223372036854775807}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if json.Unmarshal(data, &m) != nil || !m.Valid() {
			return
		}
		table := NewTable("a", "north", nil)
		table.Record(start, &m)
		share := table.Shares(start, map[fleet.Service]Demand{"s": {PerSecond: 1}})["s"]
		require.True(t, 0 <= share.Low && share.Low < share.High && share.High <= 1, "%+v", share)
		for _, l := range table.PeerLoads(start) {
			require.GreaterOrEqual(t, l.Requests, 0)
			require.GreaterOrEqual(t, l.PromptTokens, 0)
		}
		table.Targets(start)
		table.Live(start)
	})
}

// Guards against impossible evidence that is applied together with a valid load.
func TestMessageWithImpossibleEvidenceIsInvalid(t *testing.T) {
	for age, valid := range map[int64]bool{0: true, -1: false} {
		m := Message{From: "b", Crashes: []poison.Report{{Crash: 1}, {Crash: 2, AgeMS: age}}}
		require.Equal(t, valid, m.Valid(), age)
	}
}

// Guards against a number of messages that grows with the fleet, and against
// peers that never receive a message.
func TestMessagesAreBounded(t *testing.T) {
	table := NewTable("self", "north", nil)
	for i := range 100 {
		table.Record(start, &Message{From: fmt.Sprintf("peer-%d", i)})
	}
	reached := map[string]bool{}
	for range 100 {
		targets := table.Targets(start)
		require.LessOrEqual(t, len(targets), Fanout+1)
		for _, a := range targets {
			reached[a] = true
		}
	}
	require.Len(t, reached, 100)
	require.LessOrEqual(t, len(table.KnownPeers()), maxPeersPerMessage)
}

// Guards against never contacting the seeds of changed settings.
func TestChangedSeeds(t *testing.T) {
	table := NewTable("a", "north", []string{"old"})
	table.SetSeeds([]string{"new"})
	found := map[string]bool{}
	for range 10 {
		for _, target := range table.Targets(start) {
			found[target] = true
		}
	}
	require.Equal(t, map[string]bool{"new": true}, found)
}

// Guards against simulations that cannot be repeated because messages name peers in
// the random order of a map, and against peers that are never named when there are
// more than a message holds.
func TestNamedPeersAreRepeatable(t *testing.T) {
	const peers = 4 * maxPeersPerMessage
	a, b := NewTable("a", "north", nil), NewTable("a", "north", nil)
	for i := range peers {
		from := &Message{From: fmt.Sprint("peer-", i)}
		a.Record(start, from)
		b.Record(start, from)
	}
	named := map[string]bool{}
	for range 40 {
		list := a.KnownPeers()
		require.Equal(t, list, b.KnownPeers())
		require.Len(t, list, maxPeersPerMessage)
		for _, p := range list {
			named[p] = true
		}
	}
	require.Len(t, named, peers)
}

// Guards against a message whose impossible ages end the update windows of its receivers.
func TestMessageWithImpossibleAges(t *testing.T) {
	possible := published.VersionAge{Version: 2, Number: 5, AgeMS: 1000}
	for name, ages := range map[string][]published.VersionAge{
		"negative": {{Version: 2, Number: 5, AgeMS: -1}},
		"too old":  {possible, {Version: 1, Number: 4, AgeMS: time.Hour.Milliseconds()}},
		"too many": slices.Repeat([]published.VersionAge{possible}, 66),
	} {
		m := Message{Versions: map[string][]published.VersionAge{"m": ages}}
		require.False(t, m.Valid(), name)
	}
	m := Message{Versions: map[string][]published.VersionAge{"m": {possible}}}
	require.True(t, m.Valid())
}

// Guards against versions and start times that nothing follows: a gateway would read the
// views of its peers without end, or ignore the later notices of an engine.
func TestOddNumbersOfAMessageAreRejected(t *testing.T) {
	for name, m := range map[string]Message{
		"configuration":          {Config: math.MaxInt64},
		"negative configuration": {Config: -1},
		"start":                  {Engine: &EngineNotice{StartTime: math.MaxInt64}},
		"negative start":         {Engine: &EngineNotice{StartTime: -1}},
		"version":                {Engine: &EngineNotice{Version: math.MaxInt64}},
		"previous version":       {Engine: &EngineNotice{PreviousVersion: math.MinInt64}},
	} {
		assert.False(t, m.Valid(), name)
	}
	sound := Message{Config: 7, Engine: &EngineNotice{StartTime: 1772575768625, Version: 3, PreviousVersion: 2}}
	require.True(t, sound.Valid())
}
