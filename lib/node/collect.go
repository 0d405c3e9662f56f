package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// maxConcurrentReads is the number of processes that are queried at a time.
const maxConcurrentReads = 16

// CollectTimelines reads the events of all processes. For a process that does
// not answer, the result holds the reason.
func CollectTimelines(ctx context.Context, c *wire.Client, processes []fleet.Instance) []timeline.Response {
	sources := make([]timeline.Response, len(processes))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for i, p := range processes {
		g.Go(func() error {
			sources[i].Instance = p
			timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if err := c.GetJSON(timeoutCtx, p.Address, wire.PathTimeline, &sources[i].Events); err != nil {
				sources[i].MissingReason = err.Error()
			}
			return nil
		})
	}
	_ = g.Wait()
	return sources
}
