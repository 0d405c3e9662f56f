// Package gateway is the role that stands between callers and upstreams on
// machines where every upstream is reached directly.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

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

// Codec translates the requests and answers of a front end.
type Codec interface {
	// Call reads what routing needs to know of a request.
	Call(r *http.Request) dispatch.Call
	// Forwarded returns a request's header as upstreams get it.
	Forwarded(h http.Header) http.Header
	// Attempt adds to it what the upstream must know of one attempt.
	Attempt(h http.Header, a *dispatch.Send, now time.Time, lastEvent string)
	// Head reads what the head of an upstream's answer says.
	Head(resp *http.Response) exchange.Head
	// Published decodes an item that a peer passed on.
	Published(key string, revision uint64, removed bool, raw []byte) (published.Change, error)
	// Returned returns an answer's header as callers get it.
	Returned(h http.Header) http.Header
}

// Settings are those of one gateway.
type Settings struct {
	// Listen is where callers connect, Ready where readiness is asked, Control
	// where other gateways read this one's view, Peers where they send messages
	// to, Metrics where metrics are read.
	Listen  string
	Ready   string
	Control string
	Peers   string
	Metrics string
	// ReadyPath is the path of the question for readiness.
	ReadyPath string
	// WantedPrefix begins the keys of the versions that upstreams are to serve.
	WantedPrefix string
	// Seeds are addresses of some gateways' messages.
	Seeds []string
	// Grace is the time that a graceful stop may take.
	Grace    time.Duration
	Dispatch dispatch.Settings
}

const (
	// inboxEvents is the number of events that wait for the router.
	inboxEvents = 1024
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection waits for a request;
	// it is longer than any published limit, which binds callers only.
	idleTimeout = 90 * time.Second
	// headerBytes bounds a caller's header.
	headerBytes = 64 << 10
	// leaveAfter is how long a stopping gateway still takes new connections,
	// until the platform has noticed that it is not ready.
	leaveAfter = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace a stop gives up.
	stopMargin = 500 * time.Millisecond
)

// Gateway is one process of the role.
type Gateway struct {
	settings Settings
	codec    Codec
	watcher  *watcher.Watcher
	views    *ring.Ring[*published.View]
	inbox    *ring.Ring[event]
	outgoing *ring.Ring[outgoing]
	pulls    *ring.Ring[pull]
	sync     *viewsync.Client
	logger   log.Logger
	metrics  *gatewayMetrics
	tickets  atomic.Uint64
	// configured says that a configuration is known.
	configured atomic.Bool
	stopping   atomic.Bool
	// bodyBytes is the published bound of a request's body.
	bodyBytes atomic.Int64
}

// New returns a gateway; Run starts it.
func New(s Settings, codec Codec, w *watcher.Watcher, logger log.Logger) *Gateway {
	g := &Gateway{
		settings: s,
		codec:    codec,
		watcher:  w,
		views:    w.Subscribe(),
		inbox:    ring.New[event](inboxEvents, ring.Wait),
		outgoing: ring.New[outgoing](1, ring.DropOldest),
		pulls:    ring.New[pull](1, ring.Refuse),
		sync:     viewsync.NewClient(codec.Published),
		logger:   logger,
	}
	g.bodyBytes.Store(defaultBodyBytes)
	g.metrics = newMetrics(g)
	return g
}

// Run serves until ctx ends and then stops gracefully: requests in progress
// end before it returns.
func (g *Gateway) Run(ctx context.Context) error {
	group := duty.NewGroup(context.WithoutCancel(ctx))
	g.watcher.Start(group)
	group.Go("router", g.runRouter)
	front := &http.Server{
		Handler:           http.HandlerFunc(g.serveCall),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	if err := wire.StartServer(group, "front", g.settings.Listen, front); err != nil {
		return err
	}
	side := http.NewServeMux()
	side.HandleFunc("GET "+g.settings.ReadyPath, g.serveReady)
	side.HandleFunc("GET /metrics", g.metrics.serve)
	side.Handle("GET "+viewsync.Path, viewsync.Handler(g.watcher))
	side.HandleFunc("GET "+peering.PathRoster, g.serveRoster)
	if err := g.startPeers(group); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	for name, address := range map[string]string{
		"readiness": g.settings.Ready, "metrics": g.settings.Metrics, "control": g.settings.Control,
	} {
		if address == "" {
			continue
		}
		if err := wire.StartServer(group, name, address, &http.Server{Handler: side}); err != nil {
			return err
		}
	}
	_ = g.logger.Log("event", "start", "role", "gateway", "listen", g.settings.Listen)
	select {
	case <-ctx.Done():
	case <-group.Context().Done():
	}
	return g.stop(front, group)
}

// stop says that the process is not ready, waits until the platform sends no
// more connections, and lets the requests in progress end.
func (g *Gateway) stop(front *http.Server, group *duty.Group) error {
	begun := time.Now()
	g.stopping.Store(true)
	_ = g.logger.Log("event", "stop-begun")
	if group.Context().Err() == nil {
		_ = duty.Sleep(group.Context(), min(leaveAfter, g.settings.Grace/2))
	}
	left := g.settings.Grace - stopMargin - time.Since(begun)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	err := front.Shutdown(ctx)
	_ = g.logger.Log("event", "stop", "seconds", time.Since(begun).Seconds(), "err", err)
	group.Stop()
	if werr := group.Wait(); werr != nil {
		return werr
	}
	return eris.Wrap(err, "graceful stop")
}

// serveReady says whether this process takes new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.configured.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
