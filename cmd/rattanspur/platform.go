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
	// metricsOffset is the offset of the port for metrics from the first internal
	// port. It must match deploy/system.toml.
	metricsOffset = 1
	// peersOffset is the offset of the UDP port for messages between gateways and
	// for notices from loaders.
	peersOffset = 2
	// seederMetricsOffset is the offset of the port for the metrics of a seeder,
	// which runs on the same machine as a gateway.
	seederMetricsOffset = 3
)

// peerPolls is how often a loader polls gateways for versions within the time
// until a version must be in force. It does so because each watch of the store
// has a cost, and a watch whose connection was lost without an error stays open
// for a long time.
const peerPolls = 4

const (
	// engineLinkShare and seederLinkShare are the fractions of a machine's link
	// bandwidth that uploads of weights may use; the rest is for requests and
	// responses. The link of an engine's machine is narrow and also carries the
	// engine's responses.
	engineLinkShare = 0.5
	seederLinkShare = 0.8
	// engineUploads and seederUploads bound the pieces that are sent concurrently.
	engineUploads = 2
	seederUploads = 32
)

// gatewayGCPercent lets the heap grow to five times the live heap before a
// garbage collection. The live heap is a few MB, so at the default of 100
// collections would take a fifth of the CPU time.
const gatewayGCPercent = 400

type gatewayCommand struct{}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	hangups := notifyHangups()
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
	w := watcher.New(platform.NewStore(s.Store), "", s.Bounds.WatchWait(), logger)
	w.SetSettleTime(s.Bounds.Contact)
	if s.Heartbeat > 0 {
		w.SetRenewalInterval(s.Heartbeat)
	}
	g := gateway.New(gatewaySettings(s), platform.Codec{}, w, logger)
	return runWithLog(out, hangups, g, func(s *platform.Settings) {
		_ = logger.Log("event", "reload", "seeds", len(s.Seeds))
		g.SetSeeds(s.PeerAddresses(peersOffset))
	})
}

func gatewaySettings(s *platform.Settings) gateway.Settings {
	return gateway.Settings{
		Listen:      s.Listen,
		Ready:       s.Ready,
		Control:     s.Control,
		Metrics:     internalAddress(s, metricsOffset),
		ReadyPath:   platform.ReadyPath,
		Peers:       internalAddress(s, peersOffset),
		Seeds:       s.PeerAddresses(peersOffset),
		GracePeriod: s.Bounds.Grace,
		MemoryBytes: s.MemoryBytes,
		MaxFiles:    s.MaxFiles,
		Dispatch: dispatch.Settings{
			Self:    s.Listen,
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
		l.Metrics = internalAddress(s, metricsOffset)
		l.Engine, l.Service = s.Upstream, s.Service
		l.UploadRate, l.MaxUploads = linkShare(s, engineLinkShare), engineUploads
		return platform.NewEngine(s.Upstream)
	})
}

type seederCommand struct{}

// Execute implements flags.Commander.
func (c *seederCommand) Execute([]string) error {
	return runLoader(func(s *platform.Settings, l *loader.Settings) loader.Engine {
		l.Metrics = internalAddress(s, seederMetricsOffset)
		l.UploadRate, l.MaxUploads = linkShare(s, seederLinkShare), seederUploads
		return nil
	})
}

// linkShare returns a fraction of the bandwidth of the machine's link.
func linkShare(s *platform.Settings, share float64) pacing.BytesPerSecond {
	return pacing.BytesPerSecond(s.LinkBytesPerSecond * share)
}

// runLoader runs a loader or a seeder. configure completes its settings and
// returns its engine, or nil for a seeder.
func runLoader(configure func(s *platform.Settings, l *loader.Settings) loader.Engine) error {
	hangups := notifyHangups()
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.MemoryBytes / 2)
	out := logline.New(os.Stdout)
	logger := out.Logger(string(s.Instance))
	store := platform.NewStore(s.Store)
	w := watcher.New(store, platform.DesiredVersionPrefix, platform.MaxWatch, logger)
	w.SetSettleTime(s.Bounds.Contact)
	l := loader.Settings{
		Region:           s.Region,
		Regions:          s.Regions,
		Listen:           internalAddress(s, 0),
		Seeds:            s.Seeds,
		SeederAddress:    s.LoaderAddress,
		NoticeListen:     internalAddress(s, peersOffset),
		NoticeAddress:    func(gateway string) string { return s.InternalAddress(gateway, peersOffset) },
		UpdateWindow:     s.Bounds.OldVersionGrace,
		PeerPollInterval: s.Bounds.OldVersionGrace / peerPolls,
		ListPrefixes:     platform.ListPrefixes,
		PeerAddress:      s.LoaderAddress,
	}
	engine := configure(s, &l)
	fallback := &viewsync.Fallback{Client: viewsync.NewClient(platform.Codec{}.Published), Addresses: s.Seeds}
	return runWithLog(out, hangups, loader.New(l, engine, platform.NewOrigin(), store, fallback, w, logger), func(s *platform.Settings) {
		// A loader uses its seeds only when it starts, so changed ones have no effect.
		_ = logger.Log("event", "reload", "seeds", len(s.Seeds))
	})
}

// notifyHangups returns a channel that receives SIGHUP from now on. A command calls it before
// it reads its settings: a signal that comes while the process starts would terminate it.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reads the settings again at each SIGHUP and passes them to reload,
// until ctx ends. Settings with findings are logged and have no effect.
func watchSettings(ctx context.Context, out *logline.Log, hangups <-chan os.Signal, reload func(*platform.Settings)) error {
	for {
		select {
		case <-hangups:
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

// internalAddress returns the address of an internal port of this machine. The
// offset counts from the first internal port.
func internalAddress(s *platform.Settings, offset int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPort+offset))
}

// runWithLog runs a role together with two duties: one writes the log, the other
// reloads the settings at SIGHUP.
//
// Further signals to stop have no effect, also while the log is written out: the process
// is stopping already.
func runWithLog(out *logline.Log, hangups <-chan os.Signal, r role, reload func(*platform.Settings)) error {
	further := make(chan os.Signal, 1)
	signal.Notify(further, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(further)
	g := duty.NewGroup(context.Background())
	g.Go("log writer", out.Run)
	g.Go("settings reload", func(ctx context.Context) error { return watchSettings(ctx, out, hangups, reload) })
	err := run(r)
	g.Stop()
	_ = g.Wait()
	return err
}
