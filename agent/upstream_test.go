package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

// testTimeout is how long a test waits for an event.
const testTimeout = 20 * time.Second

func testAgent(t *testing.T, upstream http.Handler, progressTimeout time.Duration) *Agent {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	a := New(&settings.Agent{
		UpstreamURL: server.URL, MaxCalls: 4, ProgressTimeout: progressTimeout,
	}, log.NewNopLogger())
	// The upstreams of these tests serve no load reports.
	a.plain.Store(true)
	return a
}

func testCall(ctx context.Context, root fleet.Digest, body string) admittedCall {
	return admittedCall{
		ctx: ctx, meta: &wire.Call{Request: "r", Root: root}, method: http.MethodPost, path: "/x",
		header: http.Header{}, body: []byte(body), stream: relay.NewStream(),
	}
}

// Guards against a call that is answered by another version than requested, and
// against other changes to the caller's request.
func TestPinModelSetsOnlyTheModel(t *testing.T) {
	out, err := pinModel([]byte(`{"model":"m","n":1.50,"messages":[{"content":"<a> & é"}],"big":12345678901234567890}`), "root")
	require.NoError(t, err)
	require.Contains(t, string(out), `"model":"root"`)
	require.Contains(t, string(out), `"content":"<a> & é"`)
	require.Contains(t, string(out), "12345678901234567890")
	require.Contains(t, string(out), "1.50")
	for _, body := range []string{"", "null", "[]", `"text"`, `{"model":`} {
		_, err := pinModel([]byte(body), "root")
		require.Error(t, err, body)
	}
}

