package main

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"rattanspur.example/gateway"
	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/logline"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/viewsync"
	"rattanspur.example/lib/watcher"
	"rattanspur.example/loader"
	"rattanspur.example/platform"
)

const (
	// metricsOffset is the internal port, counted from the first, where metrics
	// are read; deploy/system.toml names it.
	metricsOffset = 1
	// peersOffset is that for messages between gateways.
	peersOffset = 2
	// seederMetricsOffset is that for the metrics of a seeder, which shares the
	// machine of a gateway.
	seederMetricsOffset = 3
)

// peerReads is how often a loader asks gateways for versions within the time in
// which a version must be in force. Each watch of the store has its price, and a
// watch that was cut in silence lasts long.
const peerReads = 4

const (
	// engineShare and seederShare are the parts of a machine's link that weights
	// may take; the rest is for requests and answers. An engine's link is narrow,
	// and its answers go the same way.
	engineShare = 0.5
	seederShare = 0.8
	// engineUploads and seederUploads bound the pieces that are sent at a time.
	engineUploads = 2
	seederUploads = 32
)

// gatewayGCPercent lets the heap grow to several times what is live: it is a
// few MB, and collections would take a fifth of the processor time.
const gatewayGCPercent = 400

type gatewayCommand struct{}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gatewayGCPercent)
	}
	debug.SetMemoryLimit(s.MemoryBytes / 2)
	out := logline.New(os.Stdout)
	logger := out.Logger(string(s.Instance))
	w := watcher.New(platform.NewStore(s.Store), "", s.Bounds.MaxConfigDelay, logger)
	g := gateway.New(gatewaySettings(s), platform.Codec{}, w, logger)
	return withLog(out, g, func(s *platform.Settings) {
		_ = logger.Log("event", "reload", "seeds", len(s.Seeds))
		g.SetSeeds(s.PeerAddresses(peersOffset))
	})
}

func gatewaySettings(s *platform.Settings) gateway.Settings {
	return gateway.Settings{
		Listen:       s.Listen,
		Ready:        s.Ready,
		Control:      s.Control,
		Metrics:      internal(s, metricsOffset),
		ReadyPath:    platform.ReadyPath,
		Peers:        internal(s, peersOffset),
		WantedPrefix: platform.DesiredVersionPrefix,
		Seeds:        s.PeerAddresses(peersOffset),
		Grace:        s.Bounds.Grace,
		Dispatch: dispatch.Settings{
			Region:  s.Region,
			Regions: s.Regions,
			Retries: retry.WindowLimits{
				Ratio: s.Bounds.RetryRatio, Reserve: s.Bounds.RetryReserve, Window: s.Bounds.RetryWindow,
			},
			OldVersionGrace: s.Bounds.OldVersionGrace,
			ColdOverrun:     s.Bounds.ColdOverrun,
			ColdSlack:       s.Bounds.ColdSlack,
			Random:          rand.IntN,
		},
	}
}

type loaderCommand struct{}

// Execute implements flags.Commander.
func (c *loaderCommand) Execute([]string) error {
	return runLoader(func(s *platform.Settings, l *loader.Settings) loader.Engine {
		l.Metrics = internal(s, metricsOffset)
		l.Engine, l.Service = s.Upstream, s.Service
		l.Link, l.Uploads = linkShare(s, engineShare), engineUploads
		return platform.NewEngine(s.Upstream)
	})
}

type seederCommand struct{}

// Execute implements flags.Commander.
func (c *seederCommand) Execute([]string) error {
	return runLoader(func(s *platform.Settings, l *loader.Settings) loader.Engine {
		l.Metrics = internal(s, seederMetricsOffset)
		l.Link, l.Uploads = linkShare(s, seederShare), seederUploads
		return nil
	})
}

// linkShare returns the rate of a part of the machine's link.
func linkShare(s *platform.Settings, share float64) pacing.BytesPerSecond {
	return pacing.BytesPerSecond(s.LinkBytesPerSecond * share)
}

func runLoader(fill func(s *platform.Settings, l *loader.Settings) loader.Engine) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.MemoryBytes / 2)
	out := logline.New(os.Stdout)
	logger := out.Logger(string(s.Instance))
	store := platform.NewStore(s.Store)
	w := watcher.New(store, platform.DesiredVersionPrefix, platform.MaxWatch, logger)
	l := loader.Settings{
		Region:        s.Region,
		Regions:       s.Regions,
		Listen:        internal(s, 0),
		Seeds:         s.Seeds,
		SeederAddress: s.LoaderAddress,
		Notices:       internal(s, peersOffset),
		NoticeAddress: func(gateway string) string { return s.InternalAddress(gateway, peersOffset) },
		Within:        s.Bounds.OldVersionGrace,
		PeerEvery:     s.Bounds.OldVersionGrace / peerReads,
		ListPrefixes:  platform.ListPrefixes,
		PeerAddress:   s.LoaderAddress,
	}
	engine := fill(s, &l)
	fallback := &viewsync.Fallback{Client: viewsync.NewClient(platform.Codec{}.Published), Addresses: s.Seeds}
	return withLog(out, loader.New(l, engine, platform.NewOrigin(), store, fallback, w, logger), func(s *platform.Settings) {
		// The seeds of a loader are used for a start; it goes on with those.
		_ = logger.Log("event", "reload", "seeds", len(s.Seeds))
	})
}

// watchSettings reads the settings again at each SIGHUP. Settings with findings
// are reported and change nothing.
func watchSettings(ctx context.Context, out *logline.Log, reload func(*platform.Settings)) error {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
		s, err := platform.LoadSettings()
		if err != nil {
			_ = out.Logger("").Log("event", "settings-unusable", "err", err)
			continue
		}
		reload(s)
	}
}

// internal returns the address of an internal port, counted from the first.
func internal(s *platform.Settings, offset int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPort+offset))
}

// withLog runs a role with the duties that write its log and that take in
// changed settings when SIGHUP says so.
func withLog(out *logline.Log, r role, reload func(*platform.Settings)) error {
	g := duty.NewGroup(context.Background())
	g.Go("log", out.Run)
	g.Go("reload", func(ctx context.Context) error { return watchSettings(ctx, out, reload) })
	err := run(r)
	g.Stop()
	_ = g.Wait()
	return err
}
