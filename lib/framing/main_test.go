package framing

import (
	"testing"

	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "1") }
