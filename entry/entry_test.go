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

// Guards against an answer that reaches another caller (G4): every agent mixes
// up its answers, and no caller may get one that is not its own.
func TestCrossedAnswersReachNoCaller(t *testing.T) {
	var count atomic.Int64
	mixed := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if count.Add(1)%3 != 0 {
			w.Header().Set(wire.HeaderRequest, "another/1")
			w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
			_, _ = io.WriteString(w, "not yours")
			return
		}
		ran(w, r, meta)
	})
	b := startEntry(t, nil, mixed, fakeAgent(t, ran))
	for i := range 20 {
		body := chat(fmt.Sprint(i))
		a := b.post(chatPath, "counter", body)
		require.NoError(t, a.err)
		if a.status == http.StatusOK {
			require.Equal(t, body, a.body)
			continue
		}
		require.Equal(t, wire.Unknown, problemOf(t, a).Outcome)
	}
}

// Guards against a refusal meant for another request that makes the entry send
// a request twice that may not be repeated (G5, G6).
func TestCrossedRefusalIsNotBelieved(t *testing.T) {
	var runs atomic.Int64
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		runs.Add(1)
		w.Header().Set(wire.HeaderRequest, "another/1")
		w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b := startEntry(t, nil, agent, agent)
	a := b.post(oncePath, "counter", "{}")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, wire.Unknown, problemOf(t, a).Outcome)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a timeline on which an agent's events sort before the entry's
// events that caused them, or the entry's later events before the agent's.
func TestClockTravelsWithCallAndAnswer(t *testing.T) {
	ahead := timeline.Stamp{Wall: time.Now().Add(20 * time.Second).UnixMilli()}
	calls := make(chan timeline.Stamp, 2)
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		calls <- meta.Clock
		wire.SetClock(w.Header(), ahead)
		ran(w, r, meta)
	})
	b := startEntry(t, nil, agent)
	require.Equal(t, http.StatusOK, b.post(oncePath, "counter", "{}").status)
	require.Equal(t, http.StatusOK, b.post(oncePath, "counter", "{}").status)
	require.True(t, (timeline.Stamp{}).Before(<-calls))
	require.True(t, ahead.Before(<-calls))
}

// Guards against a second run of a request that may not be repeated: neither
// the entry nor the HTTP transport, which repeats requests with an
// Idempotency-Key by itself, may send it again on another connection.
func TestLostOnceRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if strings.HasPrefix(r.URL.Path, wire.CallPath+oncePath) {
			runs.Add(1)
			crash(w)
			return
		}
		ran(w, r, meta)
	})
	b := startEntry(t, nil, agent)
	// The first request leaves an idle connection, on which the transport
	// would repeat the second one.
	require.Equal(t, http.StatusOK, b.post("/bookings/list", "counter", "{}").status)
	// net/http takes this header for the same promise as Idempotency-Key,
	// which the entry routes to the owner of the key.
	a := b.post(oncePath, "counter", "{}", "X-Idempotency-Key", "k1")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, wire.ProblemUnknown, problemOf(t, a).Type)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a repeatable request that fails because one agent died.
func TestRepeatableRequestMovesOn(t *testing.T) {
	var crashes atomic.Int64
	dying := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		crashes.Add(1)
		crash(w)
	})
	b := startEntry(t, nil, dying, fakeAgent(t, ran), "127.0.0.1:1")
	for i := range 20 {
		require.Equal(t, http.StatusOK, b.post(chatPath, "counter", chat(fmt.Sprint(i))).status)
	}
	require.Less(t, crashes.Load(), int64(20), "a failed agent is avoided")
}

// Guards against a request that crashes upstream after upstream: it is stopped
// after 3 crashes, and others go on.
func TestCrashingRequestIsBlocked(t *testing.T) {
	var crashes atomic.Int64
	agent := func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "poison") {
			crashes.Add(1)
			crash(w)
			return
		}
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = w.Write([]byte(meta.Request))
	}
	b := startEntry(t, nil, fakeAgent(t, agent), fakeAgent(t, agent), fakeAgent(t, agent), fakeAgent(t, agent))
	for range 5 {
		require.NotEqual(t, http.StatusOK, b.post(chatPath, "counter", chat("poison")).status)
	}
	require.EqualValues(t, 3, crashes.Load())
	a := b.post(chatPath, "counter", chat("poison"))
	require.Equal(t, wire.ProblemBlocked, problemOf(t, a).Type)
	require.Equal(t, http.StatusOK, b.post(chatPath, "counter", chat("fine")).status)
}

