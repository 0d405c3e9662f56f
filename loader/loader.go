// Package loader implements the loader role, one process per model engine. A
// loader downloads the desired weights from other loaders and the origin,
// verifies them, stores them at the engine and orders the engine to load them.
package loader

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"rattanspur.example/lib/boottime"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/lib/wire"
)

// Engine is the client of the model engine on the same machine.
type Engine interface {
	Report(ctx context.Context) (staging.Report, error)
	// OrderLoad orders the engine to load the pieces stored at it. It fails if
	// the engine has accepted another order since the given sequence was read, and
	// with staging.ErrUnanswered if the engine did not answer.
	OrderLoad(ctx context.Context, model string, version, sequence int64) error
	// Put stores a piece at the engine, and Get reads one of at most limit bytes back. Get
	// fails with staging.ErrPieceAbsent or staging.ErrPieceTooLarge if the engine has no such
	// piece. Put fails with staging.ErrUnanswered if the engine may store the piece later.
	Put(ctx context.Context, model string, number int, data []byte) error
	Get(ctx context.Context, model string, number, limit int) ([]byte, error)
	// Held returns the numbers of the pieces stored at the engine.
	Held(ctx context.Context, model string) ([]int, error)
}

// Origin is the client of the origins from which weights are fetched.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version int64) (*staging.Manifest, error)
	// Piece returns a piece of at most limit bytes, or staging.ErrPieceTooLarge.
	Piece(ctx context.Context, address, model string, version int64, number, limit int) ([]byte, error)
}

// Settings configure one loader. A loader without an engine is a seeder: it holds
// the weights only to serve them to other loaders, over a faster link than theirs.
type Settings struct {
	Region  fleet.Region
	Regions map[fleet.FailureDomain]fleet.Region
	// Listen is the address that serves other loaders, Metrics the one that
	// serves metrics.
	Listen  string
	Metrics string
	// Engine is the published address of the engine, Service the engine's service.
	// Both are empty for a seeder.
	Engine  string
	Service fleet.Service
	// UploadRate limits the total rate of pieces sent to other loaders.
	UploadRate pacing.BytesPerSecond
	// MaxUploads is the maximum number of concurrent uploads.
	MaxUploads int
	// PeerPollInterval is the interval at which gateways are polled for versions.
	PeerPollInterval time.Duration
	// Seeds are the addresses of gateways that serve the roster. SeederAddress
	// returns the address of the seeder on a gateway's machine, or "" if it has
	// none.
	Seeds         []string
	SeederAddress func(gateway string) string
	// NoticeListen is the local UDP address from which notices are sent.
	// NoticeAddress returns the address at which a gateway receives them, or "" if
	// it has none.
	NoticeListen  string
	NoticeAddress func(gateway string) string
	// UpdateWindow is the time after the publication of a version within which
	// all engines must serve it: the time in which requests may still begin at an
	// older version.
	UpdateWindow time.Duration
	// ListPrefixes are the store prefixes of the published engines and services.
	ListPrefixes []string
	// PeerAddress returns the address of the loader of an engine, or "" if it has
	// none.
	PeerAddress func(engine string) string
}

const (
	// fetchers is the maximum number of in-flight requests for pieces, queriers
	// that of in-flight queries.
	fetchers = 4
	queriers = 4
	// fetchRing is the number of requests for pieces that may wait: those of two versions, and
	// of transfers that began anew beside the requests of the ones before.
	fetchRing = 4 * fetchers
	// activeReportInterval is the interval between two reads of the engine's
	// report during an update, idleReportInterval the one between updates.
	activeReportInterval = 100 * time.Millisecond
	idleReportInterval   = time.Second
	// rosterInterval is the interval between two reads of the roster during a
	// transfer. rosterRetryInterval is the delay after a read that reached neither
	// a gateway nor the store.
	rosterInterval      = 500 * time.Millisecond
	rosterRetryInterval = 2 * time.Second
	// tickInterval is the interval at which the coordinator advances the copies
	// during an update, idleTickInterval the one between updates.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
)

