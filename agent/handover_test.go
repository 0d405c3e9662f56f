package agent

import (
	"context"
	"encoding/json"
	"io"
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

// bound ends a test whose awaited event does not come.
const bound = 20 * time.Second

func testAgent(t *testing.T, upstream http.Handler, silent time.Duration) *Agent {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	a := New(&settings.Agent{
		UpstreamURL: server.URL, MaxCalls: 4, ProgressTimeout: silent,
	}, log.NewNopLogger())
	// The upstreams of these tests send no load reports.
	a.plain.Store(true)
	return a
}

func testGrant(ctx context.Context, root fleet.Digest, body string) grant {
	return grant{
		ctx: ctx, meta: &wire.Call{Request: "r", Root: root}, method: http.MethodPost, path: "/x",
		header: http.Header{}, body: []byte(body), stream: relay.NewStream(),
	}
}

// Guards against a call that is answered by whatever version the engine
// prefers, and against other changes of the caller's request.
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

// Guards against a body that an engine reads differently from the agent.
func FuzzPinModel(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`{"model":"a","model":"b","Model":"c"}`))
	f.Add([]byte(`{"model":{"x":1},"\u006dodel":"d"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		out, err := pinModel(data, "root")
		if err != nil {
			return
		}
		var fields map[string]any
		require.NoError(t, json.Unmarshal(out, &fields))
		require.Equal(t, "root", fields["model"])
		var folded struct{ Model any }
		require.NoError(t, json.Unmarshal(out, &folded))
		require.Equal(t, "root", folded.Model)
	})
}

// Guards against net/http sending a request with an Idempotency-Key again when
// a reused connection breaks after the upstream has read the request.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, body := range []string{"booking", ""} {
		var runs atomic.Int32
		a := testAgent(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if runs.Add(1) == 1 {
				return
			}
			panic(http.ErrAbortHandler)
		}), bound)
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		outcomes := []gate.Outcome{}
		for range 2 {
			g := testGrant(ctx, fleet.Digest{}, body)
			g.header.Set("Idempotency-Key", "k")
			outcomes = append(outcomes, a.handOver(g))
		}
		require.Equal(t, []gate.Outcome{gate.Completed, gate.ConnectionLost}, outcomes)
		require.EqualValues(t, 2, runs.Load(), "body %q", body)
	}
}

// Guards against a call that follows a redirect to another upstream.
func TestRedirectIsNotFollowed(t *testing.T) {
	var elsewhere atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	t.Cleanup(other.Close)
	a := testAgent(t, http.RedirectHandler(other.URL, http.StatusSeeOther), bound)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	g := testGrant(ctx, fleet.Digest{}, "booking")
	a.handOver(g)
	part, err := g.stream.Take(ctx)
	require.NoError(t, err)
	require.Equal(t, http.StatusSeeOther, part.Head.Status)
	require.Zero(t, elsewhere.Load())
}

// Guards against an engine that goes on generating for a caller that left.
func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	a := testAgent(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("token"))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-r.Context().Done()
		close(ended)
	}), bound)
	ctx, cancel := context.WithCancel(context.Background())
	outcome := make(chan gate.Outcome, 1)
	go func() { outcome <- a.handOver(testGrant(ctx, fleet.Digest{}, "")) }()
	await(t, begun)
	cancel()
	await(t, ended)
	require.Equal(t, gate.Failed, <-outcome)
}

func await(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(bound):
		t.Fatal("event did not come")
	}
}

// Guards against a call that waits for its whole deadline on a connection that
// went silent, before or after the head of the answer.
func TestSilentUpstreamEndsTheCall(t *testing.T) {
	for _, head := range []bool{false, true} {
		release := make(chan struct{})
		a := testAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if head {
				_ = http.NewResponseController(w).Flush()
			}
			<-release
		}), 50*time.Millisecond)
		g := testGrant(context.Background(), fleet.Digest{}, "")
		require.Equal(t, gate.Failed, a.handOver(g))
		part, err := g.stream.Take(context.Background())
		require.NoError(t, err)
		if head {
			require.Equal(t, http.StatusOK, part.Head.Status)
			part, err = g.stream.Take(context.Background())
			require.NoError(t, err)
			require.ErrorIs(t, part.Err, relay.ErrTruncated)
		} else {
			require.Equal(t, string(wire.Unknown), part.Head.Header.Get(wire.HeaderOutcome))
		}
		close(release)
	}
}

// Guards against "not run" where the request may have run, and against
// "unknown" where it certainly did not.
func TestOutcomeOfLostCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	cases := []struct {
		name    string
		upload  func(a *Agent)
		root    fleet.Digest
		answer  http.HandlerFunc
		outcome gate.Outcome
		said    wire.Outcome
	}{
		{name: "no connection", upload: func(a *Agent) {
			a.engine = New(&settings.Agent{UpstreamURL: "http://" + closed}, log.NewNopLogger()).engine
		}, outcome: gate.Unreachable, said: wire.NotRun},
		{name: "connection broken", answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			outcome: gate.ConnectionLost, said: wire.Unknown},
		{name: "unknown model", root: fleet.Digest{1}, answer: http.NotFound, outcome: gate.Failed, said: wire.NotRun},
		{name: "unknown path of a plain service", answer: http.NotFound, outcome: gate.Completed, said: wire.Ran},
	}
	for _, c := range cases {
		a := testAgent(t, c.answer, bound)
		if c.upload != nil {
			c.upload(a)
		}
		g := testGrant(context.Background(), c.root, "{}")
		require.Equal(t, c.outcome, a.handOver(g), c.name)
		part, err := g.stream.Take(context.Background())
		require.NoError(t, err)
		require.Equal(t, string(c.said), part.Head.Header.Get(wire.HeaderOutcome), c.name)
		load, ok := wire.GetLoad(part.Head.Header)
		require.True(t, ok, "load of %s: %v", c.name, load)
	}
}

// Guards against a refusal without the load, and against a count that is not
// given back when a call ends before its hand-over.
func TestRefusalCarriesLoadAndGivesBack(t *testing.T) {
	a := testAgent(t, http.NotFoundHandler(), bound)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = a.runGatekeeper(ctx)
		close(ended)
	}()
	r := httptest.NewRequest(http.MethodPost, wire.CallPath+"/x", strings.NewReader("{}"))
	require.NoError(t, wire.SetCall(r.Header, &wire.Call{Request: "r", Timeout: bound}))
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
	require.Equal(t, gate.Leaving, a.askAdmission(context.Background(), &wire.Call{}).reason, "gatekeeper has ended")
}