// Guards against a connection that went silent and is waited for or reused:
// the request is repeated on a fresh one, and the late answer reaches nobody.
func TestSilentConnectionIsReplaced(t *testing.T) {
	relay := newRelay(t, fakeAgent(t, ran))
	b := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout = 200 * time.Millisecond }, relay.address)
	require.Equal(t, http.StatusOK, b.post(chatPath, "counter", chat("before")).status)
	relay.silence()
	for i := range 3 {
		body := chat(fmt.Sprint(i))
		a := b.post(chatPath, "counter", body)
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Equal(t, body, a.body)
	}
	require.Equal(t, http.StatusOK, b.post(oncePath, "counter", "{}").status)
}

// Guards against a request that may not be repeated and is sent again because
// its connection went silent.
func TestSilentOnceRequestEndsUnknown(t *testing.T) {
	relay := newRelay(t, fakeAgent(t, ran))
	b := startEntry(t, func(s *settings.Entry) { s.FirstByteTimeout = 200 * time.Millisecond }, relay.address)
	require.Equal(t, http.StatusOK, b.post(oncePath, "counter", "{}").status)
	relay.silence()
	a := b.post(oncePath, "counter", "{}")
	require.Equal(t, wire.Unknown, problemOf(t, a).Outcome)
}

// Guards against a cut stream that a caller takes for a whole one, and against
// half an event before the error event.
func TestCutEventStreamEndsWithError(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: one\n\ndata: tw")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	b := startEntry(t, nil, agent)
	a := b.post(chatPath, "counter", chat("x"))
	require.NoError(t, a.err, "the stream ends cleanly")
	require.True(t, strings.HasPrefix(a.body, "data: one\n\nevent: error\ndata: {"), a.body)
	require.Contains(t, a.body, string(wire.ProblemUnknown))
	require.NotContains(t, a.body, "tw\n")
}

// Guards against a cut answer without events that a caller takes for a whole one.
func TestCutPlainAnswerIsAborted(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	b := startEntry(t, nil, agent)
	require.Error(t, b.post(chatPath, "counter", chat("x")).err)
}

// Guards against work that goes on for a caller that left.
func TestLeavingCallerCancelsTheCall(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	agent := fakeAgent(t, func(_ http.ResponseWriter, r *http.Request, _ *wire.Call) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	b := startEntry(t, nil, agent)
	ctx, cancel := context.WithCancel(b.ctx)
	go func() {
		<-started
		cancel()
	}()
	require.Error(t, b.postContext(ctx, chatPath, "counter", chat("x")).err)
	select {
	case <-ended:
	case <-b.ctx.Done():
		t.Fatal("the agent's request was not cancelled")
	}
}

// Guards against callers that set headers of the system, against keys of
// customers that reach upstreams, and against a lost trace.
func TestHeadersAtTheBoundary(t *testing.T) {
	seen := make(chan http.Header, 1)
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		seen <- r.Header.Clone()
		w.Header().Set("Rattanspur-Internal", "1")
		wire.SetLoad(w.Header(), wire.Load{Limit: 4, InFlight: 1, Warm: true})
		ran(w, r, meta)
	})
	b := startEntry(t, nil, agent)
	trace := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	a := b.post(chatPath, "counter", chat("x"), "traceparent", trace,
		wire.HeaderCall, `{"customer":"flood"}`, "Rattanspur-Other", "1", "Connection", "X-Hop", "X-Hop", "1")
	require.Equal(t, http.StatusOK, a.status)
	h := <-seen
	require.Equal(t, trace, h.Get("Traceparent"))
	require.Equal(t, "Bearer "+peerKey, h.Get("Authorization"))
	require.Empty(t, h.Get("Rattanspur-Other"))
	require.Empty(t, h.Get("X-Hop"))
	meta, err := wire.GetCall(h)
	require.NoError(t, err)
	require.EqualValues(t, "counter", meta.Customer)
	require.Equal(t, meta.Request, a.header.Get(headerRequestID))
	require.Empty(t, a.header.Get("Rattanspur-Internal"))
	require.Empty(t, a.header.Get(wire.HeaderLoad))
}

