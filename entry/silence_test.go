package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

// Guards against a call that is given up without waiting for capacity because its
// first attempt took longer than calls may wait.
func TestTimeOfAnAttemptIsNoWaitingTime(t *testing.T) {
	var attempts atomic.Int32
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if attempts.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(300 * time.Millisecond)
			crash(w)
			return
		}
		echo(w, r, meta)
	})
	e := startEntry(t, func(s *settings.Entry) { s.QueueWait = 200 * time.Millisecond }, agent)
	resp := e.post("/bookings/list", "counter", "{}")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
}

// Guards against a request for a token that is refused because the only agent falls
// silent for longer than another agent would be waited for, and then goes on.
func TestSilentAgentStillIssuesToken(t *testing.T) {
	const pause = tokenTimeout + 300*time.Millisecond
	var pauseOnce sync.Once
	resumed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.PathToken {
			http.NotFound(w, r)
			return
		}
		pauseOnce.Do(func() { time.AfterFunc(pause, func() { close(resumed) }) })
		<-resumed
		_ = json.NewEncoder(w).Encode(wire.TokenResponse{Token: "token"})
	}))
	t.Cleanup(server.Close)
	e := startEntry(t, nil, server.Listener.Addr().String())
	resp := e.post(tokensPath, "counter", `{"service":"bookings"}`)
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.Contains(t, resp.body, `"token"`)
}

// halfRefusal refuses a call and falls silent in the middle of the problem.
func halfRefusal(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"type":`)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against a call that waits for the rest of a refusal, whose head says that
// the call was not run, although it can be sent again.
func TestHalfRefusalDoesNotHoldTheCall(t *testing.T) {
	var calls atomic.Int32
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if calls.Add(1) == 1 {
			halfRefusal(w, r)
			return
		}
		echo(w, r, meta)
	})
	e := startEntry(t, nil, agent)
	resp := e.post(oncePath, "counter", "{}")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
}

// Guards against a call with a token that gets an unknown outcome, because the rest
// of a refusal is missing whose head says that the call was not run.
func TestHalfRefusalOfABoundCallIsNotRun(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) { halfRefusal(w, r) })
	e := startEntry(t, nil, agent)
	p := problemOf(t, e.post(oncePath, "counter", "{}", wire.HeaderToken, tokenOf(t, "bookings-0")))
	require.Equal(t, wire.NotRun, p.Outcome)
}

// Guards against a call that is ended at an upstream which is silent and then goes on,
// although it can go nowhere else: it may not be sent again, or there is no other
// upstream.
func TestSilentUpstreamAnswersWhatCanGoNowhereElse(t *testing.T) {
	const timeout = 2 * time.Second
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if meta.Attempt == 1 {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(timeout + 300*time.Millisecond)
			w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
			_, _ = w.Write(body)
			return
		}
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = io.WriteString(w, "sent again")
	})
	e := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout = timeout }, agent)
	paths := []string{oncePath, "/bookings/list", chatPath}
	responses := make([]response, len(paths))
	var wait sync.WaitGroup
	for i, path := range paths {
		wait.Go(func() { responses[i] = e.post(path, "counter", chat("x")) })
	}
	wait.Wait()
	for i, resp := range responses {
		require.NoError(t, resp.err, paths[i])
		require.Equal(t, http.StatusOK, resp.status, "%s: %s", paths[i], resp.body)
		require.Equal(t, chat("x"), resp.body, paths[i])
	}
}

// Guards against a call that stays at a silent upstream although another one has
// capacity, and against a call that is sent elsewhere while its response arrives.
func TestCallLeavesASilentUpstreamIfAnotherIsFree(t *testing.T) {
	var first atomic.Bool
	agent := func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if !first.Swap(true) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		echo(w, r, meta)
	}
	e := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout = 200 * time.Millisecond }, fakeAgent(t, agent), fakeAgent(t, agent))
	resp := e.post("/bookings/list", "counter", "moved")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.Equal(t, "moved", resp.body)
	e.awaitMetric(`rattanspur_entry_attempts_total{end="silent"} 1`)
}
