package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// Guards against a response that reaches the wrong caller (G4). Here an agent
// labels two out of three responses with another request's ID.
func TestMismatchedResponseReachesNoCaller(t *testing.T) {
	var count atomic.Int64
	mixingAgent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if count.Add(1)%3 != 0 {
			w.Header().Set(wire.HeaderRequest, "another/1")
			w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
			_, _ = io.WriteString(w, "not yours")
			return
		}
		echo(w, r, meta)
	})
	e := startEntry(t, nil, mixingAgent, fakeAgent(t, echo))
	for i := range 20 {
		body := chat(fmt.Sprint(i))
		resp := e.post(chatPath, "counter", body)
		require.NoError(t, resp.err)
		if resp.status == http.StatusOK {
			require.Equal(t, body, resp.body)
			continue
		}
		require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome)
	}
}

// Guards against sending a non-repeatable request twice because of a refusal that
// belongs to another request (G5, G6).
func TestMismatchedRefusalIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		runs.Add(1)
		w.Header().Set(wire.HeaderRequest, "another/1")
		w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	e := startEntry(t, nil, agent, agent)
	resp := e.post(oncePath, "counter", "{}")
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a timeline in which an agent's events sort before the entry's
// events that caused them, or the entry's later events before the agent's.
func TestClockIsSentWithCallAndResponse(t *testing.T) {
	ahead := timeline.Stamp{Wall: time.Now().Add(20 * time.Second).UnixMilli()}
	calls := make(chan timeline.Stamp, 2)
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		calls <- meta.Clock
		wire.SetClock(w.Header(), ahead)
		echo(w, r, meta)
	})
	e := startEntry(t, nil, agent)
	require.Equal(t, http.StatusOK, e.post(oncePath, "counter", "{}").status)
	require.Equal(t, http.StatusOK, e.post(oncePath, "counter", "{}").status)
	require.True(t, (timeline.Stamp{}).Before(<-calls))
	require.True(t, ahead.Before(<-calls))
}

// Guards against a second run of a request that must not be repeated. Neither the
// entry nor the HTTP transport, which retries requests with an Idempotency-Key by
// itself, may send it again on another connection.
func TestOnceRequestIsNotResentAfterLostResponse(t *testing.T) {
	var runs atomic.Int64
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if strings.HasPrefix(r.URL.Path, wire.CallPath+oncePath) {
			runs.Add(1)
			crash(w)
			return
		}
		echo(w, r, meta)
	})
	e := startEntry(t, nil, agent)
	// The first request leaves an idle connection. If the second request fails on
	// that connection, the transport would retry it.
	require.Equal(t, http.StatusOK, e.post("/bookings/list", "counter", "{}").status)
	// net/http treats this header like Idempotency-Key. The test does not use
	// Idempotency-Key, since the entry routes such requests to the owner of the key.
	resp := e.post(oncePath, "counter", "{}", "X-Idempotency-Key", "k1")
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, wire.ProblemUnknown, problemOf(t, resp).Type)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a repeatable request that fails because one agent crashed.
func TestRepeatableRequestIsRetriedAtAnotherAgent(t *testing.T) {
	var crashes atomic.Int64
	crashingAgent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		crashes.Add(1)
		crash(w)
	})
	e := startEntry(t, nil, crashingAgent, fakeAgent(t, echo), "127.0.0.1:1")
	for i := range 20 {
		require.Equal(t, http.StatusOK, e.post(chatPath, "counter", chat(fmt.Sprint(i))).status)
	}
	require.Less(t, crashes.Load(), int64(20), "a failed agent is avoided")
}

// Guards against a request that crashes one upstream after the other. It must be
// blocked after 3 crashes, while other requests are still served.
func TestCrashingRequestIsBlocked(t *testing.T) {
	e, crashes := startPoisonable(t)
	for range 5 {
		require.NotEqual(t, http.StatusOK, e.post(chatPath, "counter", chat("poison")).status)
	}
	require.EqualValues(t, 3, crashes.Load())
	resp := e.post(chatPath, "counter", chat("poison"))
	require.Equal(t, wire.ProblemBlocked, problemOf(t, resp).Type)
	require.Equal(t, http.StatusOK, e.post(chatPath, "counter", chat("fine")).status)
}

// Guards against waiting for or reusing a stalled connection. The request must be
// retried on a new connection, and the late response must reach nobody.
func TestStalledConnectionIsReplaced(t *testing.T) {
	relay := newTCPRelay(t, fakeAgent(t, echo))
	e := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout = 200 * time.Millisecond }, relay.address)
	require.Equal(t, http.StatusOK, e.post(chatPath, "counter", chat("before")).status)
	relay.stall()
	for i := range 3 {
		body := chat(fmt.Sprint(i))
		resp := e.post(chatPath, "counter", body)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Equal(t, body, resp.body)
	}
	require.Equal(t, http.StatusOK, e.post(oncePath, "counter", "{}").status)
}

