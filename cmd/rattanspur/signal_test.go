package main

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// stoppingRole waits for its stop and then for the end of its calls.
type stoppingRole struct{ stopping, callsEnded chan struct{} }

func (r *stoppingRole) Run(ctx context.Context) error {
	<-ctx.Done()
	close(r.stopping)
	<-r.callsEnded
	return nil
}

// Guards against a second signal that ends the process at once, with calls in
// progress.
func TestSecondSignalDoesNotEndAStop(t *testing.T) {
	for _, s := range []os.Signal{syscall.SIGTERM, os.Interrupt} {
		r := &stoppingRole{stopping: make(chan struct{}), callsEnded: make(chan struct{})}
		done := make(chan error, 1)
		started := make(chan struct{})
		go func() {
			done <- run(startedRole{r, started})
		}()
		<-started
		self, err := os.FindProcess(os.Getpid())
		require.NoError(t, err)
		require.NoError(t, self.Signal(s))
		<-r.stopping
		require.NoError(t, self.Signal(s))
		require.NoError(t, self.Signal(s))
		close(r.callsEnded)
		require.NoError(t, <-done)
	}
}

// startedRole tells when a role runs, so that signals are received.
type startedRole struct {
	role
	started chan struct{}
}

func (r startedRole) Run(ctx context.Context) error {
	close(r.started)
	return r.role.Run(ctx)
}
