// Command standin runs one of the programs of package standin, by default on a
// free port of the loopback interface.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/standin"
)

type options struct {
	Listen string `long:"listen" description:"address to listen on" default:"127.0.0.1:0"`
}

type engineCommand struct {
	options
	TokenTime   time.Duration `long:"token-time" description:"time between two tokens" default:"10ms"`
	ChecksFence bool          `long:"checks-fence" description:"refuse orders with an old number"`
	WarmAfter   int           `long:"warm-after" description:"calls after which the engine reports warm" default:"0"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := standin.NewEngine(standin.EngineOptions{
		TokenTime: c.TokenTime, ChecksFence: c.ChecksFence, WarmAfter: c.WarmAfter,
	})
	go func() { _ = e.Run(context.Background()) }()
	return serve(c.Listen, e.Handler())
}

type proxyCommand struct {
	options
	Upstreams []string `long:"upstream" description:"base URL of an upstream; may be repeated" required:"true"`
}

// Execute implements flags.Commander.
func (c *proxyCommand) Execute([]string) error {
	return serve(c.Listen, standin.RoundRobin(c.Upstreams))
}

type configCommand struct{ options }

// Execute implements flags.Commander.
func (c *configCommand) Execute([]string) error {
	return serve(c.Listen, standin.NewConfigService().Handler())
}

type instancesCommand struct{ options }

// Execute implements flags.Commander.
func (c *instancesCommand) Execute([]string) error {
	return serve(c.Listen, (&standin.InstanceList{}).Handler())
}

type storeCommand struct {
	options
	Size       int    `long:"size" description:"size of the generated weights in bytes" default:"67108864"`
	ChunkBytes int64  `long:"chunk-bytes" description:"chunk size" default:"1048576"`
	Seed       uint64 `long:"seed" description:"seed of the generated weights" default:"1"`
	Rate       int64  `long:"rate" description:"rate of the link in bytes per second, 0 for no limit" default:"0"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	files := standin.GenerateWeights(c.Size, c.Seed)
	m, err := manifest.Build(standin.Tree(files), c.ChunkBytes, nil)
	if err != nil {
		return err
	}
	s, err := standin.NewStore(files, m, pacing.BytesPerSecond(c.Rate))
	if err != nil {
		return err
	}
	encoded, err := m.Encode()
	if err != nil {
		return err
	}
	fmt.Println("root", manifest.Root(encoded))
	return serve(c.Listen, s.Handler())
}

// serve prints the listen address and serves requests until SIGTERM or SIGINT.
func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	add := func(name, text string, command any) {
		if _, err := parser.AddCommand(name, text, "", command); err != nil {
			panic(err)
		}
	}
	add("engine", "Start a model engine", &engineCommand{})
	add("proxy", "Start a naive round-robin proxy", &proxyCommand{})
	add("config", "Start a configuration service", &configCommand{})
	add("instances", "Start an instance list", &instancesCommand{})
	add("store", "Start a weight store with generated weights", &storeCommand{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