// Guards against resending a request that must not be repeated because its
// connection stalled.
func TestStalledOnceRequestHasUnknownOutcome(t *testing.T) {
	relay := newTCPRelay(t, fakeAgent(t, echo))
	e := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout = 200 * time.Millisecond }, relay.address)
	require.Equal(t, http.StatusOK, e.post(oncePath, "counter", "{}").status)
	relay.stall()
	resp := e.post(oncePath, "counter", "{}")
	require.Equal(t, wire.Unknown, problemOf(t, resp).Outcome)
}

// Guards against a truncated stream that a caller treats as complete, and against
// an incomplete event before the error event.
func TestTruncatedEventStreamEndsWithError(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: one\n\ndata: tw")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	e := startEntry(t, nil, agent)
	resp := e.post(chatPath, "counter", chat("x"))
	require.NoError(t, resp.err, "the stream ends cleanly")
	require.True(t, strings.HasPrefix(resp.body, "data: one\n\nevent: error\ndata: {"), resp.body)
	require.Contains(t, resp.body, string(wire.ProblemUnknown))
	require.NotContains(t, resp.body, "tw\n")
}

// Guards against a truncated response without events that a caller treats as
// complete.
func TestTruncatedPlainResponseIsAborted(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	e := startEntry(t, nil, agent)
	require.Error(t, e.post(chatPath, "counter", chat("x")).err)
}

// Guards against an agent that continues to work for a caller that has
// disconnected.
func TestCallerDisconnectCancelsCall(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	agent := fakeAgent(t, func(_ http.ResponseWriter, r *http.Request, _ *wire.Call) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	e := startEntry(t, nil, agent)
	ctx, cancel := context.WithCancel(e.ctx)
	go func() {
		<-started
		cancel()
	}()
	require.Error(t, e.postContext(ctx, chatPath, "counter", chat("x")).err)
	select {
	case <-ended:
	case <-e.ctx.Done():
		t.Fatal("the agent's request was not canceled")
	}
}

// Guards against callers that set internal headers, against customers' keys that
// reach upstreams, and against a trace header that is not forwarded.
func TestInternalHeadersAreRemoved(t *testing.T) {
	seen := make(chan http.Header, 1)
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		seen <- r.Header.Clone()
		w.Header().Set("Rattanspur-Internal", "1")
		wire.SetLoad(w.Header(), wire.Load{Limit: 4, InFlight: 1, Warm: true})
		echo(w, r, meta)
	})
	e := startEntry(t, nil, agent)
	trace := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	resp := e.post(chatPath, "counter", chat("x"), "traceparent", trace,
		wire.HeaderCall, `{"customer":"flood"}`, "Rattanspur-Other", "1", "Connection", "X-Hop", "X-Hop", "1")
	require.Equal(t, http.StatusOK, resp.status)
	h := <-seen
	require.Equal(t, trace, h.Get("Traceparent"))
	require.Equal(t, "Bearer "+peerKey, h.Get("Authorization"))
	require.Empty(t, h.Get("Rattanspur-Other"))
	require.Empty(t, h.Get("X-Hop"))
	meta, err := wire.GetCall(h)
	require.NoError(t, err)
	require.EqualValues(t, "counter", meta.Customer)
	require.Equal(t, meta.Request, resp.header.Get(headerRequestID))
	require.Empty(t, resp.header.Get("Rattanspur-Internal"))
	require.Empty(t, resp.header.Get(wire.HeaderLoad))
}

// Guards against a customer that starves another by sending too many calls, and
// against refusals without Retry-After.
func TestFloodDoesNotStarveAnotherCustomer(t *testing.T) {
	var mu sync.Mutex
	var order []string
	release := make(chan struct{})
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		mu.Lock()
		order = append(order, string(meta.Customer))
		mu.Unlock()
		select {
		case <-release:
		case <-r.Context().Done():
			return
		}
		// From now on, only one call may be in flight, so that calls reach the
		// agent in the order in which the entry sent them.
		wire.SetLoad(w.Header(), wire.Load{Limit: 1, InFlight: 1, Warm: true})
		echo(w, r, meta)
	})
	e := startEntry(t, nil, agent)
	var wait sync.WaitGroup
	statuses := make(chan response, 64)
	send := func(customer string, n int) {
		for i := range n {
			wait.Go(func() { statuses <- e.post(chatPath, customer, chat(fmt.Sprint(customer, i))) })
		}
	}
	// 4 calls run, 16 wait, and the rest of the flood is refused.
	send("flood", 30)
	refusals := 0
	for refusals < 10 {
		resp := <-statuses
		require.Equal(t, http.StatusTooManyRequests, resp.status)
		require.NotEmpty(t, resp.header.Get("Retry-After"))
		require.Equal(t, wire.ProblemOverload, problemOf(t, resp).Type)
		refusals++
	}
	send("counter", 4)
	e.awaitQueued(20)
	close(release)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, order, 24)
	served := 0
	for _, c := range order[4:12] {
		if c == "counter" {
			served++
		}
	}
	// With equal weights, every second call is one of the other customer.
	require.Equal(t, 4, served)
}