// Guards against a flood by one customer that starves another, and against
// refusals without Retry-After.
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
		// One call at a time from now on, so that calls reach the agent in the
		// order in which the entry sent them.
		wire.SetLoad(w.Header(), wire.Load{Limit: 1, InFlight: 1, Warm: true})
		ran(w, r, meta)
	})
	b := startEntry(t, nil, agent)
	var wait sync.WaitGroup
	statuses := make(chan answer, 64)
	send := func(customer string, n int) {
		for i := range n {
			wait.Go(func() { statuses <- b.post(chatPath, customer, chat(fmt.Sprint(customer, i))) })
		}
	}
	// 4 calls run, 16 wait, and the rest of the flood is refused.
	send("flood", 30)
	refusals := 0
	for refusals < 10 {
		a := <-statuses
		require.Equal(t, http.StatusTooManyRequests, a.status)
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Equal(t, wire.ProblemOverload, problemOf(t, a).Type)
		refusals++
	}
	send("counter", 4)
	b.awaitWaiting(20)
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
	// Equal weights give the other customer every second place.
	require.Equal(t, 4, served)
}

// Guards against models that callers cannot list, and against a list without a key.
func TestModelsListsServicesAndProfiles(t *testing.T) {
	b := startEntry(t, nil, fakeAgent(t, ran))
	get := func(key string) (int, string) {
		req, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+b.address+"/v1/models", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := b.client.Do(req)
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

// Guards against a redirect that the entry follows itself: the caller would
// get the answer to another request.
func TestRedirectGoesToTheCaller(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	})
	b := startEntry(t, nil, agent)
	b.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	a := b.post("/bookings/list", "counter", "{}")
	require.Equal(t, http.StatusSeeOther, a.status)
	require.Equal(t, "/elsewhere", a.header.Get("Location"))
}

// Guards against calls without a body that are changed on the way, and against
// the length of an answer to HEAD that is taken for the length of a body.
func TestCallsWithoutBody(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		w.Header().Set("Seen", fmt.Sprint(r.Method, r.ContentLength, r.TransferEncoding))
		_, _ = io.WriteString(w, "entries")
	})
	b := startEntry(t, nil, agent)
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		req, err := http.NewRequestWithContext(b.ctx, method, "http://"+b.address+"/bookings/list", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer counter")
		resp, err := b.client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, method+"0 []", resp.Header.Get("Seen"))
		require.EqualValues(t, len("entries"), resp.ContentLength)
	}
}

// Guards against a body or a response beyond the limits.
func TestBodyAndStreamLimits(t *testing.T) {
	agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = w.Write(make([]byte, 4096))
	})
	b := startEntry(t, func(s *settings.Entry) { s.MaxBodyBytes, s.MaxStreamBytes = 1024, 2048 }, agent)
	require.Equal(t, http.StatusRequestEntityTooLarge, b.post(chatPath, "counter", strings.Repeat("x", 2048)).status)
	require.Error(t, b.post(chatPath, "counter", chat("x")).err)
}

// awaitWaiting waits until that many calls are in the queues.
func (b *bench) awaitWaiting(n int) {
	require.Eventually(b.t, func() bool {
		req, _ := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+b.address+wire.PathStatus, http.NoBody)
		wire.Keys{peerKey}.Authorize(req.Header)
		resp, err := b.client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(body), fmt.Sprintf(`"advisory":%d`, n))
	}, testWait, 5*time.Millisecond)
}

// tcpRelay passes connections on and can stop to pass the bytes of those that
// are open, while new ones work.
type tcpRelay struct {
	address string
	target  string
	mu      sync.Mutex
	open    []chan struct{}
}

func newRelay(t *testing.T, target string) *tcpRelay {
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
			go r.pass(c)
		}
	}()
	return r
}

func (r *tcpRelay) pass(in net.Conn) {
	silent := make(chan struct{})
	r.mu.Lock()
	r.open = append(r.open, silent)
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
			case <-silent:
				// Bytes are discarded; only the end of the connection is noticed.
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

// silence stops the bytes on all open connections.
func (r *tcpRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		close(c)
	}
	r.open = nil
}
