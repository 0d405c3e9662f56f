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
	responses := make([]timeline.Response, len(processes))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for i, p := range processes {
		g.Go(func() error {
			responses[i].Instance = p
			timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if err := c.GetJSON(timeoutCtx, p.Address, wire.PathTimeline, &responses[i].Events); err != nil {
				responses[i].MissingReason = err.Error()
			}
			return nil
		})
	}
	_ = g.Wait()
	return responses
}
