package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

const peerKey = "peer-key"

// runningAgent is an agent beside a plain service, under test.
type runningAgent struct {
	address string
	// stop begins a graceful stop, as SIGTERM does; done gets the error of Run.
	stop context.CancelFunc
	done chan error
}

// startAgent starts an agent and waits until it admits calls.
func startAgent(t *testing.T, upstream http.HandlerFunc, drainTimeout time.Duration) *runningAgent {
	service := standin.NewConfigService()
	document, err := json.Marshal(config.Document{
		Generation:     1,
		Services:       []config.Service{{Name: "bookings", Kind: config.KindPlain, PathPrefix: "/", Limits: config.Limits{Cold: 4, Warm: 4, RampStep: 1}}},
		FailureDomains: []config.FailureDomain{{Name: "d", Region: "r", State: config.DomainIn}},
	})
	require.NoError(t, err)
	service.Put("config", document)
	servers := []*httptest.Server{
		httptest.NewServer(service.Handler()), httptest.NewServer((&standin.InstanceList{}).Handler()), httptest.NewServer(upstream),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	a := New(&settings.Agent{
		Node: settings.Node{
			Self:      fleet.Instance{ID: "agent-0", Role: fleet.RoleAgent, Service: "bookings", Address: address, FailureDomain: "d", Region: "r", State: fleet.StateLive},
			ConfigURL: servers[0].URL, ConfigKey: "config", InstancesURL: servers[1].URL, PeerKeys: []string{peerKey},
			ListInterval: 20 * time.Millisecond, WatchWait: 100 * time.Millisecond, StartWait: 20 * time.Millisecond,
		},
		UpstreamURL: servers[2].URL, WeightsListen: "127.0.0.1:0", ReportInterval: 20 * time.Millisecond, MaxCalls: 4,
		ProgressTimeout: testTimeout, LeaveDelay: 10 * time.Millisecond, DrainTimeout: drainTimeout,
	}, log.NewNopLogger())
	ctx, stop := context.WithCancel(context.Background())
	r := &runningAgent{address: address, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- a.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		for _, s := range servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 5*time.Millisecond)
	return r
}

// call sends a call as an entry does and returns the response with its body.
func (r *runningAgent) call(path string) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.address+wire.CallPath+path, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	wire.Keys{peerKey}.Authorize(req.Header)
	if err := wire.SetCall(req.Header, &wire.Call{Request: "r", Attempt: 1, Service: "bookings", Timeout: testTimeout}); err != nil {
		return nil, "", err
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a call that is cut without an answer at the end of the drain
// timeout: the entry would take the agent for crashed and the request for the cause.
func TestCallAtTheEndOfTheDrainGetsAnswer(t *testing.T) {
	started := make(chan struct{})
	r := startAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-r.Context().Done()
		}
	}, 500*time.Millisecond)
	type answer struct {
		resp *http.Response
		body string
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		resp, body, err := r.call("/slow")
		answers <- answer{resp, body, err}
	}()
	await(t, started)
	r.stop()
	got := <-answers
	require.NoError(t, got.err)
	require.Equal(t, string(wire.Unknown), got.resp.Header.Get(wire.HeaderOutcome), got.body)
	_, crashed := wire.GetCrash(got.resp.Header)
	require.False(t, crashed)
	require.NoError(t, <-r.done)
}
