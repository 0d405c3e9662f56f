package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
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

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

const (
	peerKey     = "peer-key"
	chatPath    = "/v1/chat/completions"
	oncePath    = "/bookings/new"
	testTimeout = 30 * time.Second
)

var root = fleet.Digest{1}

// agentFunc handles a request in a fake agent. The response header that names the
// attempt is already set.
type agentFunc func(w http.ResponseWriter, r *http.Request, meta *wire.Call)

// fakeAgent starts a server that implements the agent's side of the protocol and
// returns its address.
func fakeAgent(t *testing.T, f agentFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		meta, err := wire.GetCall(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set(wire.HeaderRequest, meta.AttemptID())
		f(w, r, meta)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// echo responds with the body of the request.
func echo(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
	_, _ = w.Write(body)
}

// crash closes the connection without a response, as a crashing agent does.
func crash(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// startPoisonable starts an entry in front of four agents that crash with requests that
// contain "poison", and returns the number of crashes. The clock of the entry's evidence
// advances by a second with each.
func startPoisonable(t *testing.T) (e *testEntry, crashes *atomic.Int64) {
	crashes = &atomic.Int64{}
	var c clock
	agent := func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "poison") {
			crashes.Add(1)
			c.advance(time.Second)
			crash(w)
			return
		}
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		_, _ = w.Write([]byte(meta.Request))
	}
	return startEntryWithClock(t, c.now, nil, fakeAgent(t, agent), fakeAgent(t, agent), fakeAgent(t, agent), fakeAgent(t, agent)), crashes
}

// testEntry is a running entry under test.
type testEntry struct {
	t       *testing.T
	ctx     context.Context
	address string
	client  *http.Client
	// stop begins a graceful stop, as SIGTERM does.
	stop context.CancelFunc
	// config is where the configuration is published.
	config *standin.ConfigService
}

// startEntry starts an entry in front of agents that serve the model service
// "advisory" and the plain service "bookings". change modifies the settings
// unless it is nil.
func startEntry(t *testing.T, change func(*settings.Entry), agents ...string) *testEntry {
	return startEntryWithClock(t, time.Now, change, agents...)
}

// startEntryWithClock starts an entry with a clock for its evidence about requests
// that crash upstreams.
func startEntryWithClock(t *testing.T, now func() time.Time, change func(*settings.Entry), agents ...string) *testEntry {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	service := standin.NewConfigService()
	service.Put("config", document(t))
	list := &standin.InstanceList{}
	list.Set(confservice.InstanceList{Revision: 1, Instances: instances(agents)}, 0)
	configServer, listServer := httptest.NewServer(service.Handler()), httptest.NewServer(list.Handler())
	s := testSettings(freeAddress(t), configServer.URL, listServer.URL)
	if change != nil {
		change(s)
	}
	done := make(chan error, 1)
	entryCtx, stop := context.WithCancel(context.Background())
	entry := New(s, log.NewNopLogger())
	entry.now = now
	go func() { done <- entry.Run(entryCtx) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		stop()
		require.NoError(t, <-done)
		cancel()
		configServer.CloseClientConnections()
		configServer.Close()
		listServer.Close()
	})
	e := &testEntry{t: t, ctx: ctx, address: s.Self.Address, client: client, stop: stop, config: service}
	e.await("/readyz")
	return e
}

func testSettings(address, configURL, listURL string) *settings.Entry {
	return &settings.Entry{
		Node: settings.Node{
			Self:      fleet.Instance{ID: "entry-0", Role: fleet.RoleEntry, Address: address, FailureDomain: "d", Region: "r", State: fleet.StateLive},
			ConfigURL: configURL, ConfigKey: "config", InstancesURL: listURL, PeerKeys: []string{peerKey},
			ListInterval: 20 * time.Millisecond, WatchWait: 100 * time.Millisecond, StartWait: 20 * time.Millisecond,
		},
		MaxCalls: 64, CallTimeout: testTimeout, MaxBodyBytes: 1 << 20, MaxStreamBytes: 1 << 20, MaxConnections: 256,
		MaxQueuedCalls: 64, MaxQueuedCustomerCalls: 16, QueueWait: testTimeout,
		FirstByteTimeout: testTimeout, ProgressTimeout: testTimeout, ConnectionAge: time.Minute,
		DrainTimeout: testTimeout,
	}
}