// limits are the limits of one transfer.
var limits = transfer.Limits{
	FollowedPeers:      16,
	Fetchers:           8,
	MaxFetches:         2,
	MaxInFlightPerPeer: 1,
	MaxInFlight:        fetchers,
	TakeoverDelay:      400 * time.Millisecond,
	OverdueDelay:       time.Second,
	StallTimeout:       sock.MaxSilence,
	HaveInterval:       50 * time.Millisecond,
	HaveBusyInterval:   500 * time.Millisecond,
	MaxHaveWait:        200 * time.Millisecond,
	Copies:             3,
}

// Loader is a process of the loader role. Its goroutines are the duties that Run
// starts.
type Loader struct {
	settings Settings
	engine   Engine
	origin   Origin
	store    watcher.Source
	watcher  *watcher.Watcher
	views    *ring.Ring[*published.View]
	// events go to the coordinator; the rings below carry its requests to the
	// duties that do the I/O.
	events  *ring.Ring[event]
	fetches *ring.Ring[fetch]
	queries *ring.Ring[query]
	tasks   *ring.Ring[engineTask]
	// checks go to the piece verifiers, and their results to the engine worker.
	checks         *ring.Ring[pieceCheck]
	checked        *ring.Ring[checkedPiece]
	rosterRequests *ring.Ring[struct{}]
	notices        *ring.Ring[notice]
	// reportIntervals carries a changed poll interval to the report reader.
	reportIntervals *ring.Ring[time.Duration]
	peers           *http.Client
	uploadLink      *pacing.Link
	// uptime is a clock that also counts while the machine is suspended.
	uptime  func() time.Duration
	logger  log.Logger
	metrics *loaderMetrics
}

// New returns a loader that Run starts. The engine is nil for a seeder.
func New(s Settings, engine Engine, origin Origin, store watcher.Source, fallback watcher.Fallback, w *watcher.Watcher, logger log.Logger) *Loader {
	w.SetFallback(fallback, s.PeerPollInterval)
	return &Loader{
		settings:        s,
		engine:          engine,
		origin:          origin,
		store:           store,
		watcher:         w,
		views:           w.Subscribe(),
		events:          ring.New[event](256, ring.Wait),
		fetches:         ring.New[fetch](fetchRing, ring.Wait),
		queries:         ring.New[query](64, ring.Refuse),
		tasks:           ring.New[engineTask](4, ring.Refuse),
		checks:          ring.New[pieceCheck](maxParallelReads, ring.Wait),
		checked:         ring.New[checkedPiece](maxParallelReads, ring.Wait),
		rosterRequests:  ring.New[struct{}](1, ring.DropOldest),
		notices:         ring.New[notice](2, ring.DropOldest),
		reportIntervals: ring.New[time.Duration](1, ring.DropOldest),
		peers:           &http.Client{Transport: relay.NewTransport(sock.Transport(limits.MaxInFlightPerPeer))},
		uploadLink:      pacing.NewLink(s.UploadRate),
		uptime:          boottime.Now,
		logger:          logger,
		metrics:         newMetrics(),
	}
}

// Run starts all duties and servers and blocks until ctx ends or one of them
// fails. It returns the error of the one that failed.
func (l *Loader) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx)
	l.watcher.Start(group)
	group.Go("coordinator", l.runCoordinator)
	group.Go("roster reader", l.runRosterReader)
	if l.engine != nil {
		group.Go("report reader", l.runReportReader)
		group.Go("engine worker", l.runEngineWorker)
		for range maxParallelReads {
			group.Go("piece verifier", l.runPieceVerifier)
		}
		group.Go("notifier", l.runNotifier)
	}
	for range fetchers {
		group.Go("piece fetcher", l.runFetcher)
	}
	for range queriers {
		group.Go("querier", l.runQuerier)
	}
	for name, h := range map[string]struct {
		address string
		handler http.Handler
	}{
		"peers":   {l.settings.Listen, l.peerHandler()},
		"metrics": {l.settings.Metrics, http.HandlerFunc(l.metrics.serve)},
	} {
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: sock.MaxSilence, IdleTimeout: time.Minute}
		if err := wire.StartServer(group, name, h.address, server); err != nil {
			return err
		}
	}
	_ = l.logger.Log("event", "start", "role", "loader", "seeder", l.engine == nil, "listen", l.settings.Listen)
	err := group.Wait()
	_ = l.logger.Log("event", "stop", "err", err)
	return err
}
