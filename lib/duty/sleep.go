package duty

import (
	"context"
	"time"
)

// Sleep waits for d. If ctx ends first, it returns the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
