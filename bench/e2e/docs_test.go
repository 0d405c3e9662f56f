package e2e

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
)

var metricName = regexp.MustCompile(`(?m)^(rattanspur_[a-z_]+)`)

// histogramSuffix matches the suffixes that the exposition format adds to the
// name of a histogram.
var histogramSuffix = regexp.MustCompile(`_(bucket|sum|count)$`)

// Guards against metrics that docs/metrics.md does not describe.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	o := smallOptions()
	o.Agents, o.Entries = 1, 1
	l, err := lab.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, weights, err := l.AddStore(1)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	require.NoError(t, l.AwaitReady(ctx, weights.Root, l.Agents[0]))
	require.NoError(t, lab.Await(ctx, func() error {
		_, err := l.Chat(ctx, 0, "text")
		return err
	}))
	for _, p := range []*lab.Process{l.Agents[0], l.Entries[0]} {
		resp, err := http.Get("http://" + p.Address + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		names := metricName.FindAllString(string(text), -1)
		require.NotEmpty(t, names)
		for _, name := range names {
			require.Contains(t, string(page), "`"+histogramSuffix.ReplaceAllString(name, ""), p.ID)
		}
	}
}
