package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
