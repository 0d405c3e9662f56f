// Package entry is the role that takes callers' requests and routes them to
// the agents beside the upstreams.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
	"rattanspur.example/operator"
)

const (
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds how long a caller's connection waits for a request.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds a caller's header.
	headerBytes = 32 << 10
	// connectTimeout bounds a new connection to an agent.
	connectTimeout = time.Second
	// drainTimeout bounds a graceful stop.
	drainTimeout = 60 * time.Second
)

// Entry is one process of the role.
type Entry struct {
	settings *settings.Entry
	node     *node.Node
	views    *ring.Ring[node.View]
	inbox    *ring.Ring[event]
	attempts *ring.Ring[attempt]
	metrics  *entryMetrics
	stopping atomic.Bool
	// snapshots answers the operator page.
	snapshots *snapshots
	once      *onceRoute
}

// New returns an entry; Run starts it.
func New(s *settings.Entry, logger log.Logger) *Entry {
	n := node.New(s.Node, logger)
	e := &Entry{
		settings:  s,
		node:      n,
		views:     n.Subscribe(),
		inbox:     ring.New[event](2*s.MaxCalls, ring.Wait),
		attempts:  ring.New[attempt](s.MaxCalls, ring.Refuse),
		snapshots: newSnapshots(n),
		once:      newOnceRoute(n, s),
	}
	e.metrics = newMetrics(e)
	return e
}

// Run serves until ctx ends and then stops gracefully: calls in progress end
// before it returns.
func (e *Entry) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.settings.Self.Address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	handler, err := e.handler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	g := duty.NewGroup(context.WithoutCancel(ctx))
	e.node.Start(g)
	g.Go("operator snapshots", e.snapshots.run)
	g.Go("router", e.runRouter)
	for range e.settings.MaxCalls {
		g.Go("forwarder", e.runForwarder)
	}
	e.startOnce(g)
	limited := newLimitedListener(listener, e.settings.MaxConnections)
	g.Go("server", func(context.Context) error { return wire.Serve(server, limited) })
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	return e.stop(ctx, server, g)
}

// stop announces that the process leaves and lets calls in progress end.
func (e *Entry) stop(ctx context.Context, server *http.Server, g *duty.Group) error {
	e.stopping.Store(true)
	e.node.Leave()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	err := server.Shutdown(limited)
	g.Stop()
	if werr := g.Wait(); werr != nil {
		return werr
	}
	return eris.Wrap(err, "graceful stop")
}

func (e *Entry) handler() (http.Handler, error) {
	page, err := operator.Handler(e.snapshots, e.settings.OperatorKey)
	if err != nil {
		return nil, err
	}
	keys := wire.Keys(e.settings.PeerKeys)
	mux := http.NewServeMux()
	mux.HandleFunc("/", e.serveCall)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /metrics", e.metrics.serve)
	mux.Handle("GET "+wire.PathStatus, keys.Require(http.HandlerFunc(e.serveStatus)))
	mux.Handle("GET "+wire.PathTimeline, keys.Require(e.node.TimelineHandler()))
	mux.Handle("/peer/", e.node.PeerHandler())
	mux.Handle(operator.Prefix+"/", page)
	return mux, nil
}
