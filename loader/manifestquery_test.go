package loader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/transfer"
)

// Pattern: the origin is away while a version is published to hundreds of engines.
// Guards against loaders that all query the origin again and again: it accepts few
// connections, and the seeders that fetch the weights need them.
func TestFewLoadersQueryTheOriginDuringAnOutage(t *testing.T) {
	const (
		engines = 200
		// sampled is the distance between two engines whose loaders are played.
		sampled = 4
		// An origin that accepts 48 connections and keeps each for 0.3 s takes 1,600
		// queries in 10 s; half of them are left to those who fetch the weights.
		maxQueries = 800
	)
	roster := peering.Roster{Model: "m", Origin: "origin", OriginRegion: "north"}
	for i := range engines {
		roster.Engines = append(roster.Engines, peering.EngineLocation{Address: fmt.Sprintf("engine-%d", i), Region: "south"})
	}
	same := func(address string) string { return address }
	queried := 0
	for i := 0; i < engines; i += sampled {
		l := &Loader{settings: Settings{Listen: fmt.Sprintf("engine-%d", i), Region: "south", PeerAddress: same}, queries: ring.New[query](1, ring.Refuse)}
		l.engine = &fakeEngine{}
		c := &coordinator{loader: l, model: "m", roster: roster}
		now := time.Unix(1000, 0)
		vc := &versionCopy{version: 2, startedAt: now}
		for range 50 {
			now = now.Add(4 * manifestRetryInterval)
			c.requestManifest(context.Background(), now, vc)
			q, err := l.queries.Take(context.Background())
			require.NoError(t, err)
			if slices.Contains(q.sources, transfer.Source{Kind: transfer.FromOrigin}) {
				queried++
			}
			vc.manifestRequested = false
		}
	}
	require.LessOrEqual(t, queried*sampled, maxQueries, "queries of the origin in 10 s")
}
