// Package proptest sets fixed seeds for property tests.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a rapid seed, which the flag
// -rapid.seed overrides.
func Main(m *testing.M, seed string) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
