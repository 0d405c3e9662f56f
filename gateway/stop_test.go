package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/watcher"
	"rattanspur.example/platform"
)

// answer is what a caller got: a response or an error.
type answer struct {
	status int
	header http.Header
	close  bool
	body   string
	err    error
}

// begin sends a request and returns where its answer arrives. A request without an answer
// ends with an error after testTimeout.
func (r *testGateway) begin(method, path string) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		resp, err := r.request(ctx, method, path, "")
		if err != nil {
			out <- answer{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		out <- answer{resp.StatusCode, resp.Header, resp.Close, string(body), err}
	}()
	return out
}

// requireNotRun checks that a request was rejected as not run, with a time to come back,
// and that its connection is closed.
func requireNotRun(t *testing.T, a answer) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.True(t, a.close, "the connection stays open")
}

// stopAndWait begins a planned stop and waits until the gateway says so.
func (r *testGateway) stopAndWait() {
	r.t.Helper()
	r.stop()
	require.Eventually(r.t, func() bool { return r.logs.has("event=stop-begun") }, testTimeout, time.Millisecond)
}

// has reports whether the log contains a text.
func (b *logBuffer) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

// awaitClosedListener waits until the gateway accepts no new connection.
func (r *testGateway) awaitClosedListener() {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		c, err := net.Dial("tcp", r.gateway.settings.Listen)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, testTimeout, 10*time.Millisecond)
}

// hang serves requests that get no answer until their connection closes, and reports each
// one.
func hang() (http.HandlerFunc, chan string) {
	arrived := make(chan string, 16)
	return func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-r.Context().Done()
	}, arrived
}

// Guards against requests that still run at the end of a planned stop and get no answer,
// and against unrepeatable ones that come during it and are passed on although they may
// outlast it.
func TestStopAnswersWhatOutlastsIt(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	serve, arrived := hang()
	source.upstream(t, "i-1", "desk", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	before := g.begin(http.MethodPost, "/once/1")
	stream := g.begin(http.MethodPost, "/stream/1")
	<-arrived
	<-arrived
	g.stopAndWait()
	late := g.begin(http.MethodPost, "/once/2")
	requireNotRun(t, <-late)
	read := g.begin(http.MethodGet, "/read/1")
	for _, pending := range []<-chan answer{before, stream, read} {
		a := <-pending
		require.NoError(t, a.err)
		require.Equal(t, http.StatusBadGateway, a.status, a.body)
		require.Empty(t, a.header.Get("Retry-After"))
		require.True(t, a.close)
	}
	require.NoError(t, <-g.done)
	require.Equal(t, "/read/1", <-arrived)
	require.Empty(t, arrived, "the late request ran")
	require.Contains(t, g.logs.line("stop"), "refused=1 unknown=3 open=0")
	require.True(t, g.logs.has("the process stops and the request still ran"))
}

// Guards against a stop that rejects what can be served: requests in the first seconds,
// also unrepeatable ones of a route that answers fast.
func TestStopServesRequestsThatEndInTime(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	g := start(t, source)
	for range 20 {
		status, _ := g.call(http.MethodPost, "/once/1", "")
		require.Equal(t, http.StatusOK, status)
	}
	g.stopAndWait()
	for _, path := range []string{"/once/1", "/read/1"} {
		a := <-g.begin(http.MethodPost, path)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, path+a.body)
		require.True(t, a.close)
	}
	require.NoError(t, <-g.done)
}

// Guards against a stream that looks complete although the stop ended it, and against
// one that the stop cuts although it ends in time.
func TestStopEndsStreams(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	started, release := make(chan struct{}, 2), make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
		started <- struct{}{}
		if r.URL.Path == "/stream/short" {
			<-release
			writeEvent(w, 2)
			return
		}
		<-r.Context().Done()
	})
	g := start(t, source)
	short := g.begin(http.MethodPost, "/stream/short")
	long := g.begin(http.MethodPost, "/stream/long")
	<-started
	<-started
	g.stopAndWait()
	g.awaitClosedListener()
	close(release)
	a := <-short
	require.NoError(t, a.err)
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", a.body)
	a = <-long
	require.Error(t, a.err)
	require.Equal(t, "id: 1\ndata: 1\n\n", a.body)
	require.NoError(t, <-g.done)
	require.Contains(t, g.logs.line("connection-closed"), "reason=process-stops")
}

