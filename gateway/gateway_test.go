package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
)

// Guards against a request that reaches the upstream without what it must know,
// or with what it must not.
func TestRequestAndAnswerPassWhole(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	var got http.Header
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		body, _ := io.ReadAll(r.Body)
		answer(w, r, http.StatusCreated, r.Method+" "+r.RequestURI+" "+string(body))
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

// Guards against a request that may run once and is sent again, by the system
// or by a transport, after its connection broke.
func TestLostAnswerIsNotAskedForAgain(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
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

// Guards against a kept connection that dies under a request which is then
// repeated without a decision.
func TestKeptConnectionThatDies(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	var runs atomic.Int32
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		answer(w, r, http.StatusOK, "ok")
	})
	g := start(t, source)
	status, _ := g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	status, _ = g.call(http.MethodPost, "/once/2", "")
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, int32(2), runs.Load())
}

// Guards against a stream that breaks off at one upstream and loses or repeats
// events when it goes on at another.
func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	serve := func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
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

// Guards against a cut stream that looks complete.
func TestCutStreamDoesNotLookComplete(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
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

// Guards against work that goes on at an upstream for a caller who left.
func TestUpstreamLearnsThatTheCallerLeft(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	begun, ended := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
		writeEvent(w, 1)
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	g := start(t, source)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := g.request(ctx, http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	<-begun
	cancel()
	_ = resp.Body.Close()
	<-ended
}

// Guards against a request that waits beyond its route's time, and against a
// refusal that claims that it has not run.
func TestRouteTimeEndsARequest(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	release := make(chan struct{})
	defer close(release)
	source.upstream(t, "i-1", "desk", func(http.ResponseWriter, *http.Request) { <-release })
	g := start(t, source)
	status, _ := g.call(http.MethodPost, "/brief/1", "")
	require.Equal(t, http.StatusGatewayTimeout, status)
}

// Guards against an upstream's refusal that becomes the caller's although
// another upstream has room.
func TestRefusalGoesToAnotherUpstream(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	var refused atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if refused.CompareAndSwap(false, true) {
			w.Header().Set("Rattanspur-Not-Executed", "1")
			w.Header().Set("Rattanspur-Attempt-Id", r.Header.Get("Rattanspur-Attempt-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer(w, r, http.StatusOK, "ok")
	}
	source.upstream(t, "i-1", "desk", serve)
	source.upstream(t, "i-2", "desk", serve)
	g := start(t, source)
	status, body := g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok", body)
}

// Guards against requests that are refused with the wrong status, or read
// although they are too large.
func TestRequestsThatAreNotAllowed(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	g := start(t, source)
	require.Eventually(t, func() bool { return g.gateway.bodyBytes.Load() == 1000 }, waitMost, time.Millisecond)
	status, _ := g.call(http.MethodPost, "/none/1", "")
	require.Equal(t, http.StatusNotFound, status)
	status, _ = g.call(http.MethodPost, "/once/1", strings.Repeat("x", 1001))
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	status, _ = g.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusServiceUnavailable, status, "no upstream")
}

// Guards against a graceful stop that cuts a request in progress, and against
// a process that counts as ready while it stops.
func TestGracefulStopCutsNothing(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	begun, release := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
		writeEvent(w, 1)
		close(begun)
		<-release
		writeEvent(w, 2)
	})
	g := start(t, source)
	resp, err := g.request(context.Background(), http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	<-begun
	g.stop()
	require.Eventually(t, func() bool { return !g.ready() }, waitMost, time.Millisecond)
	close(release)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", string(body))
	require.NoError(t, <-g.done)
}

func (r *running) ready() bool {
	resp, err := http.Get("http://" + r.gateway.settings.Ready + r.gateway.settings.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against a gateway that the store turns away and that acts on an old
// view while another one knows the new one.
func TestViewComesFromAPeer(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusOK, "ok") })
	first := start(t, source)
	cut := newSource()
	cut.down = true
	second := start(t, cut, first.gateway.settings.Peers)
	status, _ := second.call(http.MethodPost, "/once/1", "")
	require.Equal(t, http.StatusOK, status)
	source.put("op/config", strings.Replace(strings.Replace(routes, `"key"`, `"other"`, 1), `"version":1`, `"version":2`, 1))
	require.Eventually(t, func() bool {
		status, _ := second.call(http.MethodPost, "/once/1", "")
		return status == http.StatusUnauthorized
	}, waitMost, 10*time.Millisecond)
}

// Guards against events that come twice: a stream whose events carry no ids
// would go on from the event that the caller named itself.
func TestStreamWithoutIdsDoesNotGoOn(t *testing.T) {
	source := newSource()
	source.put("op/config", routes)
	serve := func(w http.ResponseWriter, r *http.Request) {
		beginEvents(w, r)
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	resp, err := g.resumed(http.MethodPost, "/stream/1", "5")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, "data: a\n\n", string(body))
}

// Guards against gateways that divide the slots of an upstream by rates which
// they never tell each other: each then takes all of them.
func TestPeersHearWhatArrives(t *testing.T) {
	peer, err := net.ListenPacket("udp4", host()+":7004")
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	source := newSource()
	source.put("op/config", routes)
	source.upstream(t, "a", "desk", func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusOK, "a") })
	g := start(t, source, peer.LocalAddr().String())
	status, _ := g.call("GET", "/read/1", "")
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(waitMost)))
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := peer.ReadFrom(buffer)
		require.NoError(t, err, "no message named a demand")
		var m peering.Message
		require.NoError(t, json.Unmarshal(buffer[:n], &m))
		if m.Demands["desk"].PerSecond > 0 {
			return
		}
	}
}

// Guards against a gateway that was restarted while the store was away, reads a
// new version in its first snapshot and refuses everything, because it does not
// know since when the version is wanted and asks nobody again.
func TestTimeOfAVersionIsAskedForAgain(t *testing.T) {
	knowing, fresh := newSource(), newSource()
	knowing.put("op/config", routes)
	knowing.put("op/version/m", `{"model":"m","version":1}`)
	a := start(t, knowing)
	fresh.down = true
	b := start(t, fresh, a.gateway.settings.Peers)
	fresh.put("op/config", routes)
	fresh.put("op/version/m", `{"model":"m","version":1}`)
	fresh.put("op/version/m", `{"model":"m","version":2}`)
	fresh.mu.Lock()
	fresh.down = false
	fresh.mu.Unlock()
	require.Eventually(t, func() bool {
		known, err := b.gateway.watcher.Since(context.Background(), 0)
		require.NoError(t, err)
		for _, c := range known.Changes {
			if w, ok := c.Item.(published.DesiredVersion); ok && w.Version == 2 && c.Age > 0 {
				return true
			}
		}
		return false
	}, waitMost, time.Millisecond)
}
