package once

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
