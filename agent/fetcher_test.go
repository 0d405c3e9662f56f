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

// hanging is a body that sends nothing until its request is cancelled.
type hanging struct{ ctx context.Context }

func (h hanging) Read([]byte) (int, error) {
	<-h.ctx.Done()
	return 0, h.ctx.Err()
}

// Guards against a source that accepts a request and then goes silent.
func TestStallWatchCancelsSilentRead(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := &stallWatch{after: time.Millisecond, cancel: cancel, body: hanging{ctx}}
	watch.arm()
	defer watch.disarm()
	_, err := watch.Read(make([]byte, 1))
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, context.Cause(ctx), errStalled)
}

// Guards against a refusal that is punished as a failure, and against another
// version that is retried as one.
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
