package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/manifest"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

const bytesPerMiB = 1 << 20

type manifestCommand struct {
	ChunkBytes int64  `long:"chunk-bytes" description:"size of a chunk in bytes" default:"1048576"`
	Output     string `short:"o" long:"output" description:"file to write the manifest to; standard output if absent"`
	Args       struct {
		Dir string `positional-arg-name:"DIR" description:"folder with the weights"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It prints the root digest, which the
// published configuration has to name, to standard error.
func (c *manifestCommand) Execute([]string) error {
	m, err := manifest.Build(os.DirFS(c.Args.Dir), c.ChunkBytes, printProgress())
	if err != nil {
		return err
	}
	encoded, err := m.Encode()
	if err != nil {
		return err
	}
	if err := c.write(encoded); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "root %s files %d bytes %d\n", manifest.Root(encoded), len(m.Files), m.Size())
	return nil
}

func (c *manifestCommand) write(encoded []byte) error {
	if c.Output != "" {
		return eris.Wrap(os.WriteFile(c.Output, encoded, 0o644), "write manifest")
	}
	_, err := os.Stdout.Write(encoded)
	return err
}

// printProgress returns a callback that prints progress lines to standard error.
func printProgress() manifest.Progress {
	last := time.Now()
	return func(path string, done int64) {
		if time.Since(last) < progressInterval {
			return
		}
		last = time.Now()
		fmt.Fprintf(os.Stderr, "%s: %d MiB read\n", path, done/bytesPerMiB)
	}
}
