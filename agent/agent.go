// Package agent is the role beside each upstream: it transfers weights, orders
// the engine, and is the last gate before the upstream.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

const (
	headerTimeout = 10 * time.Second
	// shortTimeout bounds a load report or a question to a peer.
	shortTimeout = 2 * time.Second
	// messageRing is the capacity of the rings between the agent's duties.
	messageRing = 1024
)

// Agent is one process of the role.
type Agent struct {
	settings *settings.Agent
	node     *node.Node
	engine   *engine.Client
	// upstream carries calls; its new connections are checked.
	upstream *http.Client
	// plain says that the upstream is a plain service, without load reports.
	plain   atomic.Bool
	weights net.Listener

	engineerViews *ring.Ring[node.View]
	pullerViews   *ring.Ring[node.View]
	gateViews     *ring.Ring[node.View]
	reporterViews *ring.Ring[node.View]

	engineer  *ring.Ring[engineerEvent]
	orders    *ring.Ring[order]
	puller    *ring.Ring[pullerEvent]
	fetches   *ring.Ring[fetch]
	inquiries *ring.Ring[inquiry]
	gate      *ring.Ring[gateEvent]
	grants    *ring.Ring[grant]
	rollouts  *ring.Ring[*ring.Ring[rollout.State]]
	// probe asks the reporter for a health check at once.
	probe   *ring.Ring[struct{}]
	metrics *agentMetrics
	once    *onceDuty

	up   *pacing.Link
	down *pacing.Link
	// region paces what comes from other regions.
	region      *pacing.Link
	weightsHTTP *http.Client
}

// New returns an agent; Run starts it.
func New(s *settings.Agent, logger log.Logger) *Agent {
	n := node.New(s.Node, logger)
	control := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	a := &Agent{
		settings:      s,
		node:          n,
		engine:        engine.New(s.UpstreamURL, control),
		engineerViews: n.Subscribe(),
		pullerViews:   n.Subscribe(),
		gateViews:     n.Subscribe(),
		reporterViews: n.Subscribe(),
		once:          newOnceDuty(n),
		engineer:      ring.New[engineerEvent](messageRing, ring.Wait),
		orders:        ring.New[order](1, ring.Wait),
		puller:        ring.New[pullerEvent](messageRing, ring.Wait),
		fetches:       ring.New[fetch](messageRing, ring.Wait),
		inquiries:     ring.New[inquiry](messageRing, ring.Wait),
		gate:          ring.New[gateEvent](messageRing, ring.Wait),
		grants:        ring.New[grant](s.MaxCalls, ring.Refuse),
		rollouts:      ring.New[*ring.Ring[rollout.State]](messageRing, ring.Wait),
		probe:         ring.New[struct{}](1, ring.DropOldest),
		metrics:       newAgentMetrics(),
		up:            pacing.NewLink(s.UploadRate),
		down:          pacing.NewLink(s.DownloadRate),
		region:        pacing.NewLink(s.RegionLinkRate),
		weightsHTTP:   &http.Client{Transport: weightsTransport()},
	}
	a.upstream = a.upstreamClient()
	return a
}

// Run serves until ctx ends and then stops gracefully.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.Self.Address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if a.weights, err = net.Listen("tcp", a.settings.WeightsListen); err != nil {
		return eris.Wrap(err, "listen for weights")
	}
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout}
	weights := &http.Server{Handler: a.weightsHandler(), ReadHeaderTimeout: headerTimeout}

	g := duty.NewGroup(context.WithoutCancel(ctx))
	a.start(g)
	g.Go("server", func(context.Context) error { return wire.Serve(server, listener) })
	g.Go("weights server", func(context.Context) error { return wire.Serve(weights, a.weights) })
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.settings.DrainTimeout)
	defer cancel()
	err = a.stop(limited, server, weights)
	g.Stop()
	if werr := g.Wait(); werr != nil {
		return werr
	}
	return err
}

func (a *Agent) start(g *duty.Group) {
	a.node.Start(g)
	g.Go("engineer", a.runEngineer)
	g.Go("orderer", a.runOrderer)
	g.Go("reporter", a.runReporter)
	g.Go("puller", a.runPuller)
	for range fetchers {
		g.Go("fetcher", a.runFetcher)
	}
	for range askers {
		g.Go("asker", a.runAsker)
	}
	g.Go("gatekeeper", a.runGatekeeper)
	g.Go("keeper", a.runKeeper)
	for range a.settings.MaxCalls {
		g.Go("forwarder", a.runForwarder)
	}
}

func (a *Agent) handler() http.Handler {
	keys := wire.Keys(a.settings.PeerKeys)
	inside := http.NewServeMux()
	inside.HandleFunc(wire.CallPath+"/", a.guardOnce(a.serveCall))
	inside.HandleFunc("POST "+wire.PathToken, a.serveToken)
	inside.HandleFunc("GET "+wire.PathWeights+"{root}/manifest", a.serveManifest)
	inside.HandleFunc("GET "+wire.PathWeights+"{root}/have", a.serveHave)
	inside.HandleFunc("GET "+wire.PathWeights+"{root}/chunks/{index}", a.serveChunk)
	inside.Handle("/peer/", a.node.PeerHandler())
	inside.HandleFunc("GET "+wire.PathTransfer, a.serveTransfer)
	inside.Handle("GET "+wire.PathTimeline, a.node.TimelineHandler())
	inside.HandleFunc("GET "+wire.PathStatus, a.serveStatus)
	mux := http.NewServeMux()
	mux.Handle("/", keys.Require(inside))
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /metrics", a.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

// self returns the process's own record.
func (a *Agent) self() fleet.Instance { return a.settings.Self }
