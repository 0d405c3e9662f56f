package loader

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
)

// Guards against an order that is sent again, and engines of which gateways are not told
// that they load, because the engine accepted the order and its answer was lost.
func TestAcceptedOrderWithoutAnswerIsNotSentAgain(t *testing.T) {
	ctx := context.Background()
	l := &Loader{
		settings: Settings{Engine: "engine", NoticeAddress: func(gateway string) string { return gateway }},
		notices:  ring.New[notice](2, ring.DropOldest),
		logger:   log.NewNopLogger(),
	}
	c := &coordinator{loader: l, model: "m", notified: map[string]bool{}, core: staging.New("m", 2, time.Second)}
	c.roster.Gateways = []peering.Member{{Control: "gateway"}}
	engine := staging.Report{StartTime: 7, Sequence: 4}
	c.handle(ctx, reportRead{report: engine})
	c.core.SetTarget(published.DesiredVersion{Model: "m", Version: 2})
	c.core.MarkComplete(2)
	c.core.MarkPlaced(2)
	later := func() time.Time { return time.Now().Add(time.Second) }
	action, _ := c.core.Next(later())
	require.Equal(t, staging.Order, action)

	task := engineTask{kind: taskOrder, source: &versionCopy{version: 2}, sequence: 4, startTime: 7}
	c.handle(ctx, engineTaskDone{task: task, err: fmt.Errorf("%w: %w", staging.ErrUnanswered, io.EOF)})
	require.Zero(t, l.notices.Depth())
	engine.Sequence = 5
	c.handle(ctx, reportRead{report: engine})
	action, _ = c.core.Next(later())
	require.Equal(t, staging.Idle, action, "the engine has accepted the order")
	require.Equal(t, 1, l.notices.Depth(), "gateways are told that the engine loads")
}
