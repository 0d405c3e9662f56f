package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// collectors is the number of processes that are asked at a time.
const collectors = 16

// CollectTimelines reads the events of all processes. A process that doesn't
// answer is in the result with the reason.
func CollectTimelines(ctx context.Context, c *wire.Client, processes []fleet.Instance) []timeline.Response {
	sources := make([]timeline.Response, len(processes))
	var g errgroup.Group
	g.SetLimit(collectors)
	for i, p := range processes {
		g.Go(func() error {
			sources[i].Instance = p
			limited, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if err := c.GetJSON(limited, p.Address, wire.PathTimeline, &sources[i].Events); err != nil {
				sources[i].MissingReason = err.Error()
			}
			return nil
		})
	}
	_ = g.Wait()
	return sources
}
