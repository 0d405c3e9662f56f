package loader

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// Guards against a loader that was paused while a version was published and keeps its own
// later observation as the begin of the update window, although gateways report an earlier one.
func TestEarlierPublicationMovesTheUpdateSlot(t *testing.T) {
	const updateWindow = 8 * time.Second
	var lines bytes.Buffer
	l := &Loader{logger: log.NewLogfmtLogger(&lines), rosterRequests: ring.New[struct{}](1, ring.DropOldest)}
	c := &coordinator{loader: l, model: "m", copies: map[int64]*versionCopy{}, core: staging.New("m", 2, updateWindow)}
	c.core.SetEngines("a", []string{"a"})
	c.core.SetReport(staging.Report{Copies: []published.Copy{{Model: "m", Version: 1, Layers: 2}}})
	publishedAt := time.Unix(1000, 0)
	setPublished := func(at time.Time) time.Time {
		d := published.DesiredVersion{Model: "m", Version: 2, Published: published.At(at)}
		c.setDesired(context.Background(), &published.View{Desired: map[string]published.DesiredVersion{"m": d}})
		return c.core.SlotStart()
	}
	late := setPublished(publishedAt.Add(9 * time.Second))
	require.Equal(t, late.Add(-9*time.Second), setPublished(publishedAt))
	require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("version-named")), "only a changed version is logged")
}

// Guards against a piece or a manifest that arrives after its copy was dropped and the version
// became the target again: with another manifest, as from a faulty peer, the number of the
// piece may be outside the new copy, which ended the process.
func TestAnswersForAnEarlierCopyAreIgnored(t *testing.T) {
	l := &Loader{logger: log.NewNopLogger(), metrics: newMetrics()}
	manifest := func(pieces int) *staging.Manifest {
		return &staging.Manifest{Model: "m", Version: 2, PieceBytes: 1, Digests: make([]fleet.Digest, pieces)}
	}
	c := &coordinator{loader: l, model: "m", copies: map[int64]*versionCopy{}}
	now := time.Unix(1000, 0)
	vc := c.ensureCopy(now, 2)
	c.handleManifest(now, manifestRead{version: 2, manifest: manifest(1)})
	vc.core = c.newTransfer(now, vc)
	earlier := pieceRead{version: 2, manifest: manifest(5), data: []byte("x"), ended: transfer.ChunkEnded{Index: 4, Outcome: transfer.Verified}}
	require.NotPanics(t, func() { c.handlePiece(context.Background(), now, earlier) })
	earlier.ended.Index = 0
	c.handlePiece(context.Background(), now, earlier)
	require.Zero(t, vc.pieces, "the piece belongs to another manifest")
	c.handleManifest(now, manifestRead{version: 2, manifest: manifest(7)})
	require.Len(t, vc.data, 1, "the transfer of the first manifest has begun")
}
