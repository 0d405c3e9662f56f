package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/ring"
)

const (
	// maxAnswerMargin limits the time at the end of the drain timeout in which calls
	// that still run are answered. In a short drain timeout that is its part
	// answerMarginDivisor.
	maxAnswerMargin     = time.Second
	answerMarginDivisor = 40
)

// errStopping ends a call that still runs at the end of the drain timeout.
var errStopping = errors.New("agent is stopping")

func answerMargin(drainTimeout time.Duration) time.Duration {
	return min(drainTimeout/answerMarginDivisor, maxAnswerMargin)
}

// stop shuts the servers down without interrupting a call. It announces the stop
// to peers and refuses further calls, which entries may send until they learn of
// the stop. After LeaveDelay it waits for the calls in progress and only then
// closes the ports. Shortly before the drain timeout, calls that still run are ended
// and answered with an unknown outcome. If ctx ends first or a duty has failed, the
// remaining calls are interrupted.
func (a *Agent) stop(ctx context.Context, servers ...*http.Server) error {
	a.node.Leave()
	if a.gateEvents.Put(ctx, leave{}) == nil {
		_ = duty.Sleep(ctx, a.settings.LeaveDelay)
		a.awaitIdle(ctx)
	}
	var first error
	for _, s := range servers {
		err := s.Shutdown(ctx)
		if err != nil {
			// Shutdown looks for busy connections up to half a second apart. The
			// second call looks once more.
			err = s.Shutdown(ctx)
		}
		if err != nil {
			_ = s.Close()
			if first == nil {
				first = eris.Wrap(err, "graceful stop")
			}
		}
	}
	return first
}

// awaitIdle waits until no call is in flight, the gate closes or ctx ends.
func (a *Agent) awaitIdle(ctx context.Context) {
	reply := ring.New[struct{}](1, ring.Refuse)
	if a.gateEvents.Put(ctx, awaitIdle{reply: reply}) != nil {
		return
	}
	select {
	case <-reply.Out():
	case <-a.gateEvents.Closed():
	case <-ctx.Done():
	}
}
