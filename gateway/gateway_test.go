package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
)

// Guards against a request that reaches the upstream changed, without the
// headers that the upstream needs, or with the customer's key.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	var got http.Header
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		body, _ := io.ReadAll(r.Body)
		respond(w, r, http.StatusCreated, r.Method+" "+r.RequestURI+" "+string(body))
	})
	g := start(t, source)
	status, body := g.call(http.MethodPost, "/once/a%2fb?c=d", "text")
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, "POST /once/a%2fb?c=d text", body)
	require.Equal(t, "i-1", got.Get("Rattanspur-Expect-Replica"))
	require.Equal(t, "customer", got.Get("Rattanspur-Tenant"))
	require.Empty(t, got.Get("Authorization"))
	require.NotEmpty(t, got.Get("Rattanspur-Deadline-Ms"))
}

// Guards against sending a request on an unsafe route again after its connection
// broke, be it by the gateway or by an HTTP transport.
func TestUnsafeRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	var runs atomic.Int32
	abort := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	source.upstream(t, "i-1", "desk", abort)
	source.upstream(t, "i-2", "desk", abort)
	g := start(t, source)
	status, _ := g.call(http.MethodPost, "/once/1", "text")
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, int32(1), runs.Load())
}

// Guards against a transport that retries a request by itself after a reused
// connection broke.
func TestRequestIsNotRetriedAfterReusedConnectionBreaks(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	var runs atomic.Int32
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		respond(w, r, http.StatusOK, "ok")
	})
	g := start(t, source)
	status, _ := g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	status, _ = g.call(http.MethodPost, "/once/2", "")
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, int32(2), runs.Load())
}

// Guards against lost or repeated events when a stream breaks off at one
// upstream and resumes at another.
func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	serve := func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		if r.Header.Get("Last-Event-Id") == "" {
			writeEvent(w, 1)
			writeEvent(w, 2)
			_, _ = io.WriteString(w, "id: 3\nda")
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("Last-Event-Id") == "2" {
			writeEvent(w, 3)
			writeEvent(w, 4)
		}
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	status, body := g.call(http.MethodPost, "/stream/1", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n", body)
}

// Guards against a truncated stream that looks complete to the caller.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
		panic(http.ErrAbortHandler)
	})
	g := start(t, source)
	resp, err := g.request(context.Background(), http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

// Guards against an upstream that continues to work for a caller that has
// disconnected.
func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	started, ended := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	g := start(t, source)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := g.request(ctx, http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	<-started
	cancel()
	_ = resp.Body.Close()
	<-ended
}

// Guards against a request that waits longer than its route's timeout, and
// against a response that claims that the request has not run.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	release := make(chan struct{})
	defer close(release)
	source.upstream(t, "i-1", "desk", func(http.ResponseWriter, *http.Request) { <-release })
	g := start(t, source)
	status, _ := g.call(http.MethodPost, "/brief/1", "")
	require.Equal(t, http.StatusGatewayTimeout, status)
}

// Guards against passing an upstream's refusal on to the caller although another
// upstream has capacity.
func TestRefusedRequestIsRetriedAtAnotherUpstream(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	var refused atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if refused.CompareAndSwap(false, true) {
			w.Header().Set("Rattanspur-Not-Executed", "1")
			w.Header().Set("Rattanspur-Attempt-Id", r.Header.Get("Rattanspur-Attempt-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respond(w, r, http.StatusOK, "ok")
	}
	source.upstream(t, "i-1", "desk", serve)
	source.upstream(t, "i-2", "desk", serve)
	g := start(t, source)
	status, body := g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
}

// Guards against requests that are refused with the wrong status, and against
// accepting a body that is too large.
func TestInvalidRequestsAreRefused(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	g := start(t, source)
	require.Eventually(t, func() bool { return g.gateway.maxBodyBytes.Load() == 1000 }, testTimeout, time.Millisecond)
	status, _ := g.call(http.MethodPost, "/none/1", "")
	require.Equal(t, http.StatusNotFound, status)
	status, _ = g.call(http.MethodPost, "/once/1", strings.Repeat("x", 1001))
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	status, _ = g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusServiceUnavailable, status, "no upstream")
}

// Guards against a graceful stop that truncates the response of a request in
// progress, and against a process that reports ready while it stops.
func TestGracefulStopCompletesRequests(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	started, release := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
		close(started)
		<-release
		writeEvent(w, 2)
	})
	g := start(t, source)
	resp, err := g.request(context.Background(), http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	<-started
	g.stop()
	require.Eventually(t, func() bool { return !g.ready() }, testTimeout, time.Millisecond)
	close(release)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", string(body))
	require.NoError(t, <-g.done)
}

