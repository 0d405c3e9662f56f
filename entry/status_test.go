package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
	"rattanspur.example/lib/wire"
)

// scriptedAgent starts an agent that answers each call with a response of its own and
// returns its address. respond returns all bytes after "HTTP/1.1"; header has the lines
// that name the attempt.
func scriptedAgent(t *testing.T, respond func(meta *wire.Call, header string) string) string {
	return socktest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := socktest.ReadRequest(r)
			if err != nil {
				return
			}
			meta, err := wire.GetCall(req.Header)
			if err != nil {
				return
			}
			header := fmt.Sprintf("%s: %s\r\n", wire.HeaderRequest, meta.AttemptID())
			if _, err := io.WriteString(c, "HTTP/1.1"+respond(meta, header)); err != nil {
				return
			}
		}
	})
}

// spoiltAnswer is the response of an agent with a spoilt status line.
type spoiltAnswer struct {
	name, status, contentType string
	outcome                   wire.Outcome
}

// requireUnknown sends a call that the agent of a test answers with a spoilt status, and
// fails unless the caller gets the problem that the outcome is unknown after a number of
// attempts.
func requireUnknown(t *testing.T, answers []spoiltAnswer, attempts int32, headers ...string) {
	var current atomic.Pointer[spoiltAnswer]
	var received atomic.Int32
	agent := scriptedAgent(t, func(_ *wire.Call, header string) string {
		received.Add(1)
		a := current.Load()
		return fmt.Sprintf("%s\r\n%s%s: %s\r\nContent-Type: %s\r\nContent-Length: 9\r\n\r\ndata: a\n\n",
			a.status, header, wire.HeaderOutcome, a.outcome, a.contentType)
	})
	e := startEntry(t, nil, agent)
	for _, a := range answers {
		name := fmt.Sprintf("%s with %q", a.name, a.status)
		current.Store(&a)
		received.Store(0)
		resp := e.post(oncePath, "counter", name, headers...)
		require.NoError(t, resp.err, name)
		require.Equal(t, http.StatusBadGateway, resp.status, name)
		require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome, name)
		require.Equal(t, attempts, received.Load(), name)
	}
}

// Guards against a caller that gets a status which no agent sent, or an empty response in
// place of one with content, against a closed connection in place of a problem, and against
// a second run of the call: an agent answers or refuses with a spoilt status line.
func TestResponseWithAnInvalidStatusIsLost(t *testing.T) {
	var answers []spoiltAnswer
	for _, status := range socktest.InvalidStatuses() {
		answers = append(answers,
			spoiltAnswer{"answer", status, "text/plain", wire.Ran},
			spoiltAnswer{"event stream", status, "text/event-stream", wire.Ran},
			spoiltAnswer{"refusal", status, "application/problem+json", wire.NotRun},
		)
	}
	requireUnknown(t, answers, 1)
}

// Guards against the same for a call with a token, which has another client. It is sent
// again, since its agent runs it once. The delays before that leave time for a few statuses
// only; net/http itself rejects the malformed ones.
func TestInvalidStatusOfACallWithATokenIsLost(t *testing.T) {
	var answers []spoiltAnswer
	for _, status := range []string{" 000 OK", " 101 Switching Protocols", " 204 No Content", " 304 Not Modified", " 600 OK", " 0200 OK"} {
		answers = append(answers,
			spoiltAnswer{"answer", status, "text/plain", wire.Ran},
			spoiltAnswer{"refusal", status, "application/problem+json", wire.NotRun},
		)
	}
	requireUnknown(t, answers, 1+maxResends, wire.HeaderToken, tokenOf(t, "bookings-0"))
}

// Guards against a repeatable call that fails because one response had a spoilt status.
func TestCallIsRepeatedAfterAnInvalidStatus(t *testing.T) {
	for _, line := range []string{" 000 OK", " 999 OK", " 204 No Content"} {
		t.Run(line, func(t *testing.T) {
			agent := scriptedAgent(t, func(meta *wire.Call, header string) string {
				first := line
				if meta.Attempt > 1 {
					first = " 200"
				}
				return fmt.Sprintf("%s\r\n%s%s: %s\r\nContent-Length: 4\r\n\r\nbody", first, header, wire.HeaderOutcome, wire.Ran)
			})
			e := startEntry(t, nil, agent)
			resp := e.post(chatPath, "counter", chat("x"))
			require.NoError(t, resp.err)
			require.Equal(t, http.StatusOK, resp.status, resp.body)
			require.Equal(t, "body", resp.body)
		})
	}
}

// Guards against an agent that holds a call, and memory, with interim responses without
// end.
func TestInterimResponsesOfAnAgentWithoutEnd(t *testing.T) {
	agent := socktest.Serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, err := socktest.ReadRequest(r)
		for err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		}
	})
	e := startEntry(t, nil, agent)
	for _, headers := range [][]string{nil, {wire.HeaderToken, tokenOf(t, "bookings-0")}} {
		resp := e.post(oncePath, "counter", "{}", headers...)
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusBadGateway, resp.status)
		require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome)
	}
}

// Guards against a call whose response has a status line without a reason, which HTTP/1.1
// allows, and that counts as failed.
func TestStatusWithoutReason(t *testing.T) {
	for _, line := range []string{" 201", " 201 "} {
		t.Run(line, func(t *testing.T) {
			agent := scriptedAgent(t, func(_ *wire.Call, header string) string {
				return fmt.Sprintf("%s\r\n%s%s: %s\r\nContent-Length: 4\r\n\r\nbody", line, header, wire.HeaderOutcome, wire.Ran)
			})
			e := startEntry(t, nil, agent)
			for _, headers := range [][]string{nil, {wire.HeaderToken, tokenOf(t, "bookings-0")}} {
				resp := e.post(oncePath, "counter", "{}", headers...)
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusCreated, resp.status, resp.body)
			}
		})
	}
}

// Guards against a caller that gets the status of a success with the problem that its call
// was not run, or may have been run: the status of an agent's refusal is spoilt.
func TestProblemOfAnAgentIsNoSuccess(t *testing.T) {
	for _, outcome := range []wire.Outcome{wire.NotRun, wire.Unknown, ""} {
		t.Run(string(outcome), func(t *testing.T) {
			agent := scriptedAgent(t, func(_ *wire.Call, header string) string {
				body := fmt.Sprintf(`{"outcome":%q}`, outcome)
				return fmt.Sprintf(" 200 OK\r\n%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", header, wire.HeaderOutcome, outcome, len(body), body)
			})
			e := startEntry(t, nil, agent)
			for _, headers := range [][]string{nil, {wire.HeaderToken, tokenOf(t, "bookings-0")}} {
				resp := e.post(oncePath, "counter", "{}", headers...)
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusBadGateway, resp.status, resp.body)
				require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome)
			}
		})
	}
}