// Guards against models that are missing from the list, and against listing them
// without a valid key.
func TestModelsListsServicesAndProfiles(t *testing.T) {
	e := startEntry(t, nil, fakeAgent(t, echo))
	get := func(key string) (int, string) {
		req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, "http://"+e.address+"/v1/models", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := e.client.Do(req)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	status, body := get("counter")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"id":"advisory"`)
	require.Contains(t, body, `"id":"burst-1"`)
	status, _ = get("wrong")
	require.Equal(t, http.StatusUnauthorized, status)
}

// Guards against an entry that follows a redirect itself. The caller would then
// receive the response to another request.
func TestRedirectGoesToTheCaller(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	})
	e := startEntry(t, nil, agent)
	e.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp := e.post("/bookings/list", "counter", "{}")
	require.Equal(t, http.StatusSeeOther, resp.status)
	require.Equal(t, "/elsewhere", resp.header.Get("Location"))
}

// Guards against calls without a body that are changed when they are forwarded,
// and against treating the length in a response to HEAD as the length of a body.
func TestCallsWithoutBody(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		w.Header().Set("Seen", fmt.Sprint(r.Method, r.ContentLength, r.TransferEncoding))
		_, _ = io.WriteString(w, "entries")
	})
	e := startEntry(t, nil, agent)
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		req, err := http.NewRequestWithContext(e.ctx, method, "http://"+e.address+"/bookings/list", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer counter")
		resp, err := e.client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, method+"0 []", resp.Header.Get("Seen"))
		require.EqualValues(t, len("entries"), resp.ContentLength)
	}
}

// Guards against a request body or a response that exceeds its limit.
func TestBodyAndStreamLimits(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = w.Write(make([]byte, 4096))
	})
	e := startEntry(t, func(s *settings.Entry) { s.MaxBodyBytes, s.MaxStreamBytes = 1024, 2048 }, agent)
	require.Equal(t, http.StatusRequestEntityTooLarge, e.post(chatPath, "counter", strings.Repeat("x", 2048)).status)
	require.Error(t, e.post(chatPath, "counter", chat("x")).err)
}

// awaitQueued waits until n calls of the service "advisory" are queued.
func (e *testEntry) awaitQueued(n int) {
	require.Eventually(e.t, func() bool {
		req, _ := http.NewRequestWithContext(e.ctx, http.MethodGet, "http://"+e.address+wire.PathStatus, http.NoBody)
		wire.Keys{peerKey}.Authorize(req.Header)
		resp, err := e.client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(body), fmt.Sprintf(`"advisory":%d`, n))
	}, testTimeout, 5*time.Millisecond)
}

// tcpRelay forwards connections to a target. It can stall all open connections
// while new ones work.
type tcpRelay struct {
	address string
	target  string
	mu      sync.Mutex
	open    []chan struct{}
}

func newTCPRelay(t *testing.T, target string) *tcpRelay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := &tcpRelay{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r
}

func (r *tcpRelay) forward(in net.Conn) {
	stalled := make(chan struct{})
	r.mu.Lock()
	r.open = append(r.open, stalled)
	r.mu.Unlock()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	copyUntil := func(to, from net.Conn) {
		defer func() { _ = from.Close() }()
		defer func() { _ = to.Close() }()
		buffer := bufio.NewReader(from)
		for {
			b, err := buffer.ReadByte()
			if err != nil {
				return
			}
			select {
			case <-stalled:
				// Bytes are discarded, but the end of the connection still ends
				// the loop.
				continue
			default:
			}
			if _, err := to.Write([]byte{b}); err != nil {
				return
			}
		}
	}
	go copyUntil(in, out)
	copyUntil(out, in)
}

// stall makes the relay discard all further bytes of the open connections.
func (r *tcpRelay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		close(c)
	}
	r.open = nil
}
