package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/platform"
)

// learnCrashes sends the gateway the evidence of a peer: crashes of starts of an
// upstream, a second apart, with a harmful part and a known first one. The age is that
// of the last one.
func (r *testGateway) learnCrashes(age time.Duration, from, to int) {
	message := peering.Message{From: newHost() + ":7004"}
	for i := from; i < to; i++ {
		message.Crashes = append(message.Crashes, poison.Report{
			Crash: poison.NewCrashID("i-2", int64(i)), AgeMS: age.Milliseconds() + int64(1000*(i+1)),
			Suspects: []poison.Suspect{{Trait: poison.PartTrait("m", "first"), Known: true}, {Trait: poison.PartTrait("m", "harmful"), Depth: 1}},
		})
	}
	data, err := json.Marshal(&message)
	require.NoError(r.t, err)
	conn, err := net.Dial("udp4", r.gateway.settings.Peers)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(data)
	require.NoError(r.t, err)
}

// Guards against a request that an upstream rejects as malformed and that clears the
// harmful part which it names.
func TestRejectedRequestClearsNoPart(t *testing.T) {
	for _, path := range []string{"/once/1", "/stream/1"} {
		source := newSource()
		source.put("op/config", configJSON)
		for _, service := range []string{"desk", "engine"} {
			source.upstream(t, "i-"+service, service, func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusBadRequest, "malformed") })
		}
		g := start(t, source)
		g.learnCrashes(0, 0, poison.BlockAfter-1)
		require.Eventually(t, func() bool { return g.gateway.metrics.crashRecords.Load() == poison.BlockAfter-1 }, testTimeout, time.Millisecond)
		require.Equal(t, http.StatusBadRequest, g.callWithParts(path, "harmful:20,own:30"))
		g.learnCrashes(0, poison.BlockAfter-1, poison.BlockAfter)
		require.Eventually(t, func() bool { return g.gateway.metrics.convictedTraits.Load() == 1 }, testTimeout, time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, g.callWithParts(path, "harmful:20,own:30"), path)
	}
}

// Guards against a gateway that forwards requests with a part of which other
// gateways know that it crashes upstreams, against one that rejects sound requests of
// the same customer with the same first part, and against a rejection whose cause the
// log does not show.
func TestPartThatPeersConvictedIsBlocked(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	g := start(t, source)
	g.learnCrashes(0, 0, poison.BlockAfter)
	require.Eventually(t, func() bool { return g.gateway.metrics.convictedTraits.Load() == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, g.callWithParts("/once/1", "first:10,harmful:20,own:30"))
	require.Equal(t, http.StatusOK, g.callWithParts("/once/1", "first:10,own:30"))
	require.Equal(t, http.StatusOK, g.callWithParts("/once/1", "harmful:20"), "the last part is no shared one")
	require.Equal(t, uint64(1), g.gateway.metrics.blocked.Get())
	trait := "trait=" + poison.PartTrait("m", "harmful").String()
	require.Contains(t, g.logs.line("trait-blocked"), trait+" episodes=3")
	require.Contains(t, g.logs.line("refused"), trait)
}

// Guards against a log that shows neither that a convicted part was tried again nor that
// it is free.
func TestProbeAndItsResultAreLogged(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	g := start(t, source)
	g.learnCrashes(5*time.Minute, 0, poison.BlockAfter)
	require.Eventually(t, func() bool { return g.gateway.metrics.convictedTraits.Load() == 1 }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, g.callWithParts("/once/1", "first:10,harmful:20,own:30"))
	require.Eventually(t, func() bool { return g.gateway.metrics.convictedTraits.Load() == 0 }, testTimeout, time.Millisecond)
	trait := "trait=" + poison.PartTrait("m", "harmful").String()
	require.Contains(t, g.logs.line("trait-probed"), trait+" upstream=i-1")
	require.Contains(t, g.logs.line("trait-cleared"), trait)
}

// Guards against a part that is harmful with one model and blocks requests to another
// one, or that an answer of another model clears.
func TestTraitsOfPartsBelongToAModel(t *testing.T) {
	one := traits(&dispatch.Call{Key: "key", Model: "m", PromptParts: []string{"a", "b"}}, "/", []byte("body"))
	other := traits(&dispatch.Call{Key: "key", Model: "n", PromptParts: []string{"a", "b"}}, "/", []byte("body"))
	require.Len(t, one, 3)
	require.Len(t, other, 3)
	require.NotContains(t, other, one[0])
	require.NotContains(t, other, one[1])
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
	require.Contains(t, g.logs.line("attempt"), "begun=false traits="+poison.PartTrait("m", "first").String()+",")
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
		require.Contains(t, m.Crashes[0].Suspects, poison.Suspect{Trait: poison.PartTrait("m", "first"), Early: true})
		return
	}
}

