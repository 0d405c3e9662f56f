// Command bench runs the scenarios of the benchmark and prints their figures,
// one per line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"

	"github.com/jessevdk/go-flags"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/scenario"
)

type options struct {
	Binary string   `long:"binary" description:"path of the rattanspur binary" default:"bin/rattanspur"`
	Only   []string `long:"only" description:"run only this scenario; may be repeated"`
	Sizes  []int    `long:"size" description:"number of agents; may be repeated" default:"8" default:"32" default:"100"`
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
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the selected scenarios. A missed target is printed but is not an error.
func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report := figure.NewReport(os.Stdout)
	env := scenario.Env{Binary: o.Binary, Report: report, Sizes: o.Sizes}
	for _, s := range scenario.All() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.Name) {
			continue
		}
		report.Note("scenario %s", s.Name)
		if err := s.Run(ctx, env); err != nil {
			return fmt.Errorf("scenario %s: %w", s.Name, err)
		}
	}
	report.Note("missed targets: %v", report.Missed())
	return nil
}
