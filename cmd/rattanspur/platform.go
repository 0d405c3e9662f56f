package main

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"rattanspur.example/gateway"
	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/logline"
	"rattanspur.example/lib/retry"
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
	w := watcher.New(platform.NewStore(s.Store), "", logger)
	g := gateway.New(gatewaySettings(s), platform.Codec{}, w, logger)
	return withLog(out, g)
}

func gatewaySettings(s *platform.Settings) gateway.Settings {
	return gateway.Settings{
		Instance:  s.Instance,
		Listen:    s.Listen,
		Ready:     s.Ready,
		Control:   s.Control,
		Metrics:   internal(s, metricsOffset),
		ReadyPath: platform.ReadyPath,
		Peers:     internal(s, peersOffset),
		Seeds:     s.Peers(peersOffset),
		Grace:     s.Bounds.Grace,
		Dispatch: dispatch.Settings{
			Region:  s.Region,
			Regions: s.Regions,
			Retries: retry.WindowLimits{
				Ratio: s.Bounds.RetryRatio, Reserve: s.Bounds.RetryReserve, Window: s.Bounds.RetryWindow,
			},
			VersionWithin: s.Bounds.VersionWithin,
			ColdOverrun:   s.Bounds.ColdOverrun,
			ColdSlack:     s.Bounds.ColdSlack,
			Random:        rand.IntN,
		},
	}
}

type loaderCommand struct{}

// Execute implements flags.Commander.
func (c *loaderCommand) Execute([]string) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.MemoryBytes / 2)
	out := logline.New(os.Stdout)
	logger := out.Logger(string(s.Instance))
	store := platform.NewStore(s.Store)
	w := watcher.New(store, platform.WantedPrefix, logger)
	l := loader.New(loader.Settings{
		Instance:     s.Instance,
		Domain:       s.Domain,
		Region:       s.Region,
		Regions:      s.Regions,
		Listen:       s.LoaderAddress(s.Upstream),
		Metrics:      internal(s, metricsOffset),
		Service:      s.Service,
		Within:       s.Bounds.VersionWithin,
		ListPrefixes: platform.ListPrefixes,
		PeerAddress:  s.LoaderAddress,
	}, platform.NewEngine(s.Upstream), platform.NewOrigin(), store, w, logger)
	return withLog(out, l)
}

// internal returns the address of an internal port, counted from the first.
func internal(s *platform.Settings, offset int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPort+offset))
}

// withLog runs a role with the duty that writes its log.
func withLog(out *logline.Log, r role) error {
	g := duty.NewGroup(context.Background())
	g.Go("log", out.Run)
	err := run(r)
	g.Stop()
	_ = g.Wait()
	return err
}