// Guards against requests that wait for capacity when the stop begins, or come during
// it, and end with the process without an answer.
func TestStopAnswersWaitingRequests(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	serve, arrived := hang()
	source.upstream(t, "i-1", "desk", serve)
	g := start(t, source)
	var running []<-chan answer
	for range 8 {
		running = append(running, g.begin(http.MethodGet, "/read/1"))
		<-arrived
	}
	waiting := []<-chan answer{g.begin(http.MethodGet, "/read/2"), g.begin(http.MethodPost, "/once/2")}
	require.Eventually(t, func() bool { return g.gateway.metrics.requests.Get() == 10 }, testTimeout, time.Millisecond)
	g.stopAndWait()
	waiting = append(waiting, g.begin(http.MethodGet, "/read/2"), g.begin(http.MethodPost, "/once/2"))
	for _, pending := range waiting {
		requireNotRun(t, <-pending)
	}
	for _, pending := range running {
		require.Equal(t, http.StatusBadGateway, (<-pending).status)
	}
	require.Empty(t, arrived)
	require.NoError(t, <-g.done)
}

// rawRequest writes the head of a request with a body of 4 bytes.
func (r *testGateway) rawRequest(conn net.Conn, path string) {
	r.t.Helper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n"+
		"Rattanspur-Attempt-Id: id-1\r\nRattanspur-Deadline-Ms: 10000\r\nRattanspur-Model: m\r\n\r\n", path)
	require.NoError(r.t, err)
}

func (r *testGateway) dial() net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.gateway.settings.Listen)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// readAnswer reads an answer from a connection.
func readAnswer(r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, resp.Close, string(body), err}
}

// Guards against an upload that is cut by the stop: one whose body comes in time is
// served, one that is still incomplete at the end is rejected as not run.
func TestStopAnswersUploads(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		respond(w, r, http.StatusOK, string(body))
	})
	g := start(t, source)
	whole, cut := g.dial(), g.dial()
	for _, conn := range []net.Conn{whole, cut} {
		g.rawRequest(conn, "/read/1")
		_, err := io.WriteString(conn, "te")
		require.NoError(t, err)
	}
	g.stopAndWait()
	g.awaitClosedListener()
	_, err := io.WriteString(whole, "xt")
	require.NoError(t, err)
	a := readAnswer(bufio.NewReader(whole))
	require.NoError(t, a.err)
	require.Equal(t, "text", a.body)
	reader := bufio.NewReader(cut)
	requireNotRun(t, readAnswer(reader))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, <-g.done)
}

// Guards against a kept connection that is closed without a word: it was busy when the
// stop began, with an answer that had not announced its end, and gets a further request.
func TestStopServesKeptConnections(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	started, release := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, 1)
		close(started)
		<-release
	})
	source.upstream(t, "i-2", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	g := start(t, source)
	conn := g.dial()
	reader := bufio.NewReader(conn)
	g.rawRequest(conn, "/stream/first")
	_, err := io.WriteString(conn, "text")
	require.NoError(t, err)
	<-started
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.False(t, resp.Close)
	g.stopAndWait()
	g.awaitClosedListener()
	close(release)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	g.rawRequest(conn, "/read/second")
	_, err = io.WriteString(conn, "text")
	require.NoError(t, err)
	a := readAnswer(reader)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.True(t, a.close)
	require.NoError(t, <-g.done)
}

// Guards against idle connections that stay open for as long as others are busy: their
// callers send further requests until the end of the grace, and the last ones are cut.
func TestStopClosesIdleConnectionsWhileOthersAreBusy(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	started, release := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/busy" {
			close(started)
			<-release
		}
		respond(w, r, http.StatusOK, "ok")
	})
	g := start(t, source)
	conn := g.dial()
	reader := bufio.NewReader(conn)
	g.rawRequest(conn, "/read/1")
	_, err := io.WriteString(conn, "text")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, readAnswer(reader).status)
	running := g.begin(http.MethodPost, "/once/busy")
	<-started
	g.stopAndWait()
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	close(release)
	require.Equal(t, http.StatusOK, (<-running).status)
	require.NoError(t, <-g.done)
}

// Guards against a connection that was accepted before the listener closed and whose
// first request comes afterwards.
func TestStopServesConnectionsAcceptedBefore(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
	serve, arrived := hang()
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	running := g.begin(http.MethodPost, "/stream/1")
	<-arrived
	g.stopAndWait()
	conn := g.dial()
	g.awaitClosedListener()
	g.rawRequest(conn, "/read/1")
	_, err := io.WriteString(conn, "text")
	require.NoError(t, err)
	a := readAnswer(bufio.NewReader(conn))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, http.StatusBadGateway, (<-running).status)
	require.NoError(t, <-g.done)
}

