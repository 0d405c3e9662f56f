package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/platform"
)

// testTimeout is the maximum time that a test waits for a condition.
const testTimeout = 30 * time.Second

// fakeSource is an in-memory store of published items. Reads fail while down is
// set.
type fakeSource struct {
	mu       sync.Mutex
	down     bool
	revision published.Revision
	items    map[string]published.Change
	changed  chan struct{}
}

func newSource() *fakeSource {
	return &fakeSource{items: map[string]published.Change{}, changed: make(chan struct{})}
}

// put publishes an item, or removes it if the text is empty. It returns the revision.
func (s *fakeSource) put(key, text string) published.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c, err := platform.Codec{}.Published(key, s.revision, text == "", []byte(text))
	if err != nil {
		panic(err)
	}
	s.items[key] = c
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *fakeSource) batch(after published.Revision) (published.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return published.Batch{}, net.ErrClosed
	}
	b := published.Batch{Revision: s.revision}
	for _, c := range s.items {
		if c.Revision > after {
			b.Changes = append(b.Changes, c)
		}
	}
	return b, nil
}

// Snapshot implements watcher.Source.
func (s *fakeSource) Snapshot(context.Context, string, bool) (published.Batch, error) {
	return s.batch(0)
}

// Watch implements watcher.Source.
func (s *fakeSource) Watch(ctx context.Context, _ string, after published.Revision, wait time.Duration) (published.Batch, error) {
	s.mu.Lock()
	changed, newer := s.changed, s.revision > after
	s.mu.Unlock()
	if !newer {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return published.Batch{}, ctx.Err()
		}
	}
	return s.batch(after)
}

const configJSON = `{"version":1,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","route_kind":"streaming","timeout_ms":20000,"goal_ms":5000,"gap_goal_ms":5000,"service":"engine","max_attempts":2,"resumable":true},
 {"name":"once","host":"h","prefix":"/once/","route_kind":"unsafe","timeout_ms":20000,"goal_ms":5000,"service":"desk","max_attempts":2},
 {"name":"read","host":"h","prefix":"/read/","route_kind":"safe","timeout_ms":20000,"goal_ms":5000,"service":"desk","max_attempts":2},
 {"name":"brief","host":"h","prefix":"/brief/","route_kind":"unsafe","timeout_ms":50,"goal_ms":50,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk"},{"name":"engine","engine":{"slots":4,"layers":2,"models":[{"name":"m"}]}}],
 "limits":{"max_body_bytes":1000},"tenants":[{"name":"customer","api_keys":["key"]}]}`

// upstream starts a server that stands in for an upstream of a service and
// publishes it.
func (s *fakeSource) upstream(t *testing.T, id, service string, h http.HandlerFunc) {
	s.upstreamWithVersion(t, id, service, 1, h)
}

// upstreamWithVersion does the same for an upstream with a version of the weights.
func (s *fakeSource) upstreamWithVersion(t *testing.T, id, service string, version int, h http.HandlerFunc) {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.publish(id, service, server.Listener.Addr().String(), version)
}

