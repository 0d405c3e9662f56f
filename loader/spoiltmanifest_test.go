package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

// wrongDigest changes one digit of the digest of a piece.
func wrongDigest(piece int) func(*staging.Manifest) {
	return func(m *staging.Manifest) { m.Digests[piece][3] ^= 0x10 }
}

// Guards against weights that never reach any engine because the first manifest that the
// origin sent is wrong, which no source can tell: each sound piece is found corrupt.
func TestSpoiltManifestsAreCorrected(t *testing.T) {
	for name, spoil := range map[string][]func(*staging.Manifest){
		"one digest":                {wrongDigest(3)},
		"the first piece's digest":  {wrongDigest(0)},
		"the last piece's digest":   {wrongDigest(testPieces - 1)},
		"two manifests":             {wrongDigest(3), wrongDigest(7)},
		"the same digest twice":     {wrongDigest(3), wrongDigest(3)},
		"three manifests":           {wrongDigest(3), wrongDigest(7), wrongDigest(2)},
		"size of the pieces":        {func(m *staging.Manifest) { m.PieceBytes /= 2 }},
		"digests of several pieces": {func(m *staging.Manifest) { wrongDigest(1)(m); wrongDigest(8)(m) }},
		"a digest is missing":       {func(m *staging.Manifest) { m.Digests = m.Digests[1:] }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, emptyEngine(1), emptyEngine(2), emptyEngine(3))
			c.origin.spoil = spoil
			c.run()
			c.awaitLoaded(firstVersion)
		})
	}
}

// Guards against a loader that starts anew and takes the wrong manifest from a peer again:
// peers that have the same one are passed over.
func TestPeersWithTheSameWrongManifestArePassedOver(t *testing.T) {
	wrong, sound := manifestOf(2), manifestOf(2)
	wrongDigest(3)(wrong)
	peer := func(m *staging.Manifest) transfer.Source {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { wire.WriteJSON(w, m) }))
		t.Cleanup(server.Close)
		return transfer.Source{Peer: fleet.InstanceID(strings.TrimPrefix(server.URL, "http://"))}
	}
	var check staging.ManifestCheck
	for range 2 {
		check.Reject(time.Unix(1000, 0), 3, sound.Digests[3])
	}
	l := &Loader{peers: http.DefaultClient}
	q := query{version: 2, model: testModel, doubt: check.Doubt(wrong), sources: []transfer.Source{peer(wrong), peer(wrong), peer(sound)}}
	read := l.queryManifest(context.Background(), q).(manifestRead)
	require.NoError(t, read.err)
	require.Equal(t, sound, read.manifest)
	require.Same(t, wrong, read.doubted)
	q.sources = q.sources[:2]
	require.ErrorIs(t, l.queryManifest(context.Background(), q).(manifestRead).err, errNotCorrected)
}
