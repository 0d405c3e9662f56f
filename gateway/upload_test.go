package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/watcher"
	"rattanspur.example/platform"
)

// partialRequest sends a request without the end of its body on a connection of its own
// and returns a reader of the connection.
func (r *testGateway) partialRequest(framing, body string) (net.Conn, *bufio.Reader) {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.gateway.settings.Listen)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nRattanspur-Attempt-Id: id-1\r\n%s\r\n\r\n%s", framing, body)
	require.NoError(r.t, err)
	return conn, bufio.NewReader(conn)
}

// awaitIncomplete waits until a number of bodies are being read.
func (r *testGateway) awaitIncomplete(n int) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.gateway.bodies.Stats().Incomplete == n }, testTimeout, time.Millisecond)
}

// startDesk starts a gateway with a budget for bodies and an upstream that counts runs.
func startDesk(t *testing.T, budget int64) (*testGateway, *atomic.Int32) {
	source := newSource()
	source.put("op/config", configJSON)
	runs := &atomic.Int32{}
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		respond(w, r, http.StatusOK, "ok")
	})
	return startWithBodies(t, source, budget, func(*Settings) {}), runs
}

// Guards against a displaced request whose caller is not told that it has not run, or
// whose connection is used again in the middle of its body, and against an ordinary
// request that is shut out by bodies that are not complete.
func TestAnIncompleteBodyIsDisplacedAndItsRequestNotRun(t *testing.T) {
	g, runs := startDesk(t, 30<<10)
	// A larger header makes it cost more than one that begins in the same moment.
	_, stalled := g.partialRequest("Content-Length: 10\r\nX-Long: "+strings.Repeat("a", 4<<10), "123456789")
	require.Eventually(t, func() bool { return g.gateway.bodies.Stats().Held > 4<<10 }, testTimeout, time.Millisecond)
	status, _ := g.call(http.MethodPost, "/once/2", "ordinary")
	require.Equal(t, http.StatusOK, status)
	resp, err := http.ReadResponse(stalled, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.500", resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	_ = resp.Body.Close()
	require.EqualValues(t, 1, runs.Load())
	require.Contains(t, g.logs.line("refused"), "displaced")
}

// Guards against memory that stays counted after the end of requests, however they end.
func TestTheMemoryOfBodiesIsReleased(t *testing.T) {
	g, _ := startDesk(t, 1<<20)
	for range 3 {
		status, _ := g.call(http.MethodPost, "/once/1", "text")
		require.Equal(t, http.StatusOK, status)
	}
	status, _ := g.call(http.MethodPost, "/nowhere/1", "text")
	require.Equal(t, http.StatusNotFound, status)
	conn, _ := g.partialRequest("Transfer-Encoding: chunked", "4\r\ntext\r\n")
	g.awaitIncomplete(1)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return g.gateway.bodies.Stats().Held == 0 }, testTimeout, time.Millisecond)
}

// Guards against reading on after a body that is over the limit: the response must come
// although the caller sends nothing more, and the connection must be closed.
func TestABodyOverTheLimitIsNotReadOn(t *testing.T) {
	g, runs := startDesk(t, 1<<20)
	for framing, body := range map[string]string{
		"Content-Length: 1001": "", "Transfer-Encoding: chunked": "3e9\r\n" + strings.Repeat("a", 1001),
	} {
		_, response := g.partialRequest(framing, body)
		resp, err := http.ReadResponse(response, nil)
		require.NoError(t, err, framing)
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode, framing)
		require.True(t, resp.Close, framing)
		_ = resp.Body.Close()
	}
	require.Zero(t, runs.Load())
	require.Contains(t, g.logs.line("body-rejected"), "status=413")
}

// Guards against connections that need more memory or descriptors than the machine has:
// each running request has two, and a quarter of the connections are being closed.
func TestConnectionsFitIntoMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		memoryMB int64
		files    int
	}{{152, 2048}, {184, 4100}, {424, 10_250}, {536, 8192}, {128, 512}, {256, 0}} {
		limit := maxConnections(c.memoryMB<<20, c.files)
		require.LessOrEqual(t, int64(limit*connectionBytes), c.memoryMB<<20/connectionMemoryDivisor)
		if c.files > 0 {
			require.LessOrEqual(t, 2*(limit-limit/4)+limit/4+otherFiles, c.files)
		}
		require.Greater(t, limit, 200)
	}
	require.Equal(t, 1, maxConnections(1, 1))
}

// Guards against idle connections that shut out new ones, and against a body that is
// displaced for a connection although others are idle.
func TestRoomForConnectionsComesFromIdleOnesFirst(t *testing.T) {
	logger := log.NewNopLogger()
	g := New(Settings{Listen: newHost() + ":7001"}, platform.Codec{}, watcher.New(newSource(), "", time.Second, logger), logger)
	f, err := listenFront(t.Context(), g)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.close() })
	f.serve()
	r := &testGateway{t: t, gateway: g}
	idle, err := net.Dial("tcp", g.settings.Listen)
	require.NoError(t, err)
	t.Cleanup(func() { _ = idle.Close() })
	require.Eventually(t, func() bool { return len(f.open()) == 1 }, testTimeout, time.Millisecond)
	require.Empty(t, f.idle(), "a connection without any request may get one at once")
	f.open()[0].idleSince.Store(time.Now().UnixNano())
	require.Len(t, f.idle(), 1)
	_, stalled := r.partialRequest("Content-Length: 10", "123456789")
	r.awaitIncomplete(1)
	f.makeRoom(1, false)
	require.Empty(t, f.idle())
	require.Equal(t, 1, g.bodies.Stats().Incomplete)
	time.Sleep(300 * time.Millisecond)
	f.makeRoom(1, true)
	resp, err := http.ReadResponse(stalled, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	_ = resp.Body.Close()
}

// Guards against a gateway that is ready and answers nobody for as long as a head may take,
// because clients have opened all its connections and send nothing, or a part of a head.
func TestUnusedConnectionsShutNobodyOut(t *testing.T) {
	const limit = 8
	for name, sent := range map[string]string{"nothing": "", "part of a head": "POST /once/1 HTTP/1.1\r\nHost: h\r\n"} {
		t.Run(name, func(t *testing.T) {
			source := newSource()
			source.put("op/config", configJSON)
			source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "ok") })
			g := startWithBodies(t, source, 1<<20, func(s *Settings) {
				s.MemoryBytes = limit * connectionBytes * connectionMemoryDivisor
			})
			// More than the limit wait to be accepted.
			for range 2 * limit {
				_, err := io.WriteString(g.dial(), sent)
				require.NoError(t, err)
			}
			startedAt := time.Now()
			status, _ := g.call(http.MethodPost, "/once/2", "ordinary")
			require.Equal(t, http.StatusOK, status)
			require.Less(t, time.Since(startedAt), headerTimeout/2)
			require.Contains(t, g.logs.line("connection-displaced"), "used=false")
		})
	}
}
