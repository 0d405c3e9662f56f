package agent

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/ring"
)

// stop ends the servers without cutting a call: peers are told first, calls of
// entries that have not heard of it are refused for a while, calls in progress
// end, and only then the ports close. If ctx ends before, or if a duty failed,
// what is left is cut.
func (a *Agent) stop(ctx context.Context, servers ...*http.Server) error {
	a.node.Leave()
	if a.gate.Put(ctx, leave{}) == nil {
		_ = duty.Sleep(ctx, a.settings.LeaveDelay)
		a.awaitIdle(ctx)
	}
	var first error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
			if first == nil {
				first = eris.Wrap(err, "graceful stop")
			}
		}
	}
	return first
}

// awaitIdle waits until no call is counted in.
func (a *Agent) awaitIdle(ctx context.Context) {
	answer := ring.New[struct{}](1, ring.Refuse)
	if a.gate.Put(ctx, awaitIdle{answer: answer}) != nil {
		return
	}
	select {
	case <-answer.Out():
	case <-a.gate.Closed():
	case <-ctx.Done():
	}
}
