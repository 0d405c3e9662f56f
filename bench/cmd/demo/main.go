// Command demo demonstrates the system on loopback. It starts stand-ins, two
// entries and twelve agents in three failure domains, and distributes a model.
// Under traffic, it then switches to a second version and takes a failure domain
// out of service and back in. It prints each step and exits.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/standin"
)

const (
	demoAgents  = 12
	demoEntries = 2
	// demoTimeout bounds the steps of the demonstration.
	demoTimeout = 3 * time.Minute
	// domainOutTime is how long the failure domain is out of service.
	domainOutTime = 3 * time.Second
)

type options struct {
	Binary     string `long:"binary" description:"path of the rattanspur binary" default:"bin/rattanspur"`
	ModelBytes int    `long:"model-bytes" description:"size of the generated model" default:"67108864"`
	Keep       bool   `long:"keep" description:"keep everything running until interrupted"`
	Logs       bool   `long:"logs" description:"print what the processes log"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := lab.Start(labOptions(o))
	if err != nil {
		return err
	}
	defer l.Close()
	limited, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := (&demo{lab: l, start: time.Now()}).run(limited); err != nil {
		return err
	}
	if o.Keep {
		printAddresses(l)
		<-ctx.Done()
	}
	return nil
}

func labOptions(o options) lab.Options {
	options := lab.Options{
		Binary:     o.Binary,
		Agents:     demoAgents,
		Entries:    demoEntries,
		Regions:    []string{"north", "middle", "south"},
		ModelBytes: o.ModelBytes,
		ChunkBytes: 1 << 20,
		Limits:     config.Limits{Cold: 2, Warm: 32, RampStep: 4, MaxUnavailable: 4},
		Engine:     standin.EngineOptions{TokenTime: 5 * time.Millisecond, ChecksFence: true},
	}
	if o.Logs {
		options.Logs = os.Stderr
	}
	return options
}

func printAddresses(l *lab.Lab) {
	fmt.Println("\nrunning until interrupted")
	fmt.Println("configuration service", l.ConfigURL())
	fmt.Println("instance list        ", l.InstancesURL())
	for _, p := range l.Entries {
		fmt.Printf("%-21s http://%s\n", p.ID, p.Address)
	}
	fmt.Println("customer key", lab.CustomerKey, "operator key", lab.OperatorKey, "peer key", lab.PeerKey)
	fmt.Printf("RATTANSPUR_PEER_KEY=%s bin/rattanspur timeline --instances-url %s\n", lab.PeerKey, l.InstancesURL())
}