// publish publishes an upstream of a service with a version of the weights.
func (s *fakeSource) publish(id, service, address string, version int) {
	s.put("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","slots":4,"state":"ready","born":1,
	 "models":[{"name":"m","version":%d}],"layers":{"from":0,"to":2,"version":%d}}`, service, address, version, version))
}

// testGateway is a running gateway under test. done receives the result of Run.
type testGateway struct {
	t       *testing.T
	gateway *Gateway
	stop    context.CancelFunc
	done    chan error
	logs    *logBuffer
}

// logBuffer keeps what a gateway logs.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// line returns the first line of an event, or "" if there is none.
func (b *logBuffer) line(event string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		if strings.HasPrefix(line, "event="+event+" ") {
			return line
		}
	}
	return ""
}

// all returns everything that was logged.
func (b *logBuffer) all() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// hostCount counts the addresses that newHost has returned.
var hostCount atomic.Int32

// newHost returns a loopback address that no other process under test uses, so
// that its ports are free. Finding a free port by opening and closing it would
// not be safe: another process may take the port before it is used.
func newHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/256%64, pid%256, hostCount.Add(1))
}

func start(t *testing.T, source watcher.Source, seeds ...string) *testGateway {
	return startWithRandom(t, source, firstChoice, seeds...)
}

// firstChoice takes the place of a source of random numbers.
func firstChoice(int) int { return 0 }

// startWithRandom starts a gateway whose core takes random numbers from a function, and
// waits until it is ready.
func startWithRandom(t *testing.T, source watcher.Source, random func(int) int, seeds ...string) *testGateway {
	return launch(t, source, random, seeds...).awaitReady()
}

// startWithBodies starts a gateway with changed settings and a budget in bytes for bodies, and
// waits until it is ready.
func startWithBodies(t *testing.T, source watcher.Source, budget int64, change func(*Settings)) *testGateway {
	return launchWith(t, source, change, func(g *Gateway) { g.bodies = bodybudget.New(budget) }).awaitReady()
}

func (r *testGateway) awaitReady() *testGateway {
	require.Eventually(r.t, func() bool {
		select {
		case err := <-r.done:
			r.t.Fatalf("gateway ended: %v", err)
		default:
		}
		return r.ready()
	}, testTimeout, time.Millisecond)
	return r
}

// launch starts a gateway and does not wait until it is ready.
func launch(t *testing.T, source watcher.Source, random func(int) int, seeds ...string) *testGateway {
	return launchWith(t, source, func(s *Settings) { s.Seeds, s.Dispatch.Random = seeds, random })
}

// launchWith starts a gateway with changed settings, which is prepared further before it runs,
// and does not wait until it is ready.
func launchWith(t *testing.T, source watcher.Source, change func(*Settings), prepare ...func(*Gateway)) *testGateway {
	logs := &logBuffer{}
	logger := log.NewLogfmtLogger(logs)
	w := watcher.New(source, "", time.Second, logger)
	ip := newHost()
	s := Settings{
		Listen: ip + ":7001", Ready: ip + ":7002", Control: ip + ":7003", Peers: ip + ":7004",
		ReadyPath: platform.ReadyPath, GracePeriod: 4 * time.Second,
		Dispatch: dispatch.Settings{
			Region: "north", Regions: map[fleet.FailureDomain]fleet.Region{"a": "north"},
			Retries: retry.WindowLimits{Reserve: 100, Window: 10 * time.Second}, OldVersionGrace: 8 * time.Second,
			Random: firstChoice,
		},
	}
	change(&s)
	g := New(s, platform.Codec{}, w, logger)
	for _, f := range prepare {
		f(g)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testGateway{t: t, gateway: g, stop: cancel, done: make(chan error, 1), logs: logs}
	go func() { r.done <- g.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// reportAges sends the gateway a message of the peer on a host with ages of versions.
func (r *testGateway) reportAges(host, model string, ages ...published.VersionAge) {
	message, err := json.Marshal(&peering.Message{From: host + ":7004", Versions: map[string][]published.VersionAge{model: ages}})
	require.NoError(r.t, err)
	peer, err := net.Dial("udp4", r.gateway.settings.Peers)
	require.NoError(r.t, err)
	defer func() { _ = peer.Close() }()
	_, err = peer.Write(message)
	require.NoError(r.t, err)
}

// learnAge sends the gateway a peer's message with the age of a version until the
// gateway has taken it over.
func (r *testGateway) learnAge(model string, age published.VersionAge) {
	host := newHost()
	require.Eventually(r.t, func() bool {
		r.reportAges(host, model, age)
		batch, err := r.gateway.watcher.Since(context.Background(), 0)
		require.NoError(r.t, err)
		known := batch.Ages[model]
		return len(known) > 0 && known[0].Version == age.Version && known[0].AgeMS >= age.AgeMS
	}, testTimeout, time.Millisecond)
}

func (r *testGateway) request(ctx context.Context, method, path, body string) (*http.Response, error) {
	return r.send(ctx, method, path, body, "")
}

// resumeRequest sends a request that resumes a stream after an event.
func (r *testGateway) resumeRequest(method, path, lastEvent string) (*http.Response, error) {
	return r.send(context.Background(), method, path, "", lastEvent)
}

// callWithParts sends a request to a path with the header that lists the parts of
// its prompt, and returns its status.
func (r *testGateway) callWithParts(path, parts string) int {
	r.t.Helper()
	resp, err := r.send(context.Background(), http.MethodPost, path, "", "", "Rattanspur-Prefix-Hash", parts)
	require.NoError(r.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// send sends a request with further headers, given as names and values.
func (r *testGateway) send(ctx context.Context, method, path, body, lastEvent string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.gateway.settings.Listen+path, strings.NewReader(body))
	require.NoError(r.t, err)
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Rattanspur-Attempt-Id", "id-1")
	req.Header.Set("Rattanspur-Deadline-Ms", "10000")
	req.Header.Set("Rattanspur-Model", "m")
	if lastEvent != "" {
		req.Header.Set("Last-Event-Id", lastEvent)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// call sends a request and returns its status and body.
func (r *testGateway) call(method, path, body string) (int, string) {
	r.t.Helper()
	resp, err := r.request(context.Background(), method, path, body)
	require.NoError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return resp.StatusCode, string(data)
}

// respond writes a response that carries the upstream's signature.
func respond(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("Rattanspur-Attempt-Id", r.Header.Get("Rattanspur-Attempt-Id"))
	w.Header().Set("Rattanspur-Replica-Signature", "signed")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// startStream writes the head of an event stream.
func startStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	respond(w, r, http.StatusOK, "")
}

func writeEvent(w http.ResponseWriter, id int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
	_ = http.NewResponseController(w).Flush()
}
