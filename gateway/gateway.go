// Package gateway implements the gateway role: a process that accepts callers'
// requests and forwards them directly to upstreams, without an agent beside
// each upstream.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/exchange"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/viewsync"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/lib/wire"
)

// Codec translates between HTTP messages and the types that the gateway uses.
// Each front end has its own.
type Codec interface {
	// Call decodes the properties of a request that routing depends on.
	Call(r *http.Request) dispatch.Call
	// RequestHeader returns the header to send to upstreams for a caller's request
	// header.
	RequestHeader(h http.Header) http.Header
	// AddAttempt adds the headers of one attempt to a header that RequestHeader
	// returned. lastEventID is the ID of the event after which a stream resumes;
	// it is empty if the stream starts at its beginning.
	AddAttempt(h http.Header, a *dispatch.Send, now time.Time, lastEventID string)
	// Head decodes the metadata in the head of an upstream's response.
	Head(resp *http.Response) exchange.Head
	// Published decodes a published item that was read from a peer.
	Published(key string, revision published.Revision, removed bool, raw []byte) (published.Change, error)
	// ResponseHeader returns the header to send to callers for an upstream's
	// response header.
	ResponseHeader(h http.Header) http.Header
}

// Settings holds the settings of a gateway.
type Settings struct {
	// Listen is the address for callers, Ready that of the readiness check,
	// Control the one at which other processes read this gateway's view and the
	// roster, and operators ask where a request would go, Peers the UDP address for
	// messages of other gateways and of loaders, and Metrics the one at which metrics
	// are served. All but Listen may be empty; the gateway does not listen on an empty
	// address.
	Listen  string
	Ready   string
	Control string
	Peers   string
	Metrics string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Seeds are the Peers addresses of some gateways.
	Seeds []string
	// GracePeriod is the maximum duration of a graceful stop.
	GracePeriod time.Duration
	// MemoryBytes and MaxFiles are the memory and the descriptors that the process may
	// use. They limit the callers' connections and the bodies of their requests; 0 means
	// defaultMemoryBytes, and no limit by descriptors.
	MemoryBytes int64
	MaxFiles    int
	Dispatch    dispatch.Settings
}

const (
	// inboxCapacity is the number of events that can wait for the router.
	inboxCapacity = 1024
	// headerTimeout is the maximum time for a caller to send a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the maximum time that a caller's connection stays open
	// without a request. It is longer than any published limit, which only
	// callers have to respect.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the maximum size of a caller's request header.
	maxHeaderBytes = 64 << 10
	// defaultMemoryBytes is the memory of the process if the settings state none.
	defaultMemoryBytes = 256 << 20
)

// Gateway is one gateway process.
type Gateway struct {
	settings   Settings
	codec      Codec
	watcher    *watcher.Watcher
	views      *ring.Ring[*published.View]
	inbox      *ring.Ring[event]
	outbound   *ring.Ring[outboundMessage]
	pulls      *ring.Ring[peering.ViewSource]
	viewClient *viewsync.Client
	logger     log.Logger
	metrics    *gatewayMetrics
	lastTicket atomic.Uint64
	// configured is true once a configuration is known.
	configured atomic.Bool
	// stopEnd is when a planned stop is over, in ns since 1970; 0 if none has begun.
	stopEnd atomic.Int64
	// support holds the duties that requests in progress do not depend on, and routing
	// the router, so that requests end as in a planned stop when one of the others fails.
	support, routing *duty.Group
	// uploads ends when a planned stop is over, and with it what callers still send.
	uploads    context.Context
	endUploads context.CancelFunc
	// inProgress counts the requests whose head was read and that have not ended.
	// stopRefused and stopUnknown count what was rejected during a planned stop as
	// not run and with an unknown outcome.
	inProgress, stopRefused, stopUnknown atomic.Int64
	// maxBodyBytes is the published maximum size of a request's body, and bodies the
	// memory for those of all requests.
	maxBodyBytes atomic.Int64
	bodies       *bodybudget.Budget
}

// New returns a gateway. It does nothing until Run is called.
func New(s Settings, codec Codec, w *watcher.Watcher, logger log.Logger) *Gateway {
	g := &Gateway{
		settings:   s,
		codec:      codec,
		watcher:    w,
		views:      w.Subscribe(),
		inbox:      ring.New[event](inboxCapacity, ring.Wait),
		outbound:   ring.New[outboundMessage](1, ring.DropOldest),
		pulls:      ring.New[peering.ViewSource](1, ring.Refuse),
		viewClient: viewsync.NewClient(codec.Published),
		logger:     logger,
		support:    duty.NewGroup(context.Background()),
		routing:    duty.NewGroup(context.Background()),
	}
	g.uploads, g.endUploads = context.WithCancel(context.Background())
	if g.settings.MemoryBytes <= 0 {
		g.settings.MemoryBytes = defaultMemoryBytes
	}
	g.bodies = bodybudget.New(bodybudget.ForMemory(g.settings.MemoryBytes))
	g.maxBodyBytes.Store(defaultMaxBodyBytes)
	g.metrics = newMetrics(g)
	return g
}

// Run serves until ctx ends, or one of the gateway's duties fails, and then
// stops gracefully: it lets requests in progress complete before it returns. It
// returns an error if it cannot listen, if a duty failed, or if requests are
// still in progress when the grace period is almost over.
func (g *Gateway) Run(ctx context.Context) error {
	f, err := listenFront(ctx, g)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	g.watcher.Start(g.support)
	g.routing.Go("router", g.runRouter)
	if err := g.startSupport(); err != nil {
		_ = g.end(f, 0)
		return err
	}
	f.serve()
	_ = g.logger.Log("event", "start", "role", "gateway", "listen", g.settings.Listen)
	select {
	case <-ctx.Done():
	case <-g.support.Context().Done():
	case <-f.group.Context().Done():
	}
	return g.stop(f)
}

// startSupport starts the duties that requests in progress do not depend on, except the
// watcher's.
func (g *Gateway) startSupport() error {
	if err := g.startPeers(g.support); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.settings.ReadyPath, g.serveReady)
	mux.HandleFunc("GET /metrics", g.metrics.serve)
	mux.Handle("GET "+viewsync.Path, viewsync.Handler(g.watcher))
	mux.HandleFunc("GET "+peering.PathRoster, g.serveRoster)
	control := http.NewServeMux()
	control.Handle("/", mux)
	control.HandleFunc("POST "+PathExplain, g.serveExplain)
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"readiness", g.settings.Ready, mux}, {"metrics", g.settings.Metrics, mux}, {"control", g.settings.Control, control},
	} {
		if s.address == "" {
			continue
		}
		if err := wire.StartServer(g.support, s.name, s.address, &http.Server{Handler: s.handler}); err != nil {
			return err
		}
	}
	return nil
}

// end closes all connections and ends the duties. It returns an error if a duty failed or
// requests are open.
func (g *Gateway) end(f *front, open int64) error {
	frontErr := f.close()
	g.routing.Stop()
	_ = g.routing.Wait()
	g.support.Stop()
	if err := g.support.Wait(); err != nil {
		return err
	}
	if frontErr != nil {
		return frontErr
	}
	if open > 0 {
		return eris.Errorf("graceful stop: %d requests are still in progress", open)
	}
	return nil
}

// serveReady responds with 200 if this process accepts new connections, and with
// 503 if it is stopping or has no configuration yet.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping() || !g.configured.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
