package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/platform"
)

// Guards against a gateway that forwards requests with a part of which other
// gateways know that it crashes upstreams, against one that rejects sound requests of
// the same customer with the same first part, and against a rejection whose cause the
// log does not show.
func TestPartThatPeersConvictedIsBlocked(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	g := start(t, source)
	message := peering.Message{From: newHost() + ":7004"}
	for i := range poison.BlockAfter {
		message.Crashes = append(message.Crashes, poison.Report{
			Crash: poison.NewCrashID("i-2", int64(i)), AgeMS: int64(1000 * (i + 1)),
			Suspects: []poison.Suspect{{Trait: poison.PartTrait("first"), Known: true}, {Trait: poison.PartTrait("harmful"), Depth: 1}},
		})
	}
	data, err := json.Marshal(&message)
	require.NoError(t, err)
	conn, err := net.Dial("udp4", g.gateway.settings.Peers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(data)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.gateway.metrics.convictedTraits.Load() == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, g.callWithParts("/once/1", "first:10,harmful:20,own:30"))
	require.Equal(t, http.StatusOK, g.callWithParts("/once/1", "first:10,own:30"))
	require.Equal(t, http.StatusOK, g.callWithParts("/once/1", "harmful:20"), "the last part is no shared one")
	require.Equal(t, uint64(1), g.gateway.metrics.blocked.Get())
	trait := "trait=" + poison.PartTrait("harmful").String()
	require.Contains(t, g.logs.line("trait-blocked"), trait+" episodes=3")
	require.Contains(t, g.logs.line("refused"), trait)
}

// Guards against a crash that only the gateway learns of which lost the request, and
// against a log that does not show what was lost.
func TestCrashIsReportedToPeers(t *testing.T) {
	peer, err := net.ListenPacket("udp4", newHost()+":7004")
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	g := start(t, source, peer.LocalAddr().String())
	require.Equal(t, http.StatusBadGateway, g.callWithParts("/once/1", "first:10,own:30"))
	require.Contains(t, g.logs.line("attempt"), "end=lost")
	require.Contains(t, g.logs.line("attempt"), "begun=false traits="+poison.PartTrait("first").String()+",")
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := peer.ReadFrom(buffer)
		require.NoError(t, err, "no message with a crash arrived")
		var m peering.Message
		require.NoError(t, json.Unmarshal(buffer[:n], &m))
		if len(m.Crashes) == 0 {
			continue
		}
		require.Equal(t, poison.NewCrashID("i-1", 1), m.Crashes[0].Crash)
		require.Len(t, m.Crashes[0].Suspects, 2)
		require.Contains(t, m.Crashes[0].Suspects, poison.Suspect{Trait: poison.PartTrait("first")})
		return
	}
}

// Guards against evidence so large that the loads are not sent any more.
func TestLargeReportsLeaveRoomForLoads(t *testing.T) {
	const loads, crashes, suspects = 300, 16, 32
	m := peering.Message{Loads: map[fleet.InstanceID]peering.Load{}}
	for i := range loads {
		m.Loads[fleet.InstanceID(fmt.Sprintf("i-%010x", i))] = peering.Load{Requests: 10, PromptTokens: 10000}
	}
	for range crashes {
		r := poison.Report{Crash: 1 << 63, AgeMS: 600000}
		for range suspects {
			r.Suspects = append(r.Suspects, poison.Suspect{Trait: 1 << 63, Depth: 8, Known: true, Cleared: true})
		}
		m.Crashes = append(m.Crashes, r)
	}
	data, err := encodeMessage(m)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), maxDatagramBytes)
	var got peering.Message
	require.NoError(t, json.Unmarshal(data, &got))
	require.Len(t, got.Loads, loads)
	require.NotEmpty(t, got.Crashes)
}

// Guards against a server error that counts as the beginning of an answer: it would
// clear a part that makes engines fail.
func TestServerErrorIsNoBeginning(t *testing.T) {
	logger := log.NewNopLogger()
	g := New(Settings{}, platform.Codec{}, watcher.New(newSource(), "", time.Second, logger), logger)
	for status, events := range map[int]int{http.StatusInternalServerError: 0, http.StatusOK: 1} {
		c := &callHandler{gateway: g, w: httptest.NewRecorder(), streaming: true}
		require.NoError(t, c.Head(&http.Response{StatusCode: status}))
		require.Equal(t, events, g.inbox.Depth(), status)
		for range events {
			_, err := g.inbox.Take(t.Context())
			require.NoError(t, err)
		}
	}
}
