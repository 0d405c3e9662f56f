// Package proptest fixes the seeds of property tests.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a seed, which -rapid.seed overrides.
func Main(m *testing.M, seed string) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