func document(t *testing.T) []byte {
	sum := func(key string) string {
		d := sha256.Sum256([]byte(key))
		return hex.EncodeToString(d[:])
	}
	limits := config.Limits{Cold: 4, Warm: 4, RampStep: 1}
	data, err := json.Marshal(config.Document{
		Generation: 1,
		Profiles: []config.Profile{{
			Name: "burst-1", Model: "m", Version: "v1",
			Weights: config.Weights{Root: root, Origin: "http://127.0.0.1:1", Region: "r"},
		}},
		Services: []config.Service{
			{Name: "advisory", Kind: config.KindModel, Profile: "burst-1", Limits: limits},
			{Name: "bookings", Kind: config.KindPlain, PathPrefix: "/bookings/", Limits: limits,
				Once: []config.Call{{Method: http.MethodPost, PathPrefix: oncePath}}},
		},
		FailureDomains: []config.FailureDomain{{Name: "d", Region: "r", State: config.DomainIn}},
		Customers:      []config.Customer{{Name: "counter", KeySHA256: sum("counter")}, {Name: "flood", KeySHA256: sum("flood")}},
	})
	require.NoError(t, err)
	return data
}

// instances lists each address as an agent of both services.
func instances(addresses []string) []fleet.Instance {
	var list []fleet.Instance
	for i, a := range addresses {
		for _, s := range []fleet.Service{"advisory", "bookings"} {
			list = append(list, fleet.Instance{
				ID: fleet.InstanceID(fmt.Sprintf("%s-%d", s, i)), Role: fleet.RoleAgent, Service: s,
				Address: a, FailureDomain: "d", Region: "r", State: fleet.StateLive,
			})
		}
	}
	return list
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// await polls a path until it responds with 200 and the instance list is known.
func (e *testEntry) await(path string) {
	require.Eventually(e.t, func() bool {
		resp, err := e.client.Get("http://" + e.address + path)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 5*time.Millisecond)
	// The first instance list may arrive after the first document.
	e.awaitMembers()
}

func (e *testEntry) awaitMembers() {
	require.Eventually(e.t, func() bool {
		req, _ := http.NewRequestWithContext(e.ctx, http.MethodGet, "http://"+e.address+wire.PathStatus, http.NoBody)
		wire.Keys{peerKey}.Authorize(req.Header)
		resp, err := e.client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		var s fullStatus
		return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Entry.Members > 1
	}, testTimeout, 5*time.Millisecond)
}

// response is the response that a caller received, or the error.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (e *testEntry) post(path, customer, body string, headers ...string) response {
	return e.postContext(e.ctx, path, customer, body, headers...)
}

func (e *testEntry) postContext(ctx context.Context, path, customer, body string, headers ...string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+path, bytes.NewReader([]byte(body)))
	require.NoError(e.t, err)
	req.Header.Set("Authorization", "Bearer "+customer)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// clock is a clock that only moves when it is told to.
type clock struct{ elapsed atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(1_700_000_000, c.elapsed.Load()) }
func (c *clock) advance(d time.Duration) { c.elapsed.Add(int64(d)) }

// chat returns the body of a request to the model service.
func chat(text string) string {
	return fmt.Sprintf(`{"model":"advisory","messages":[{"role":"user","content":%q}]}`, text)
}

// problemOf decodes the problem in a response.
func problemOf(t *testing.T, resp response) wire.Problem {
	require.NoError(t, resp.err)
	require.True(t, strings.HasPrefix(resp.header.Get("Content-Type"), "application/problem+json"), resp.body)
	var p wire.Problem
	require.NoError(t, json.Unmarshal([]byte(resp.body), &p))
	return p
}
