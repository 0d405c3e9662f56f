// Package agent is the role beside each upstream: it transfers weights, orders
// the engine, and is the last gate before the upstream.
package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

const (
	headerTimeout = 10 * time.Second
	// shortTimeout bounds a load report or a question to a peer.
	shortTimeout = 2 * time.Second
	// drainTimeout bounds a graceful stop.
	drainTimeout = 60 * time.Second
	// messageRing is the capacity of the rings between the agent's duties.
	messageRing = 1024
)

// Agent is one process of the role.
type Agent struct {
	settings *settings.Agent
	node     *node.Node
	engine   *engine.Client
	upstream *http.Client
	weights  net.Listener

	engineerViews *ring.Ring[node.View]
	pullerViews   *ring.Ring[node.View]
	gateViews     *ring.Ring[node.View]

	engineer *ring.Ring[engineerEvent]
	orders   *ring.Ring[order]
	puller   *ring.Ring[pullerEvent]
	fetches  *ring.Ring[fetch]
	gate     *ring.Ring[gateEvent]
	grants   *ring.Ring[grant]
	once     *onceDuty

	up   *pacing.Link
	down *pacing.Link
}

// New returns an agent; Run starts it.
func New(s *settings.Agent, logger log.Logger) *Agent {
	n := node.New(s.Node, logger)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Calls, DisableCompression: true}}
	return &Agent{
		settings:      s,
		node:          n,
		engine:        engine.New(s.UpstreamURL, client),
		upstream:      client,
		engineerViews: n.Subscribe(),
		pullerViews:   n.Subscribe(),
		gateViews:     n.Subscribe(),
		once:          newOnceDuty(n),
		engineer:      ring.New[engineerEvent](messageRing, ring.Wait),
		orders:        ring.New[order](1, ring.Wait),
		puller:        ring.New[pullerEvent](messageRing, ring.Wait),
		fetches:       ring.New[fetch](messageRing, ring.Wait),
		gate:          ring.New[gateEvent](messageRing, ring.Wait),
		grants:        ring.New[grant](s.Calls, ring.Refuse),
		up:            pacing.NewLink(s.LinkUp),
		down:          pacing.NewLink(s.LinkDown),
	}
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
	g.Go("server", func(context.Context) error { return serve(server, listener) })
	g.Go("weights server", func(context.Context) error { return serve(weights, a.weights) })
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	_ = a.gate.Put(limited, leave{})
	err = server.Shutdown(limited)
	_ = weights.Shutdown(limited)
	g.Stop()
	if werr := g.Wait(); werr != nil {
		return werr
	}
	return eris.Wrap(err, "graceful stop")
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
	g.Go("gatekeeper", a.runGatekeeper)
	g.Go("keeper", a.runKeeper)
	for range a.settings.Calls {
		g.Go("forwarder", a.runForwarder)
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !eris.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (a *Agent) handler() http.Handler {
	keys := wire.Keys(a.settings.PeerKeys)
	inside := http.NewServeMux()
	inside.HandleFunc(wire.CallPath+"/", a.guardOnce(a.serveCall))
	inside.HandleFunc("POST "+wire.PathToken, a.serveToken)
	inside.HandleFunc("GET "+wire.PathWeights+"{root}/manifest", a.serveManifest)
	inside.HandleFunc("GET "+wire.PathWeights+"{root}/have", a.serveHave)
	inside.HandleFunc("GET "+wire.PathWeights+"{root}/chunks/{index}", a.serveChunk)
	inside.Handle("GET "+wire.PathTimeline, a.node.TimelineHandler())
	mux := http.NewServeMux()
	mux.Handle("/", keys.Require(inside))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

// self returns the process's own record.
func (a *Agent) self() fleet.Instance { return a.settings.Self }
