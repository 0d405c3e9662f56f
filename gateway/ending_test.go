package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Heads of responses that an upstream has signed, without the protocol version. The
// bodies that follow end with their connections.
const (
	signed     = "Rattanspur-Attempt-Id: id-1\r\nRattanspur-Replica-Signature: signed\r\n"
	plainHead  = " 200 OK\r\n" + signed + "\r\n"
	streamHead = " 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\n\r\n"
)

// scripted publishes an upstream that runs a script on each connection.
func (s *fakeSource) scripted(t *testing.T, id, service string, script socktest.Script) {
	s.publish(id, service, socktest.Serve(t, script), 1)
}

// scriptedFleet publishes four upstreams of each service that run a script on each connection.
func (s *fakeSource) scriptedFleet(t *testing.T, script socktest.Script) {
	for i := range 4 {
		s.scripted(t, fmt.Sprint("d-", i), "desk", script)
		s.scripted(t, fmt.Sprint("e-", i), "engine", script)
	}
}

// callRaw sends a request over a connection of its own and returns all bytes of the
// response, and the error with which the connection ended if it was not closed in
// order.
func (r *testGateway) callRaw(proto, path string, halfClose bool) (string, error) {
	c, err := net.Dial("tcp", r.gateway.settings.Listen)
	require.NoError(r.t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET %s %s\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer key\r\n"+
		"Rattanspur-Attempt-Id: id-1\r\nRattanspur-Deadline-Ms: 10000\r\nRattanspur-Model: m\r\n\r\n", path, proto)
	require.NoError(r.t, err)
	if halfClose {
		require.NoError(r.t, c.(*net.TCPConn).CloseWrite())
	}
	data, err := io.ReadAll(c)
	return string(data), err
}

// parse returns the body of a response as a caller reads it.
func parse(data string, end error) (string, error) {
	if end == nil {
		end = io.EOF
	}
	r := io.MultiReader(strings.NewReader(data), iotest.ErrReader(end))
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against an answer that broke off and looks complete to a caller of either
// protocol version, and against a complete one that looks broken.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	for _, c := range []struct {
		name, path, head, body string
		end                    socktest.End
		whole                  bool
	}{
		{"plain", "/read/1", plainHead, "text", socktest.FIN, true},
		{"plain, empty", "/read/1", plainHead, "", socktest.FIN, true},
		{"plain, reset", "/read/1", plainHead, strings.Repeat("text", 4096), socktest.RST, false},
		{"stream", "/stream/1", streamHead, "data: a\n\n", socktest.FIN, true},
		{"stream, reset", "/stream/1", streamHead, "data: a\n\n", socktest.RST, false},
		{"stream, cut", "/stream/1", streamHead, "data: a\n\ndata: b\n", socktest.FIN, false},
		{"plain answer on a stream's route", "/stream/1", plainHead, "text", socktest.FIN, true},
		{"plain answer on a stream's route, reset", "/stream/1", plainHead, "text", socktest.RST, false},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(c.name+" "+version, func(t *testing.T) {
				t.Parallel()
				source := newSource()
				source.put("op/config", configJSON)
				for i, service := range []string{"desk", "engine"} {
					source.scripted(t, fmt.Sprint("i-", i), service, socktest.Respond(version+c.head+c.body, c.end))
				}
				data, end := start(t, source).callRaw(version, c.path, false)
				body, err := parse(data, end)
				if c.whole {
					require.NoError(t, err)
					require.Equal(t, c.body, body)
					return
				}
				require.Error(t, err)
				require.True(t, strings.HasPrefix(c.body, body))
				require.NotContains(t, body, "b\n")
			})
		}
	}
}

// Guards against a stream that broke off and does not go on at another upstream
// after its last whole event, and against a piece of a cut event in it.
func TestBrokenStreamGoesOnAtAnotherUpstream(t *testing.T) {
	const events, crlfEvents = "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n"
	for _, c := range []struct {
		name, response string
		end            socktest.End
		passed, lastID string
	}{
		{"cut", "HTTP/1.1" + streamHead + events + "id: 2\nda", socktest.FIN, events, "1"},
		{"cut, HTTP/1.0", "HTTP/1.0" + streamHead + events + "id: 2\nda", socktest.FIN, events, "1"},
		{"before the blank line", "HTTP/1.1" + streamHead + events + "id: 2\ndata: x\n", socktest.FIN, events, "1"},
		{"before the blank line, CRLF", "HTTP/1.1" + streamHead + crlfEvents + "id: 2\r\ndata: x\r\n", socktest.FIN, crlfEvents, "1"},
		{"after an ID", "HTTP/1.1" + streamHead + events + "id: 2\n", socktest.FIN, events, "1"},
		{"in the first event", "HTTP/1.1" + streamHead + "id: 1\nda", socktest.FIN, "", ""},
		{"after a comment", "HTTP/1.1" + streamHead + ": c\n\nid: 1\nda", socktest.FIN, "", ""},
		{"reset", "HTTP/1.1" + streamHead + events + "id: 2\nda", socktest.RST, events, "1"},
		{"reset after a whole event", "HTTP/1.1" + streamHead + events, socktest.RST, events, "1"},
		{"cut, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n" + signed + "Content-Type: text/event-stream\r\n\r\n" + events + "id", socktest.Open, events, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			source := newSource()
			source.put("op/config", configJSON)
			var attempts atomic.Int32
			lastID := make(chan string, 1)
			script := func(conn net.Conn, r *bufio.Reader) {
				for {
					req, _, err := socktest.ReadRequest(r)
					if err != nil {
						return
					}
					if attempts.Add(1) > 1 {
						lastID <- req.Header.Get("Last-Event-Id")
						_, _ = io.WriteString(conn, "HTTP/1.1"+streamHead+"id: 2\ndata: b\n\n")
						return
					}
					_, _ = io.WriteString(conn, c.response)
					if c.end != socktest.Open {
						socktest.Finish(conn, c.end)
						return
					}
				}
			}
			source.scripted(t, "i-1", "engine", script)
			source.scripted(t, "i-2", "engine", script)
			body, err := parse(start(t, source).callRaw("HTTP/1.1", "/stream/1", false))
			require.NoError(t, err)
			require.Equal(t, c.passed+"id: 2\ndata: b\n\n", body)
			require.Equal(t, c.lastID, <-lastID)
		})
	}
}

// Guards against an empty success for a caller that has closed its sending side and
// still reads: the gateway takes it for a caller that has left.
func TestCallerThatClosesItsSendingSide(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	source.scripted(t, "i-1", "desk", func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = r.ReadByte()
	})
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		_, err := parse(start(t, source).callRaw(version, "/read/1", true))
		require.Error(t, err, version)
	}
}

// Guards against callers' connections that are closed without a trace: every response
// that is not completed leaves a line with its reason and is counted.
func TestAbortedResponseIsLoggedAndCounted(t *testing.T) {
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
	line := g.logs.line("connection-closed")
	require.Contains(t, line, "reason=broken-off")
	require.Contains(t, line, "begun=true")
	recorder := httptest.NewRecorder()
	g.gateway.metrics.serve(recorder, nil)
	require.Contains(t, recorder.Body.String(), `gateway_connections_closed_total{reason="broken-off"} 1`)
}