// Guards against a stop during a change of the configuration that forgets the requests
// of a route that is gone.
func TestStopDuringAChangeOfTheConfiguration(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	serve, arrived := hang()
	source.upstream(t, "i-1", "desk", serve)
	g := start(t, source)
	running := g.begin(http.MethodPost, "/once/1")
	<-arrived
	g.stopAndWait()
	source.put("op/config", strings.Replace(strings.Replace(configJSON, `"/once/"`, `"/other/"`, 1), `"version":1`, `"version":2`, 1))
	source.put("servers/i-1", "")
	// A request that the router takes before it learns of the stop is sent, and runs until its
	// end, so that the answers are not awaited one after the other.
	notFound := make(chan struct{}, 1)
	require.Eventually(t, func() bool {
		answered := g.begin(http.MethodPost, "/once/1")
		go func() {
			if (<-answered).status == http.StatusNotFound {
				select {
				case notFound <- struct{}{}:
				default:
				}
			}
		}()
		select {
		case <-notFound:
			return true
		default:
			return false
		}
	}, testTimeout, 10*time.Millisecond)
	a := <-running
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status)
	require.NoError(t, <-g.done)
}

// Guards against a stop before the first configuration that leaves requests without an
// answer.
func TestStopBeforeTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.down = true
	g := launch(t, source, func(int) int { return 0 })
	require.Eventually(t, func() bool { return g.logs.has("event=start") }, testTimeout, time.Millisecond)
	g.stopAndWait()
	requireNotRun(t, <-g.begin(http.MethodPost, "/once/1"))
	require.NoError(t, <-g.done)
}

// Guards against a panic of the core during a stop after which the stop is forgotten:
// requests in an attempt get no answer at its end, and late ones are passed on.
func TestPanicOfTheCoreDuringAStop(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	serve, arrived := hang()
	source.upstream(t, "i-1", "desk", serve)
	var faulty atomic.Bool
	g := startWithRandom(t, source, func(int) int {
		if faulty.Swap(false) {
			panic("fault of the test")
		}
		return 0
	})
	running := g.begin(http.MethodPost, "/once/1")
	<-arrived
	g.stopAndWait()
	faulty.Store(true)
	requireNotRun(t, <-g.begin(http.MethodPost, "/once/2"))
	require.Equal(t, uint64(1), g.gateway.metrics.panics.Get())
	requireNotRun(t, <-g.begin(http.MethodPost, "/once/3"))
	a := <-running
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Empty(t, arrived)
	require.NoError(t, <-g.done)
}

// Guards against requests that end without an answer because a duty of their gateway
// failed: what can go on without it does, until the process has stopped as planned.
func TestFailedDutyStopsAsPlanned(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	started, release := make(chan struct{}), make(chan struct{})
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		respond(w, r, http.StatusOK, "ok")
	})
	g := start(t, source)
	running := g.begin(http.MethodPost, "/once/1")
	<-started
	g.gateway.support.Go("faulty", func(context.Context) error { return eris.New("fault of the test") })
	require.Eventually(t, func() bool { return g.logs.has("event=stop-begun") }, testTimeout, time.Millisecond)
	requireNotRun(t, <-g.begin(http.MethodPost, "/once/2"))
	close(release)
	a := <-running
	require.NoError(t, a.err)
	require.Equal(t, "ok", a.body)
	require.ErrorContains(t, <-g.done, "fault of the test")
}

// Guards against a gateway that cannot listen on one of its ports and keeps the others, or
// leaves its duties running.
func TestRunEndsIfItCannotListen(t *testing.T) {
	t.Parallel()
	source := newSource()
	source.put("op/config", configJSON)
	first := start(t, source)
	w := watcher.New(source, "", time.Second, log.NewNopLogger())
	settings := first.gateway.settings
	settings.Listen, settings.Peers, settings.Control = newHost()+":7001", newHost()+":7004", ""
	second := New(settings, platform.Codec{}, w, log.NewNopLogger())
	require.ErrorContains(t, second.Run(context.Background()), "readiness")
	l, err := net.Listen("tcp", settings.Listen)
	require.NoError(t, err)
	require.NoError(t, l.Close())
	require.Error(t, second.routing.Context().Err())
	require.Error(t, second.support.Context().Err())
}
