// Package agent implements the agent role, one process per upstream. An agent
// downloads weights and shares them with other agents, sends load orders to the
// engine, and decides on the admission of each call to the upstream.
package agent

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/wire"
)

const (
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of a request's header: that of a caller, 32 KiB,
	// and those that an entry adds.
	maxHeaderBytes = 64 << 10
	// shortTimeout bounds a health check, a query to a peer, and a query of an
	// HTTP handler to another duty.
	shortTimeout = 2 * time.Second
	// eventRingSize is the capacity of most rings between the agent's duties.
	eventRingSize = 1024
)

// Agent is a process of the agent role. Its goroutines are the duties that Run
// starts.
type Agent struct {
	settings *settings.Agent
	node     *node.Node
	engine   *engine.Client
	// upstream sends calls; it checks each new connection before use.
	upstream *http.Client
	// callsEnd ends when calls in progress have to end because the process stops.
	callsEnd context.Context
	endCalls context.CancelFunc
	// plain is set while the upstream is a plain service, without load reports.
	plain           atomic.Bool
	weightsListener net.Listener

	engineViews *ring.Ring[node.View]
	pullerViews *ring.Ring[node.View]
	gateViews   *ring.Ring[node.View]
	healthViews *ring.Ring[node.View]

	engineEvents   *ring.Ring[engineEvent]
	orders         *ring.Ring[order]
	pullerEvents   *ring.Ring[pullerEvent]
	fetches        *ring.Ring[fetch]
	queries        *ring.Ring[query]
	gateEvents     *ring.Ring[gateEvent]
	admittedCalls  *ring.Ring[admittedCall]
	rolloutQueries *ring.Ring[*ring.Ring[rollout.State]]
	// healthCheckRequests triggers a health check without waiting for the
	// interval.
	healthCheckRequests *ring.Ring[struct{}]
	metrics             *agentMetrics
	once                *onceDuty
	// bodies is the memory for the bodies of calls.
	bodies *bodybudget.Budget

	uploadLink   *pacing.Link
	downloadLink *pacing.Link
	// regionLink limits the rate of downloads from other regions.
	regionLink  *pacing.Link
	weightsHTTP *http.Client
}

// New returns an agent that Run starts.
func New(s *settings.Agent, logger log.Logger) *Agent {
	n := node.New(s.Node, logger)
	control := &http.Client{Transport: relay.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: sock.MaxHeadBytes,
	})}
	a := &Agent{
		settings:            s,
		node:                n,
		engine:              engine.New(s.UpstreamURL, control),
		engineViews:         n.Subscribe(),
		pullerViews:         n.Subscribe(),
		gateViews:           n.Subscribe(),
		healthViews:         n.Subscribe(),
		once:                newOnceDuty(n),
		engineEvents:        ring.New[engineEvent](eventRingSize, ring.Wait),
		orders:              ring.New[order](1, ring.Wait),
		pullerEvents:        ring.New[pullerEvent](eventRingSize, ring.Wait),
		fetches:             ring.New[fetch](eventRingSize, ring.Wait),
		queries:             ring.New[query](eventRingSize, ring.Wait),
		gateEvents:          ring.New[gateEvent](eventRingSize, ring.Wait),
		admittedCalls:       ring.New[admittedCall](s.MaxCalls, ring.Refuse),
		rolloutQueries:      ring.New[*ring.Ring[rollout.State]](eventRingSize, ring.Wait),
		healthCheckRequests: ring.New[struct{}](1, ring.DropOldest),
		bodies:              bodybudget.New(cmp.Or(s.BodyMemoryBytes, settings.AgentBodyMemoryBytes)),
		uploadLink:          pacing.NewLink(s.UploadRate),
		downloadLink:        pacing.NewLink(s.DownloadRate),
		regionLink:          pacing.NewLink(s.RegionLinkRate),
		weightsHTTP:         &http.Client{Transport: weightsTransport()},
	}
	a.metrics = newAgentMetrics(a)
	a.upstream = a.upstreamClient()
	a.callsEnd, a.endCalls = context.WithCancel(context.Background())
	return a
}

// Run starts all duties and servers and serves until ctx ends or one of them
// fails. It then stops gracefully within the drain timeout.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.Self.Address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if a.weightsListener, err = net.Listen("tcp", a.settings.WeightsListen); err != nil {
		return eris.Wrap(err, "listen for weights")
	}
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	weights := &http.Server{Handler: a.weightsHandler(), ReadHeaderTimeout: headerTimeout}

	g := duty.NewGroup(context.WithoutCancel(ctx))
	a.startDuties(g)
	g.Go("server", func(context.Context) error { return wire.Serve(server, listener) })
	g.Go("weights server", func(context.Context) error { return wire.Serve(weights, a.weightsListener) })
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.settings.DrainTimeout)
	defer cancel()
	defer time.AfterFunc(a.settings.DrainTimeout-answerMargin(a.settings.DrainTimeout), a.endCalls).Stop()
	err = a.stop(limited, server, weights)
	g.Stop()
	if werr := g.Wait(); werr != nil {
		return werr
	}
	return err
}

func (a *Agent) startDuties(g *duty.Group) {
	a.node.Start(g)
	g.Go("engine controller", a.runEngineController)
	g.Go("order sender", a.runOrderSender)
	g.Go("health checker", a.runHealthChecker)
	g.Go("puller", a.runPuller)
	for range fetchers {
		g.Go("fetcher", a.runFetcher)
	}
	for range queriers {
		g.Go("querier", a.runQuerier)
	}
	g.Go("gate controller", a.runGateController)
	g.Go("once controller", a.runOnceController)
	for range a.settings.MaxCalls {
		g.Go("forwarder", a.runForwarder)
	}
}

func (a *Agent) handler() http.Handler {
	keys := wire.Keys(a.settings.PeerKeys)
	internal := http.NewServeMux()
	internal.HandleFunc(wire.CallPath+"/", a.guardOnce(a.serveCall))
	internal.HandleFunc("POST "+wire.PathToken, a.serveToken)
	internal.HandleFunc("GET "+wire.PathWeights+"{root}/manifest", a.serveManifest)
	internal.HandleFunc("GET "+wire.PathWeights+"{root}/have", a.serveHave)
	internal.HandleFunc("GET "+wire.PathWeights+"{root}/chunks/{index}", a.serveChunk)
	internal.Handle("/peer/", a.node.PeerHandler())
	internal.HandleFunc("GET "+wire.PathTransfer, a.serveTransfer)
	internal.Handle("GET "+wire.PathTimeline, a.node.TimelineHandler())
	internal.HandleFunc("GET "+wire.PathStatus, a.serveStatus)
	mux := http.NewServeMux()
	mux.Handle("/", keys.Require(internal))
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /metrics", a.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

// self returns the record of this process in the member list.
func (a *Agent) self() fleet.Instance { return a.settings.Self }
