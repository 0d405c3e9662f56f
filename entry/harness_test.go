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
	peerKey  = "peer-key"
	chatPath = "/v1/chat/completions"
	oncePath = "/bookings/new"
	testWait = 30 * time.Second
)

var root = fleet.Digest{1}

// agentFunc is the behaviour of a fake agent. The header that names the
// attempt is already set.
type agentFunc func(w http.ResponseWriter, r *http.Request, meta *wire.Call)

// fakeAgent starts a server that speaks the agent's side of the protocol.
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

// ran answers with the body of the request.
func ran(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
	_, _ = w.Write(body)
}

// crash ends the connection without an answer, as a dying agent does.
func crash(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// bench is an entry that runs in the test's process.
type bench struct {
	t       *testing.T
	ctx     context.Context
	address string
	client  *http.Client
}

// startEntry runs an entry in front of agents for the model service "advisory"
// and for the plain service "bookings".
func startEntry(t *testing.T, change func(*settings.Entry), agents ...string) *bench {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
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
	go func() { done <- New(s, log.NewNopLogger()).Run(entryCtx) }()
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
	b := &bench{t: t, ctx: ctx, address: s.Self.Address, client: client}
	b.await("/readyz")
	return b
}

func testSettings(address, configURL, listURL string) *settings.Entry {
	return &settings.Entry{
		Node: settings.Node{
			Self:      fleet.Instance{ID: "entry-0", Role: fleet.RoleEntry, Address: address, FailureDomain: "d", Region: "r", State: fleet.StateLive},
			ConfigURL: configURL, ConfigKey: "config", InstancesURL: listURL, PeerKeys: []string{peerKey},
			ListInterval: 20 * time.Millisecond, WatchWait: 100 * time.Millisecond, StartWait: 20 * time.Millisecond,
		},
		MaxCalls: 64, CallTimeout: testWait, MaxBodyBytes: 1 << 20, MaxStreamBytes: 1 << 20, MaxConnections: 256,
		MaxQueuedCalls: 64, MaxQueuedCustomerCalls: 16, QueueWait: testWait,
		FirstByteTimeout: testWait, ProgressTimeout: testWait, ConnectionAge: time.Minute,
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

// await polls a path until it answers 200.
func (b *bench) await(path string) {
	require.Eventually(b.t, func() bool {
		resp, err := b.client.Get("http://" + b.address + path)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testWait, 5*time.Millisecond)
	// The first instance list may arrive after the first document.
	b.awaitMembers()
}

func (b *bench) awaitMembers() {
	require.Eventually(b.t, func() bool {
		req, _ := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+b.address+wire.PathStatus, http.NoBody)
		wire.Keys{peerKey}.Authorize(req.Header)
		resp, err := b.client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		var s fullStatus
		return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Entry.Members > 1
	}, testWait, 5*time.Millisecond)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) post(path, customer, body string, headers ...string) answer {
	return b.postContext(b.ctx, path, customer, body, headers...)
}

func (b *bench) postContext(ctx context.Context, path, customer, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.address+path, bytes.NewReader([]byte(body)))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+customer)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// chat returns the body of a request to the model service.
func chat(text string) string {
	return fmt.Sprintf(`{"model":"advisory","messages":[{"role":"user","content":%q}]}`, text)
}

// problemOf decodes the problem of an answer.
func problemOf(t *testing.T, a answer) wire.Problem {
	require.NoError(t, a.err)
	require.True(t, strings.HasPrefix(a.header.Get("Content-Type"), "application/problem+json"), a.body)
	var p wire.Problem
	require.NoError(t, json.Unmarshal([]byte(a.body), &p))
	return p
}