// Guards against a harmful part that is no suspect because of its place in the prompt, also
// behind as many parts as a header has room for, and against parts that are left out unseen.
func TestPartIsASuspectAtAnyPlace(t *testing.T) {
	for _, shared := range []int{8, 1100} {
		t.Run(fmt.Sprint(shared), func(t *testing.T) {
			source := newSource()
			source.put("op/config", configJSON)
			source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
				if strings.Contains(r.Header.Get("Rattanspur-Prefix-Hash"), "harmful") {
					panic(http.ErrAbortHandler)
				}
				respond(w, r, http.StatusOK, "sound")
			})
			g := start(t, source)
			var parts strings.Builder
			for i := range shared {
				_, _ = fmt.Fprintf(&parts, "%x:40,", 0x5c1e0000+i)
			}
			require.Equal(t, http.StatusOK, g.callWithParts("/once/1", parts.String()+"own1:30"))
			require.Equal(t, http.StatusBadGateway, g.callWithParts("/once/1", parts.String()+"harmful:40,own2:30"))
			require.Contains(t, g.logs.line("attempt"), "end=answered")
			require.Contains(t, g.logs.all(), ","+poison.PartTrait("m", "harmful").String()+",")
			require.Zero(t, g.gateway.metrics.partsLeftOut.Get())
			require.Equal(t, http.StatusOK, g.callWithParts("/once/1", "unreadable,"+parts.String()+"own3:30"))
			require.EqualValues(t, 1, g.gateway.metrics.partsLeftOut.Get())
			require.Contains(t, g.logs.line("prompt-parts-left-out"), "parts=1")
		})
	}
}

// Guards against evidence so large that the loads are not sent any more: no part of a
// message can be left out once it is encoded.
func TestLargestReportsLeaveRoomForLoads(t *testing.T) {
	const loads, crashes = 600, 16
	d := poison.New("gateway")
	now := time.Unix(1_700_000_000, 0)
	var full []poison.Trait
	for i := range 300 {
		full = append(full, ^poison.Trait(i))
	}
	d.Survived(now, full)
	for suspects := range 32 {
		for i := range crashes {
			d.Lost(now, ^poison.CrashID(100*suspects+i), full[len(full)-1-suspects:])
		}
		m := peering.Message{From: "255.255.255.255:65535", Control: "255.255.255.255:65535", Loads: map[fleet.InstanceID]peering.Load{}, Crashes: d.Reports(now)}
		for i := range loads {
			load := peering.Load{Requests: 10, PromptTokens: 10000}
			if i < peering.MaxSpeeds {
				load.Speed = peering.Speed{Percent: 1000, AgeMS: 100}
			}
			m.Loads[fleet.InstanceID(fmt.Sprintf("i-%010x", i))] = load
		}
		for i := range 24 {
			m.Peers = append(m.Peers, fmt.Sprintf("255.255.255.255:%d", 60000+i))
		}
		require.NotEmpty(t, m.Crashes)
		data, err := json.Marshal(&m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramBytes)
	}
}

// Guards against an error that counts as the beginning of an answer: it would clear a
// part that makes engines fail, or that they never read.
func TestErrorIsNoBeginning(t *testing.T) {
	logger := log.NewNopLogger()
	g := New(Settings{}, platform.Codec{}, watcher.New(newSource(), "", time.Second, logger), logger)
	for status, events := range map[int]int{http.StatusInternalServerError: 0, http.StatusBadRequest: 0, http.StatusOK: 1, http.StatusAccepted: 1} {
		c := &callHandler{gateway: g, w: httptest.NewRecorder()}
		run := c.newRun(&dispatch.Send{Streaming: true}, &command{}, received{})
		c.turn.begin(run)
		require.NoError(t, run.Head(&http.Response{StatusCode: status}))
		require.Equal(t, events, g.inbox.Depth(), status)
		for range events {
			_, err := g.inbox.Take(t.Context())
			require.NoError(t, err)
		}
	}
}
