package agent

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/sock/socktest"
)

const streamHead = " 200 OK\r\nContent-Type: text/event-stream\r\n"

// Guards against an answer of the upstream that breaks off and counts as complete,
// at the gate or for the entry, and against passing on a piece of a cut event.
func TestEndOfAnUpstreamsAnswer(t *testing.T) {
	const events, crlfEvents = "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n"
	for _, c := range []struct {
		name, response string
		end            socktest.End
		passed         string
		broken         bool
	}{
		{"plain", "HTTP/1.1 200 OK\r\n\r\ntext", socktest.FIN, "text", false},
		{"plain, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\ntext", socktest.FIN, "text", false},
		{"plain, empty", "HTTP/1.1 200 OK\r\n\r\n", socktest.FIN, "", false},
		{"plain, server error", "HTTP/1.1 500 No\r\n\r\ntext", socktest.FIN, "text", false},
		{"plain, reset", "HTTP/1.1 200 OK\r\n\r\ntext", socktest.RST, "text", true},
		{"stream", "HTTP/1.1" + streamHead + "\r\n" + events, socktest.FIN, events, false},
		{"stream, HTTP/1.0", "HTTP/1.0" + streamHead + "\r\n" + events, socktest.FIN, events, false},
		{"stream, CRLF", "HTTP/1.1" + streamHead + "\r\n" + crlfEvents, socktest.FIN, crlfEvents, false},
		{"stream, empty", "HTTP/1.1" + streamHead + "\r\n", socktest.FIN, "", false},
		{"stream, reset", "HTTP/1.1" + streamHead + "\r\n" + events, socktest.RST, events, true},
		{"stream, cut", "HTTP/1.1" + streamHead + "\r\n" + events + "id: 2\nda", socktest.FIN, events, true},
		{"stream, cut, HTTP/1.0", "HTTP/1.0" + streamHead + "\r\n" + events + "id: 2\nda", socktest.FIN, events, true},
		{"stream, before the blank line", "HTTP/1.1" + streamHead + "\r\n" + events + "data: b\n", socktest.FIN, events, true},
		{"stream, before the blank line, CRLF", "HTTP/1.1" + streamHead + "\r\n" + crlfEvents + "data: b\r\n", socktest.FIN, crlfEvents, true},
		{"stream, cut, chunked", "HTTP/1.1" + streamHead + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + events + "da\r\n0\r\n\r\n", socktest.Open, events, true},
		{"stream, cut, with a length", "HTTP/1.1" + streamHead + "Content-Length: 17\r\n\r\n" + events + "da", socktest.Open, events, true},
	} {
		a := scriptedAgent(t, socktest.Respond(c.response, c.end))
		call := testCall(context.Background(), fleet.Digest{}, "")
		outcome := a.sendUpstream(call)
		passed, err := drain(t, call.stream)
		require.Equal(t, c.passed, passed, c.name)
		if c.broken {
			require.Equal(t, gate.ConnectionLost, outcome, c.name)
			require.ErrorIs(t, err, relay.ErrTruncated, c.name)
			continue
		}
		require.NoError(t, err, c.name)
		require.Contains(t, []gate.Outcome{gate.Completed, gate.Failed}, outcome, c.name)
	}
}

// scriptedAgent returns an agent whose upstream runs a script on each connection.
func scriptedAgent(t *testing.T, script socktest.Script) *Agent {
	a := New(&settings.Agent{
		UpstreamURL: "http://" + socktest.Serve(t, script), MaxCalls: 4, ProgressTimeout: testTimeout,
	}, log.NewNopLogger())
	a.plain.Store(true)
	return a
}

// drain returns the body on a stream and the error of its last part.
func drain(t *testing.T, s *relay.Stream) (string, error) {
	var body strings.Builder
	for {
		part, err := s.Take(context.Background())
		require.NoError(t, err)
		body.Write(part.Data)
		if part.End {
			return body.String(), part.Err
		}
	}
}

// Guards against a success with an empty or short body that is framed as whole: the
// upstream stops somewhere in the head of its answer and closes.
func TestHeadOfAnUpstreamThatBreaksOff(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Other: value\r\n\r\n"
	for n := range len(whole) {
		a := scriptedAgent(t, socktest.Respond(whole[:n], socktest.FIN))
		call := testCall(context.Background(), fleet.Digest{}, "")
		require.Equal(t, gate.ConnectionLost, a.sendUpstream(call), "after %q", whole[:n])
		passed, err := drain(t, call.stream)
		require.NoError(t, err)
		require.Contains(t, passed, `"outcome":"unknown"`)
	}
}

// Guards against an empty answer that counts as complete, and against a panic of the entry:
// a status line with a wrong digit states a status without content, or one that does not
// exist.
func TestAnswerWithAnImpossibleStatusIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "204", "205", "600", "999"} {
		a := scriptedAgent(t, socktest.Respond("HTTP/1.1 "+status+" OK\r\nContent-Length: 4\r\n\r\nbody", socktest.FIN))
		call := testCall(context.Background(), fleet.Digest{}, "")
		require.Equal(t, gate.ConnectionLost, a.sendUpstream(call), status)
		part, err := call.stream.Take(context.Background())
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, part.Head.Status, status)
	}
}
