// Package entry implements the entry role: a process that accepts callers'
// requests and routes them to the agents beside the upstreams.
package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/connlimit"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
	"rattanspur.example/operator"
)

const (
	// headerTimeout is the maximum time for a caller to send a request header.
	headerTimeout = 10 * time.Second
	// bodyTimeout is the maximum time for a caller to send a body.
	bodyTimeout = 30 * time.Second
	// idleTimeout is the maximum time that a caller's connection stays open
	// without a request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a caller's request header.
	maxHeaderBytes = 32 << 10
	// connectTimeout is the maximum time for connecting to an agent.
	connectTimeout = time.Second
)

// Entry is one entry process.
type Entry struct {
	settings *settings.Entry
	node     *node.Node
	views    *ring.Ring[node.View]
	inbox    *ring.Ring[event]
	attempts *ring.Ring[attempt]
	metrics  *entryMetrics
	grace    *gracePeriod
	// now is the clock for the evidence about requests that crash upstreams.
	now func() time.Time
	// snapshots provides the state that the operator page shows.
	snapshots *snapshotSource
	once      *oncePipeline
	// bodies is the memory for the bodies of requests.
	bodies *bodybudget.Budget
}

// New returns an entry. It does nothing until Run is called.
func New(s *settings.Entry, logger log.Logger) *Entry {
	n := node.New(s.Node, logger)
	e := &Entry{
		settings:  s,
		node:      n,
		now:       time.Now,
		views:     n.Subscribe(),
		inbox:     ring.New[event](2*s.MaxCalls, ring.Wait),
		attempts:  ring.New[attempt](s.MaxCalls, ring.Refuse),
		snapshots: newSnapshotSource(n),
		once:      newOncePipeline(n, s),
		grace:     newGracePeriod(s.DrainTimeout),
		bodies:    bodybudget.New(cmp.Or(s.BodyMemoryBytes, settings.EntryBodyMemoryBytes)),
	}
	e.metrics = newMetrics(e)
	return e
}

// Run serves until ctx ends, or one of the entry's duties fails, and then stops
// gracefully: it lets calls in progress complete before it returns. It returns an
// error if it cannot listen, if a duty failed, or if calls are still in progress
// after the drain timeout.
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
		MaxHeaderBytes:    maxHeaderBytes,
	}
	watchRequests(server)
	g := duty.NewGroup(context.WithoutCancel(ctx))
	e.node.Start(g)
	g.Go("operator snapshots", e.snapshots.run)
	g.Go("router", e.runRouter)
	for range e.settings.MaxCalls {
		g.Go("forwarder", e.runForwarder)
	}
	e.startOnce(g)
	newHead := func(interrupt func()) connlimit.Head { return e.bodies.NewHead(interrupt) }
	limited := connlimit.New(listener, e.settings.MaxConnections, e.makeRoom, newHead)
	g.Go("server", func(context.Context) error { return wire.Serve(server, limited) })
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	return e.stop(ctx, server, g)
}

// makeRoom evicts incomplete bodies if no further connection may be open. Before that, most of
// the open ones may be idle.
func (e *Entry) makeRoom(n int, urgent bool) {
	if urgent {
		e.bodies.MakeRoom(n, true)
	}
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
