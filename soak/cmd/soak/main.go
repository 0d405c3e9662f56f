// Command soak runs soaks of rattanspur with random faults on loopback and prints
// the guarantees that were violated. It exits with status 1 if any was, or if a
// soak could not be carried out, and with status 2 on wrong flags or --help.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"rattanspur.example/soak"
	"rattanspur.example/standin/program"
)

// options are the command-line flags.
type options struct {
	Seed          uint64        `long:"seed" description:"first seed" default:"1"`
	Seeds         int           `long:"seeds" description:"number of seeds, one after the other" default:"1"`
	Length        time.Duration `long:"length" description:"time with faults in each soak" default:"20s"`
	PauseLength   time.Duration `long:"pause-length" description:"time after that with pauses of replicas and planned stops" default:"20s"`
	Gateways      int           `long:"gateways" description:"number of gateways" default:"3"`
	Engines       int           `long:"engines" description:"number of model engines" default:"5"`
	PlainReplicas int           `long:"desks" description:"number of plain replicas" default:"3"`
	Callers       int           `long:"callers" description:"number of callers" default:"16"`
	Untimed       bool          `long:"untimed" description:"leave out the promises with a time"`
	Naive         bool          `long:"naive" description:"put the naive baseline in the place of the gateways"`
	Logs          string        `long:"logs" description:"folder for the logs of the processes" default:"soak-logs"`
	Verbose       bool          `long:"verbose" description:"print the faults"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed, err := run(ctx, &o)
	stop()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	case failed > 0:
		fmt.Printf("%d of %d seeds broke a promise\n", failed, o.Seeds)
		os.Exit(1)
	}
}

// run builds the programs and runs one soak after the other. It returns the number
// of seeds with a violation. It removes the logs of a soak without one.
func run(ctx context.Context, o *options) (failed int, err error) {
	dir, err := os.MkdirTemp("", "rattanspur-soak-build-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := program.Build(dir, program.Product)
	if err != nil {
		return 0, err
	}
	gateway := binary
	if o.Naive {
		if gateway, err = program.Build(dir, "soak/cmd/naive"); err != nil {
			return 0, err
		}
	}
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		logs := filepath.Join(o.Logs, fmt.Sprint(seed))
		if err := os.MkdirAll(logs, 0o750); err != nil {
			return failed, err
		}
		out := io.Discard
		if o.Verbose {
			out = os.Stdout
		}
		r, err := soak.Run(ctx, soak.Options{
			Seed: seed, Binary: binary, Gateway: gateway, Logs: logs, Gateways: o.Gateways, Engines: o.Engines,
			PlainReplicas: o.PlainReplicas, Callers: o.Callers, Weights: true, Bursts: true, Length: o.Length, PauseLength: o.PauseLength, Timed: !o.Untimed, Out: out,
		})
		if err != nil {
			return failed, err
		}
		fmt.Printf("seed %d: %d actions, %d attempts, %d runs, %d answers, %d broken\n",
			seed, r.Actions, r.Attempts, r.Runs, r.Answers, len(r.Violations))
		for _, b := range r.Violations {
			fmt.Println("  " + b)
		}
		if len(r.Violations) > 0 {
			failed++
			continue
		}
		_ = os.RemoveAll(logs)
	}
	return failed, nil
}
