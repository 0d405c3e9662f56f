package wire

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/timeline"
)

func sampleHeartbeat() *gossip.Heartbeat {
	m := gossip.Member{
		Instance: fleet.Instance{
			ID: "agent-1", Role: fleet.RoleAgent, Service: "advisory", Address: "127.0.0.1:1",
			FailureDomain: "d", Region: "r", State: fleet.StateLive, Serving: fleet.Digest{7}, Switching: true,
		},
		Version: gossip.Version{Incarnation: 5, Sequence: 6},
		Listed:  gossip.Listing{State: gossip.ListedLeaving, Revision: 7, Incarnation: 5},
	}
	return &gossip.Heartbeat{
		From: m, Stamp: config.Stamp{Generation: 3, Digest: fleet.Digest{1}}, Starting: true, ServiceReadAge: 1500 * time.Millisecond,
		Members: []gossip.Member{m},
		Crashes: []poison.Report{{
			Crash: 1 << 63, AgeMS: 1000, Refuted: true,
			Suspects: []poison.Suspect{{Trait: 1<<64 - 1, Depth: 2, Known: true, Cleared: true}},
		}},
		Buckets: make([]uint32, gossip.BucketCount),
	}
}

// Guards against a record of a process that it cannot override, since no number follows
// those of the record: it would count as gone for its whole life.
func TestNumbersOfMembersAreBounded(t *testing.T) {
	for name, change := range map[string]func(*gossip.Member){
		"incarnation":          func(m *gossip.Member) { m.Version.Incarnation = math.MaxInt64 },
		"negative incarnation": func(m *gossip.Member) { m.Version.Incarnation = -1 },
		"sequence":             func(m *gossip.Member) { m.Version.Sequence = math.MaxUint64 },
		"listed incarnation":   func(m *gossip.Member) { m.Listed.Incarnation = math.MaxInt64 },
		"list revision":        func(m *gossip.Member) { m.Listed.Revision = math.MaxUint64 },
	} {
		h := sampleHeartbeat()
		odd := h.Members[0]
		change(&odd)
		h.Members = append([]gossip.Member{odd}, h.Members...)
		data, err := EncodeHeartbeat(h, timeline.Stamp{})
		require.NoError(t, err)
		got, _, err := DecodeHeartbeat(data)
		require.NoError(t, err)
		assert.Equal(t, h.Members[1:], got.Members, name)
	}
}

// Guards against an encoding that loses fields.
func TestHeartbeatKeepsAllFields(t *testing.T) {
	h := sampleHeartbeat()
	h.Buckets[255] = 0xfeedbeef
	data, err := EncodeHeartbeat(h, timeline.Stamp{Wall: 9, Logical: 1})
	require.NoError(t, err)
	got, clock, err := DecodeHeartbeat(data)
	require.NoError(t, err)
	require.Equal(t, h, got)
	require.Equal(t, timeline.Stamp{Wall: 9, Logical: 1}, clock)
}

// Guards against accepting heartbeats that are invalid or exceed the limits that
// traffic estimates are based on.
func TestHeartbeatBounds(t *testing.T) {
	for name, change := range map[string]func(*gossip.Heartbeat){
		"members":    func(h *gossip.Heartbeat) { h.Members = make([]gossip.Member, 1+maxHeartbeatMembers) },
		"buckets":    func(h *gossip.Heartbeat) { h.Buckets = make([]uint32, 1) },
		"host name":  func(h *gossip.Heartbeat) { h.From.Address = "localhost:1" },
		"state":      func(h *gossip.Heartbeat) { h.From.State = "gone" },
		"role":       func(h *gossip.Heartbeat) { h.From.Role = "store" },
		"identifier": func(h *gossip.Heartbeat) { h.From.ID = "" },
		"crash":      func(h *gossip.Heartbeat) { h.Crashes[0].AgeMS = -1 },
		"crashes":    func(h *gossip.Heartbeat) { h.Crashes = make([]poison.Report, 1+poison.MaxReports) },
	} {
		h := sampleHeartbeat()
		change(h)
		data, err := EncodeHeartbeat(h, timeline.Stamp{})
		require.NoError(t, err)
		_, _, err = DecodeHeartbeat(data)
		require.Error(t, err, name)
	}
}

// Guards against a single invalid member record that stops all exchanges.
func TestHeartbeatLeavesOutInvalidMembers(t *testing.T) {
	h := sampleHeartbeat()
	bad := h.Members[0]
	bad.Address = "localhost:1"
	h.Members = append([]gossip.Member{bad}, h.Members...)
	data, err := EncodeHeartbeat(h, timeline.Stamp{})
	require.NoError(t, err)
	got, _, err := DecodeHeartbeat(data)
	require.NoError(t, err)
	require.Equal(t, sampleHeartbeat().Members, got.Members)
}

// Guards against messages from peers that crash the process.
func FuzzDecodeHeartbeat(f *testing.F) {
	data, err := EncodeHeartbeat(sampleHeartbeat(), timeline.Stamp{Wall: 1})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"from":{"id":"a","r":"agent","a":"127.0.0.1:1","x":"live","v":"AAAA"},"fresh_ms":9223372036854775807}`))
	f.Add([]byte(`{"buckets":"AAAA","crashes":[{"i":1,"a":0,"s":[{"t":1,"d":-1}]}]}`))
	f.Add([]byte(`{"from":null,"members":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, clock, err := DecodeHeartbeat(data)
		if err != nil {
			return
		}
		again, err := EncodeHeartbeat(h, clock)
		require.NoError(t, err)
		_, _, err = DecodeHeartbeat(again)
		require.NoError(t, err)
	})
}
