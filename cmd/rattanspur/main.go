// Command rattanspur is the only binary that is shipped. It contains all roles
// and the commands for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	"rattanspur.example/agent"
	"rattanspur.example/entry"
	"rattanspur.example/lib/settings"
)

// Exit codes, as docs/operators.md documents them.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// errSilent makes a command exit with exitFailure without printing an error. It
// is returned if the command has already printed the failure.
var errSilent = errors.New("command failed")

type settingsOption struct {
	Settings string `short:"s" long:"settings" description:"INI file with the settings" required:"true"`
}

type entryCommand struct{ settingsOption }

const (
	// entryGCPercent lets the heap of an entry grow to five times the live heap
	// before a garbage collection. The live heap is a few MB, so at the default of
	// 100 collections take a fifth of the CPU time.
	entryGCPercent = 400
	// entryMemoryLimit makes garbage collections more frequent before the process
	// reaches the 256 MB that a node may use.
	entryMemoryLimit = 192 << 20
)

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(entryGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(entryMemoryLimit)
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

// role is the long-running part of a process. Run stops when ctx ends.
type role interface {
	Run(ctx context.Context) error
}

// run runs a role until the process receives SIGTERM or SIGINT.
func run(r role) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return r.Run(ctx)
}

// newLogger returns a logger to standard error with the level of the settings.
func newLogger(n settings.Node) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(n.LogLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", n.Self.ID)
}

type settingsCommand struct{}

// Execute implements flags.Commander.
func (c *settingsCommand) Execute([]string) error {
	page, err := settings.Markdown()
	fmt.Print(page)
	return err
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		goVersion = info.GoVersion
	}
	fmt.Printf("rattanspur %s (%s)\n", version, goVersion)
	return nil
}

// command is a subcommand of the program.
type command struct {
	name    string
	summary string
	data    flags.Commander
}

func commands() []command {
	return []command{
		{"entry", "Run an entry", &entryCommand{}},
		{"agent", "Run an agent beside an upstream", &agentCommand{}},
		{"loader", "Run an agent that loads weights on the users' platform", &loaderCommand{}},
		{"seeder", "Run a seeder of weights on the users' platform", &seederCommand{}},
		{"gateway", "Run an entry on the users' platform", &gatewayCommand{}},
		{"status", "Show the state of running processes", &statusCommand{}},
		{"timeline", "Show the merged events of running processes", &timelineCommand{}},
		{"check", "Check a settings file or a configuration document", &checkCommand{}},
		{"explain", "Explain where an entry would route a request", &explainCommand{}},
		{"explain-placement", "Ask a running gateway where a request would go now", &explainPlacementCommand{}},
		{"explain-request", "Show the path of a request from logs", &explainRequestCommand{}},
		{"manifest", "Write the manifest of a folder with weights", &manifestCommand{}},
		{"settings", "Show all settings with their defaults", &settingsCommand{}},
		{"version", "Show the version", &versionCommand{}},
	}
}

func main() {
	parser := flags.NewNamedParser("rattanspur", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.summary, "", c.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(report(err))
}

// report prints an error, except errSilent, and returns the exit code.
func report(err error) int {
	var flagError *flags.Error
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitSuccess
	case errors.As(err, &flagError):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case !errors.Is(err, errSilent):
		fmt.Fprintln(os.Stderr, err)
	}
	return exitFailure
}
