package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
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

// Guards against an answer that is cut or refused because a sound upstream falls
// silent for a while and goes on: in a stream, before the head, in a plain body, in a
// refusal of its own, with one upstream, for a request that may not be repeated, and
// while its service is removed from the configuration.
func TestPausesOfASoundUpstream(t *testing.T) {
	var paused sync.WaitGroup
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		_, _ = io.Copy(io.Discard, r.Body)
		pause, err := time.ParseDuration(r.Header.Get("Pause"))
		if err != nil {
			t.Error(err)
		}
		sleep := func() {
			_ = http.NewResponseController(w).Flush()
			paused.Done()
			time.Sleep(pause)
		}
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		switch at := r.Header.Get("Pause-At"); at {
		case "head":
			paused.Done()
			time.Sleep(pause)
			_, _ = io.WriteString(w, "one two")
			return
		case "stream":
			w.Header().Set("Content-Type", "text/event-stream")
		case "refusal":
			w.Header().Set("Content-Length", "7")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "short body":
			w.Header().Set("Content-Length", "7")
		}
		_, _ = io.WriteString(w, "one")
		sleep()
		_, _ = io.WriteString(w, " two")
		if r.Header.Get("Pause-At") == "stream" {
			_, _ = io.WriteString(w, "\n\n")
		}
	})
	e := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout, s.ProgressTimeout = 20*time.Second, 10*time.Second }, agent)
	const perPause = 4
	kinds := []string{"head", "stream", "refusal", "short body"}
	pauses := []string{"1.3s", "1.7s"}
	responses := make([]response, len(kinds)*len(pauses))
	paused.Add(perPause)
	send := func(wait *sync.WaitGroup, i int, path string) {
		wait.Go(func() {
			responses[i] = e.post(path, "counter", "{}", "Pause", pauses[i/perPause], "Pause-At", kinds[i%perPause])
		})
	}
	var wait sync.WaitGroup
	for i := range perPause {
		send(&wait, i, oncePath)
	}
	paused.Wait()
	wait.Wait()
	paused.Add(perPause)
	for i := range perPause {
		send(&wait, perPause+i, "/bookings/list")
	}
	paused.Wait()
	e.config.Put("config", withoutServices(t))
	wait.Wait()
	for i, resp := range responses {
		name := pauses[i/perPause] + " in " + kinds[i%perPause]
		require.NoError(t, resp.err, name)
		require.Equal(t, "one two", strings.TrimSpace(resp.body), name)
	}
}

// withoutServices returns a later configuration without services.
func withoutServices(t *testing.T) []byte {
	var d config.Document
	require.NoError(t, json.Unmarshal(document(t), &d))
	d.Generation++
	d.Services = nil
	data, err := json.Marshal(d)
	require.NoError(t, err)
	return data
}
