// Package loader is the role beside each model engine: it brings the wanted
// weights to the machine, from other loaders and the origin, checks them, and
// orders the engine to take them.
package loader

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/lib/wire"
)

// Engine is the engine on the own machine.
type Engine interface {
	Report(ctx context.Context) (staging.Report, error)
	// Start orders the engine to take what lies at it, if it accepted no other
	// order since its sequence was read.
	Start(ctx context.Context, model string, version, sequence int64) error
	Put(ctx context.Context, model string, number int, data []byte) error
	Get(ctx context.Context, model string, number int) ([]byte, error)
	Held(ctx context.Context, model string) ([]int, error)
}

// Origin is where weights come from.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version int64) (*staging.Manifest, error)
	Piece(ctx context.Context, address, model string, version int64, number int) ([]byte, error)
}

// Settings are those of one loader. A loader without an engine is a seeder: it
// holds the weights for others and has a link that carries more than theirs.
type Settings struct {
	Region  fleet.Region
	Regions map[fleet.FailureDomain]fleet.Region
	// Listen is where other loaders reach this one, Metrics where metrics are read.
	Listen  string
	Metrics string
	// Engine is the published address of the engine and Service its service;
	// empty for a seeder.
	Engine  string
	Service fleet.Service
	// Link is the rate at which pieces are sent to other loaders.
	Link pacing.BytesPerSecond
	// Uploads bounds the pieces that are sent at a time.
	Uploads int
	// PeerEvery is the time between two questions to gateways for versions.
	PeerEvery time.Duration
	// Seeds are addresses of gateways that know the others; SeederAddress
	// returns where the seeder on a gateway's machine is reached.
	Seeds         []string
	SeederAddress func(gateway string) string
	// Notices is where notices are sent from, and NoticeAddress returns where a
	// gateway takes them.
	Notices       string
	NoticeAddress func(gateway string) string
	// Within is how long after its publication a version is due everywhere.
	Within time.Duration
	// ListPrefixes are the prefixes of the published engines and services.
	ListPrefixes []string
	// PeerAddress returns where the loader beside an engine is reached.
	PeerAddress func(engine string) string
}

const (
	// fetchers is the number of requests in flight for pieces, askers of
	// questions to peers.
	fetchers = 4
	askers   = 4
	// reportSoon and reportIdle are the times between two reads of the engine's
	// report while something is to be done, and else.
	reportSoon = 100 * time.Millisecond
	reportIdle = time.Second
	// listEvery is the time between two reads of the roster during a transfer,
	// storeEvery after one that found neither a gateway nor the store.
	listEvery  = 500 * time.Millisecond
	storeEvery = 2 * time.Second
	// tick is the time between two looks at what has become possible during a
	// transfer, idleTick without one.
	tick     = 20 * time.Millisecond
	idleTick = 200 * time.Millisecond
)

// limits bound one transfer.
var limits = transfer.Limits{
	FollowedPeers:      16,
	Fetchers:           8,
	MaxFetches:         2,
	MaxInFlightPerPeer: 1,
	MaxInFlight:        fetchers,
	TakeoverDelay:      400 * time.Millisecond,
	StallTimeout:       time.Second,
	HaveInterval:       50 * time.Millisecond,
	HaveBusyInterval:   500 * time.Millisecond,
	MaxHaveWait:        200 * time.Millisecond,
	Copies:             3,
}

// Loader is one process of the role.
type Loader struct {
	settings Settings
	engine   Engine
	origin   Origin
	store    watcher.Source
	watcher  *watcher.Watcher
	views    *ring.Ring[*published.View]
	// events go to the keeper; jobs to the duties that carry them out.
	events  *ring.Ring[event]
	fetches *ring.Ring[fetch]
	asks    *ring.Ring[inquiry]
	works   *ring.Ring[work]
	lists   *ring.Ring[struct{}]
	notices *ring.Ring[notice]
	// pace holds how long the reporter pauses.
	pace    *ring.Ring[time.Duration]
	peers   *http.Client
	link    *pacing.Link
	logger  log.Logger
	metrics *loaderMetrics
}

// New returns a loader; Run starts it. The engine is nil for a seeder.
func New(s Settings, engine Engine, origin Origin, store watcher.Source, fallback watcher.Fallback, w *watcher.Watcher, logger log.Logger) *Loader {
	w.SetFallback(fallback, s.PeerEvery)
	return &Loader{
		settings: s,
		engine:   engine,
		origin:   origin,
		store:    store,
		watcher:  w,
		views:    w.Subscribe(),
		events:   ring.New[event](256, ring.Wait),
		fetches:  ring.New[fetch](fetchers, ring.Wait),
		asks:     ring.New[inquiry](64, ring.Refuse),
		works:    ring.New[work](4, ring.Refuse),
		lists:    ring.New[struct{}](1, ring.DropOldest),
		notices:  ring.New[notice](2, ring.DropOldest),
		pace:     ring.New[time.Duration](1, ring.DropOldest),
		peers:    &http.Client{Transport: sock.Transport(limits.MaxInFlightPerPeer)},
		link:     pacing.NewLink(s.Link),
		logger:   logger,
		metrics:  newMetrics(),
	}
}

// Run works until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx)
	l.watcher.Start(group)
	group.Go("keeper", l.runKeeper)
	group.Go("lister", l.runLister)
	if l.engine != nil {
		group.Go("reporter", l.runReporter)
		group.Go("worker", l.runWorker)
		group.Go("notifier", l.runNotifier)
	}
	for range fetchers {
		group.Go("fetcher", l.runFetcher)
	}
	for range askers {
		group.Go("asker", l.runAsker)
	}
	for name, h := range map[string]struct {
		address string
		handler http.Handler
	}{
		"peers":   {l.settings.Listen, l.peerHandler()},
		"metrics": {l.settings.Metrics, http.HandlerFunc(l.metrics.serve)},
	} {
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: peerTimeout, IdleTimeout: time.Minute}
		if err := wire.StartServer(group, name, h.address, server); err != nil {
			return err
		}
	}
	_ = l.logger.Log("event", "start", "role", "loader", "seeder", l.engine == nil, "listen", l.settings.Listen)
	err := group.Wait()
	_ = l.logger.Log("event", "stop", "err", err)
	return err
}
