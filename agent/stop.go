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
// end, and only then the ports close.
func (a *Agent) stop(ctx context.Context, servers ...*http.Server) error {
	a.node.Leave()
	if err := a.gate.Put(ctx, leave{}); err != nil {
		return eris.Wrap(err, "close the gate")
	}
	_ = duty.Sleep(ctx, a.settings.LeaveLinger)
	answer := ring.New[struct{}](1, ring.Refuse)
	if err := a.gate.Put(ctx, awaitIdle{answer: answer}); err == nil {
		_, _ = answer.Take(ctx)
	}
	var first error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = eris.Wrap(err, "graceful stop")
		}
	}
	return first
}
