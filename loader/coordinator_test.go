package loader

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
)

// Guards against a loader that was paused while a version was published and keeps its own
// later observation as the begin of the update window, although gateways report an earlier one.
func TestEarlierFirstSeenMovesTheUpdateSlot(t *testing.T) {
	const updateWindow = 8 * time.Second
	var lines bytes.Buffer
	l := &Loader{logger: log.NewLogfmtLogger(&lines), rosterRequests: ring.New[struct{}](1, ring.DropOldest)}
	c := &coordinator{loader: l, model: "m", copies: map[int64]*versionCopy{}, core: staging.New("m", 2, updateWindow)}
	c.core.SetEngines("a", []string{"a"})
	c.core.SetReport(staging.Report{Copies: []published.Copy{{Model: "m", Version: 1, Layers: 2}}})
	publishedAt := time.Unix(1000, 0)
	setFirstSeen := func(at time.Time) time.Time {
		d := published.DesiredVersion{Model: "m", Version: 2, FirstSeen: at}
		c.setDesired(context.Background(), &published.View{Desired: map[string]published.DesiredVersion{"m": d}})
		return c.core.SlotStart()
	}
	late := setFirstSeen(publishedAt.Add(9 * time.Second))
	require.Equal(t, late.Add(-9*time.Second), setFirstSeen(publishedAt))
	require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("version-named")), "only a changed version is logged")
}