func (r *testGateway) ready() bool {
	resp, err := http.Get("http://" + r.gateway.settings.Ready + r.gateway.settings.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against a gateway that cannot read the store and keeps using an old view
// although a peer has a newer one.
func TestViewIsPulledFromPeer(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	first := start(t, source)
	unreachable := newSource()
	unreachable.down = true
	second := start(t, unreachable, first.gateway.settings.Peers)
	status, _ := second.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	source.put("op/config", strings.Replace(strings.Replace(configJSON, `"key"`, `"other"`, 1), `"version":1`, `"version":2`, 1))
	require.Eventually(t, func() bool {
		status, _ := second.call(http.MethodPost, "/once/1", "")
		return status == http.StatusUnauthorized
	}, testTimeout, 10*time.Millisecond)
}

// Guards against duplicate events: a stream whose events carry no IDs would
// resume after the event that the caller named in its own request.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	serve := func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	resp, err := g.resumeRequest(http.MethodPost, "/stream/1", "5")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, "data: a\n\n", string(body))
}

// Guards against gateways that divide the slots of an upstream in proportion to
// their request rates but do not send these to each other: each gateway would
// then use all slots.
func TestDemandIsSentToPeers(t *testing.T) {
	peer, err := net.ListenPacket("udp4", newHost()+":7004")
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "a", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "a") })
	g := start(t, source, peer.LocalAddr().String())
	status, _ := g.call("GET", "/read/1", "")
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := peer.ReadFrom(buffer)
		require.NoError(t, err, "no message with a demand arrived")
		var m peering.Message
		require.NoError(t, json.Unmarshal(buffer[:n], &m))
		if m.Demands["desk"].PerSecond > 0 {
			return
		}
	}
}

// Guards against a gateway that refuses all requests after a restart during a
// store outage. Its first snapshot contains a new desired version, and it would
// never learn the publication time of that version if its peers did not report it.
func TestPublicationIsLearntAfterRestart(t *testing.T) {
	runningSource, restartedSource := newSource(), newSource()
	runningSource.put("op/config", configJSON)
	runningSource.put("op/version/m", `{"model":"m","version":1}`)
	a := start(t, runningSource)
	restartedSource.down = true
	b := start(t, restartedSource, a.gateway.settings.Peers)
	restartedSource.put("op/config", configJSON)
	restartedSource.put("op/version/m", `{"model":"m","version":1}`)
	restartedSource.put("op/version/m", `{"model":"m","version":2}`)
	restartedSource.mu.Lock()
	restartedSource.down = false
	restartedSource.mu.Unlock()
	require.Eventually(t, func() bool {
		batch, err := b.gateway.watcher.Since(context.Background(), 0)
		require.NoError(t, err)
		ages := batch.Ages["m"]
		return len(ages) > 0 && ages[0].Version == 2
	}, testTimeout, time.Millisecond)
}

// Guards against a gateway that was paused while a version was published and sends
// requests to engines with older weights after the update window, since it counts
// from its own later observation.
func TestAgeOfAPeerEndsOldWeights(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.put("op/version/m", `{"model":"m","version":1}`)
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) { startStream(w, r); writeEvent(w, 1) })
	g := start(t, source)
	require.Eventually(t, func() bool {
		status, _ := g.call(http.MethodPost, "/stream/x", "")
		return status == http.StatusOK
	}, testTimeout, time.Millisecond)
	revision := source.put("op/version/m", `{"model":"m","version":2}`)
	g.learnAge("m", published.VersionAge{Version: 2, Number: revision.Number(), AgeMS: time.Minute.Milliseconds()})
	require.Eventually(t, func() bool {
		status, _ := g.call(http.MethodPost, "/stream/x", "")
		return status == http.StatusServiceUnavailable
	}, testTimeout, time.Millisecond)
}

// Guards against a request that waits inside an engine until its weights are out of
// date: it has to begin elsewhere instead.
func TestWaitingRequestLeavesOldWeightsInTime(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.put("op/version/m", `{"model":"m","version":1}`)
	arrived := make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		_ = http.NewResponseController(w).Flush()
		close(arrived)
		<-r.Context().Done()
	})
	g := start(t, source)
	revision := source.put("op/version/m", `{"model":"m","version":2}`)
	g.learnAge("m", published.VersionAge{Version: 2, Number: revision.Number(), AgeMS: 5000})
	result := make(chan string, 1)
	go func() {
		_, body := g.call(http.MethodPost, "/stream/x", "")
		result <- body
	}()
	<-arrived
	source.upstreamWithVersion(t, "i-2", "engine", 2, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
	})
	require.Equal(t, "id: 1\ndata: 1\n\n", <-result)
}

// Guards against a peer whose impossible message ends the update window of a version.
func TestImpossibleAgesOfAPeerAreIgnored(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.put("op/version/m", `{"model":"m","version":1}`)
	g := start(t, source)
	revision := source.put("op/version/m", `{"model":"m","version":2}`)
	age := func(ms int64) published.VersionAge {
		return published.VersionAge{Version: 2, Number: revision.Number(), AgeMS: ms}
	}
	require.Eventually(t, func() bool {
		batch, err := g.gateway.watcher.Since(context.Background(), 0)
		require.NoError(t, err)
		return batch.Revision == revision
	}, testTimeout, time.Millisecond)
	const impossible = 300_000
	g.reportAges(newHost(), "m", slices.Repeat([]published.VersionAge{age(impossible)}, 66)...)
	g.learnAge("m", age(1000))
	batch, err := g.gateway.watcher.Since(context.Background(), 0)
	require.NoError(t, err)
	require.Less(t, batch.Ages["m"][0].AgeMS, int64(impossible))
}
