package loader

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/staging"
)

// Guards against a manifest of a peer with an impossible size of pieces: it bounds what is
// read from other peers into memory. Guards also against odd manifests that end the process.
func TestOddManifestsOfPeersAreRejected(t *testing.T) {
	manifest := func(size int) []byte {
		data, err := json.Marshal(staging.Manifest{Model: "m", Version: 2, PieceBytes: size, Digests: make([]fleet.Digest, 1)})
		require.NoError(t, err)
		return data
	}
	sound := string(manifest(100))
	_, err := decodeManifest([]byte(sound), "m", 2)
	require.NoError(t, err)
	for name, odd := range map[string]string{
		"no size":       string(manifest(0)),
		"negative size": string(manifest(-1)),
		"great size":    string(manifest(math.MaxInt)),
		"size of 1e400": strings.Replace(sound, ":100", ":1e400", 1),
		"other version": strings.Replace(sound, `"Version":2`, fmt.Sprint(`"Version":`, math.MaxInt64), 1),
		"nested":        strings.Repeat("[", 100_000),
		"null":          "null",
	} {
		_, err := decodeManifest([]byte(odd), "m", 2)
		assert.Error(t, err, name)
	}
}
