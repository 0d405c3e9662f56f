package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pause is how long the upstreams of these tests are silent before they go on. It is
// longer than the time after which the gateway looks for another upstream, and shorter
// than callers wait for the next event.
const pause = 1700 * time.Millisecond

// pauseConfig has the goals of the users' sites, a route whose streams may not be
// resumed and one that allows one attempt.
const pauseConfig = `{"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","route_kind":"streaming","timeout_ms":6000,"goal_ms":400,"gap_goal_ms":300,"service":"engine","max_attempts":2,"resumable":true},
 {"name":"fixed","host":"h","prefix":"/fixed/","route_kind":"streaming","timeout_ms":6000,"goal_ms":400,"gap_goal_ms":300,"service":"engine","max_attempts":2},
 {"name":"single","host":"h","prefix":"/single/","route_kind":"streaming","timeout_ms":6000,"goal_ms":400,"gap_goal_ms":300,"service":"engine","max_attempts":1,"resumable":true},
 {"name":"read","host":"h","prefix":"/read/","route_kind":"safe","timeout_ms":6000,"goal_ms":150,"service":"desk","max_attempts":2}],
 "services":[{"name":"desk"},{"name":"engine","engine":{"slots":4,"layers":2,"models":[{"name":"m"}]}}],
 "limits":{"max_body_bytes":1000},"tenants":[{"name":"customer","api_keys":["key"]}]}`

const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"

// pausingStream serves a stream of four events that goes on after the event that the
// request names, and is silent after the second event.
func pausingStream(w http.ResponseWriter, r *http.Request) {
	startStream(w, r)
	if r.Header.Get("Last-Event-Id") == "" {
		writeEvent(w, 1)
		writeEvent(w, 2)
		time.Sleep(pause)
	}
	writeEvent(w, 3)
	writeEvent(w, 4)
}

// Guards against answers that are cut, or refused, because their upstream is silent for
// a moment and the request can go on nowhere else: the upstream would have gone on
// before its caller gave up.
func TestAnswerOfAPausingUpstreamIsNotCut(t *testing.T) {
	lateHead := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		startStream(w, r)
		for id := range 4 {
			writeEvent(w, id+1)
		}
	}
	pausingBody := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4")
		respond(w, r, http.StatusOK, "ab")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
		_, _ = io.WriteString(w, "cd")
	}
	for _, c := range []struct {
		name, path, service string
		upstreams           []string
		serve               http.HandlerFunc
		want                string
	}{
		{"mid-stream, one upstream", "/stream/1", "engine", []string{"i-1"}, pausingStream, wholeStream},
		{"mid-stream, two upstreams", "/stream/1", "engine", []string{"i-1", "i-2"}, pausingStream, wholeStream},
		{"mid-stream, not resumable", "/fixed/1", "engine", []string{"i-1", "i-2"}, pausingStream, wholeStream},
		{"mid-stream, one attempt", "/single/1", "engine", []string{"i-1", "i-2"}, pausingStream, wholeStream},
		{"before the head, one upstream", "/stream/1", "engine", []string{"i-1"}, lateHead, wholeStream},
		{"before the head, all upstreams", "/stream/1", "engine", []string{"i-1", "i-2"}, lateHead, wholeStream},
		{"plain body", "/read/1", "desk", []string{"i-1", "i-2"}, pausingBody, "abcd"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			source := newSource()
			source.put("op/config", pauseConfig)
			for _, id := range c.upstreams {
				source.upstream(t, id, c.service, c.serve)
			}
			status, body, err := start(t, source).tryCall(c.path)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, c.want, body)
		})
	}
}

// Guards against streams that are cut when their upstream is silent and all others are
// full: they go on where they are, or elsewhere as soon as there is room.
func TestPausingUpstreamWhileOthersAreFull(t *testing.T) {
	source := newSource()
	source.put("op/config", pauseConfig)
	source.upstream(t, "i-1", "engine", pausingStream)
	source.upstream(t, "i-2", "engine", pausingStream)
	g := start(t, source)
	const callers = 8
	results := make(chan string, callers)
	for range callers {
		go func() {
			_, body, err := g.tryCall("/stream/1")
			if err != nil {
				body = err.Error()
			}
			results <- body
		}()
	}
	for range callers {
		require.Equal(t, wholeStream, <-results)
	}
}

// Guards against a change of the configuration that takes away the place where a stream
// goes on: its service leaves while its upstream is silent.
func TestPausingUpstreamWhoseServiceLeaves(t *testing.T) {
	source := newSource()
	source.put("op/config", pauseConfig)
	var silent atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		silent.Add(1)
		pausingStream(w, r)
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	result := make(chan string, 1)
	go func() {
		_, body, err := g.tryCall("/stream/1")
		if err != nil {
			body = err.Error()
		}
		result <- body
	}()
	require.Eventually(t, func() bool { return silent.Load() > 0 }, testTimeout, time.Millisecond)
	source.put("op/config", `{"version":2,"routes":[{"name":"read","host":"h","prefix":"/read/","route_kind":"safe","timeout_ms":6000,"goal_ms":150,"service":"desk","max_attempts":2}],
	 "services":[{"name":"desk"}],"tenants":[{"name":"customer","api_keys":["key"]}]}`)
	require.Equal(t, wholeStream, <-result)
}

// tryCall sends a request and returns its status and body.
func (r *testGateway) tryCall(path string) (int, string, error) {
	resp, err := r.request(context.Background(), http.MethodPost, path, "")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Clone(string(body)), err
}

// Guards against a stream that waits for an upstream which is silent for good, as on a
// connection that lost its path, although another one has room.
func TestStreamLeavesAnUpstreamThatStaysSilent(t *testing.T) {
	source := newSource()
	source.put("op/config", pauseConfig)
	ended := make(chan struct{})
	var hung atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if !hung.CompareAndSwap(false, true) {
			pausingStream(w, r)
			return
		}
		startStream(w, r)
		writeEvent(w, 1)
		writeEvent(w, 2)
		<-r.Context().Done()
		close(ended)
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	_, body, err := g.tryCall("/stream/1")
	require.NoError(t, err)
	require.Equal(t, wholeStream, body)
	<-ended
	require.Contains(t, g.logs.line("upstream-silent"), "begun=true")
	require.Equal(t, uint64(1), g.gateway.metrics.interrupts.Get())
	require.Zero(t, g.gateway.metrics.resumptions.Get())
}
