package wire

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an agent with an impossible load: one with a limit far above the others
// gets all calls.
func TestOddLoadsAreNoLoads(t *testing.T) {
	h := http.Header{}
	sound := Load{Limit: 8, InFlight: 2, Warm: true}
	SetLoad(h, sound)
	got, ok := GetLoad(h)
	require.True(t, ok)
	require.Equal(t, sound, got)
	for _, odd := range []string{
		`{"limit":4611686018427387904}`, `{"limit":-1}`, `{"limit":1e400}`, `{"limit":"8"}`,
		`{"limit":8,"in_flight":9223372036854775807}`, `{"limit":8,"in_flight":-1}`, "8", "",
	} {
		h.Set(HeaderLoad, odd)
		_, ok := GetLoad(h)
		assert.False(t, ok, odd)
	}
}
