package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/weightstore"
)

// blockingBody is a body that sends nothing until its request is canceled.
type blockingBody struct{ ctx context.Context }

func (h blockingBody) Read([]byte) (int, error) {
	<-h.ctx.Done()
	return 0, h.ctx.Err()
}

// Guards against a request that never ends because its source accepted it and
// then sends nothing.
func TestStallWatchCancelsSilentRead(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := &stallWatch{timeout: time.Millisecond, cancel: cancel, body: blockingBody{ctx}}
	watch.arm()
	defer watch.disarm()
	_, err := watch.Read(make([]byte, 1))
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, context.Cause(ctx), errStalled)
}

// Guards against a busy response that counts as a failure of the source, and
// against a changed file that is retried like a failed request.
func TestOutcomeOfErrors(t *testing.T) {
	for want, err := range map[transfer.Outcome]error{
		transfer.Verified: nil,
		transfer.Busy:     fmt.Errorf("store: %w", weightstore.ErrBusy),
		transfer.Changed:  fmt.Errorf("store: %w", weightstore.ErrChanged),
		transfer.Absent:   errAbsent,
		transfer.Failed:   errors.Join(io.ErrUnexpectedEOF, errStalled),
	} {
		require.Equal(t, want, outcome(err))
	}
}
