// Command rattanspur is the one binary that ships: it holds every role and the
// commands for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	"rattanspur.example/agent"
	"rattanspur.example/entry"
	"rattanspur.example/lib/settings"
)

// exitFailure is the exit code of a command that failed.
const exitFailure = 1

type settingsOption struct {
	Settings string `short:"s" long:"settings" description:"INI file with the settings" required:"true"`
}

type entryCommand struct{ settingsOption }

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	return run(entry.New(s, newLogger(s.Node)))
}

type agentCommand struct{ settingsOption }

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	return run(agent.New(s, newLogger(s.Node)))
}

// role is a long-lived process.
type role interface {
	Run(ctx context.Context) error
}

func run(r role) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return r.Run(ctx)
}

func newLogger(n settings.Node) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(n.LogLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", n.Self.ID)
}

func main() {
	parser := flags.NewNamedParser("rattanspur", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, text string, command any) {
		if _, err := parser.AddCommand(name, text, "", command); err != nil {
			panic(err)
		}
	}
	add("entry", "Run an entry", &entryCommand{})
	add("agent", "Run an agent beside an upstream", &agentCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(err))
	}
}

// report prints an error and returns the exit code.
func report(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