// Guards against a body in which an engine finds another model name than the
// agent set.
func FuzzPinModel(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`{"model":"a","model":"b","Model":"c"}`))
	f.Add([]byte(`{"model":{"x":1},"\u006dodel":"d"}`))
	f.Add([]byte(" {\"a\\\"}\" : [ {\"b\":\"],}\"} , 1 ] ,\t\"MODEL\":[{}],\"c\":{\"model\":\"x\"} }\n"))
	f.Add([]byte(`{}`))
	f.Add([]byte("{}\v"))
	f.Add([]byte(`{"":1E1000}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		out, err := pinModel(data, "root")
		if err != nil {
			return
		}
		fields := decodeFields(t, out)
		require.Equal(t, "root", fields["model"])
		var folded struct{ Model any }
		require.NoError(t, json.Unmarshal(out, &folded))
		require.Equal(t, "root", folded.Model)
		expected := decodeFields(t, data)
		maps.DeleteFunc(expected, func(key string, _ any) bool { return strings.EqualFold(key, "model") })
		expected["model"] = "root"
		require.Equal(t, expected, fields)
		require.Less(t, cap(out), len(data)+pinnedNameBytes)
	})
}

// decodeFields decodes a JSON object. Numbers are compared as text, since a valid number
// may be too large for a float.
func decodeFields(t *testing.T, data []byte) (fields map[string]any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	require.NoError(t, d.Decode(&fields))
	return fields
}

// Guards against net/http resending a request with an Idempotency-Key when a
// reused connection breaks after the upstream has read the request.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, body := range []string{"booking", ""} {
		var runs atomic.Int32
		a := testAgent(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if runs.Add(1) == 1 {
				return
			}
			panic(http.ErrAbortHandler)
		}), testTimeout)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		outcomes := []gate.Outcome{}
		for range 2 {
			call := testCall(ctx, fleet.Digest{}, body)
			call.header.Set("Idempotency-Key", "k")
			outcomes = append(outcomes, a.sendUpstream(call))
		}
		require.Equal(t, []gate.Outcome{gate.Completed, gate.ConnectionLost}, outcomes)
		require.EqualValues(t, 2, runs.Load(), "body %q", body)
	}
}

// Guards against a call that follows a redirect to another upstream.
func TestRedirectIsNotFollowed(t *testing.T) {
	var otherRequests atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { otherRequests.Add(1) }))
	t.Cleanup(other.Close)
	a := testAgent(t, http.RedirectHandler(other.URL, http.StatusSeeOther), testTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	call := testCall(ctx, fleet.Digest{}, "booking")
	a.sendUpstream(call)
	part, err := call.stream.Take(ctx)
	require.NoError(t, err)
	require.Equal(t, http.StatusSeeOther, part.Head.Status)
	require.Zero(t, otherRequests.Load())
}

// Guards against an engine that continues to generate for a disconnected caller.
func TestDisconnectedCallerCancelsUpstream(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	a := testAgent(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("token"))
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
		close(ended)
	}), testTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	outcome := make(chan gate.Outcome, 1)
	go func() { outcome <- a.sendUpstream(testCall(ctx, fleet.Digest{}, "")) }()
	await(t, started)
	cancel()
	await(t, ended)
	require.Equal(t, gate.Failed, <-outcome)
}

func await(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the event")
	}
}

// Guards against a call that waits for its whole deadline on an upstream that
// sends nothing more, before or after the head of the response.
func TestStalledUpstreamEndsTheCall(t *testing.T) {
	for _, head := range []bool{false, true} {
		release := make(chan struct{})
		a := testAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if head {
				_ = http.NewResponseController(w).Flush()
			}
			<-release
		}), 50*time.Millisecond)
		call := testCall(context.Background(), fleet.Digest{}, "")
		require.Equal(t, gate.Failed, a.sendUpstream(call))
		part, err := call.stream.Take(context.Background())
		require.NoError(t, err)
		if head {
			require.Equal(t, http.StatusOK, part.Head.Status)
			part, err = call.stream.Take(context.Background())
			require.NoError(t, err)
			require.ErrorIs(t, part.Err, relay.ErrTruncated)
		} else {
			require.Equal(t, string(wire.Unknown), part.Head.Header.Get(wire.HeaderOutcome))
		}
		close(release)
	}
}

// Guards against the outcome "not run" for a request that may have run, and
// against "unknown" for one that certainly did not.
func TestReportedOutcome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	cases := []struct {
		name     string
		setup    func(a *Agent)
		root     fleet.Digest
		answer   http.HandlerFunc
		outcome  gate.Outcome
		reported wire.Outcome
	}{
		{name: "no connection", setup: func(a *Agent) {
			a.engine = New(&settings.Agent{UpstreamURL: "http://" + closed}, log.NewNopLogger()).engine
		}, outcome: gate.Unreachable, reported: wire.NotRun},
		{name: "connection broken", answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			outcome: gate.ConnectionLost, reported: wire.Unknown},
		{name: "unknown model", root: fleet.Digest{1}, answer: http.NotFound, outcome: gate.Failed, reported: wire.NotRun},
		{name: "unknown path of a plain service", answer: http.NotFound, outcome: gate.Completed, reported: wire.Ran},
	}
	for _, c := range cases {
		a := testAgent(t, c.answer, testTimeout)
		if c.setup != nil {
			c.setup(a)
		}
		call := testCall(context.Background(), c.root, "{}")
		require.Equal(t, c.outcome, a.sendUpstream(call), c.name)
		part, err := call.stream.Take(context.Background())
		require.NoError(t, err)
		require.Equal(t, string(c.reported), part.Head.Header.Get(wire.HeaderOutcome), c.name)
		load, ok := wire.GetLoad(part.Head.Header)
		require.True(t, ok, "load of %s: %v", c.name, load)
	}
}

// Guards against a refusal without the load header, and against a ticket that is
// not released when a call ends before it is sent to the upstream.
func TestRefusalCarriesLoadAndReleasesTicket(t *testing.T) {
	a := testAgent(t, http.NotFoundHandler(), testTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = a.runGateController(ctx)
		close(ended)
	}()
	r := httptest.NewRequest(http.MethodPost, wire.CallPath+"/x", strings.NewReader("{}"))
	require.NoError(t, wire.SetCall(r.Header, &wire.Call{Request: "r", Timeout: testTimeout}))
	w := httptest.NewRecorder()
	a.serveCall(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	_, ok := wire.GetLoad(w.Header())
	require.True(t, ok)
	var problem wire.Problem
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &problem))
	require.Equal(t, string(gate.NoConfig), problem.Detail)
	cancel()
	await(t, ended)
	require.Equal(t, gate.Leaving, a.requestAdmission(context.Background(), &wire.Call{}).reason, "gate controller has ended")
}
