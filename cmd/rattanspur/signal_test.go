package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/logline"
	"rattanspur.example/platform"
)

// signaledVariable makes the test binary stop by signals in place of the tests.
const signaledVariable = "RATTANSPUR_TEST_SIGNALED"

func terminate() { _ = syscall.Kill(os.Getpid(), syscall.SIGTERM) }

// signalingWriter writes each line of the log late and sends the process a signal before.
type signalingWriter struct{}

// Write implements io.Writer.
func (signalingWriter) Write(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	terminate()
	time.Sleep(100 * time.Millisecond)
	return os.Stdout.Write(p)
}

// Guards against a process that a second signal ends at once, while it stops or while it
// writes the rest of its log. The child process is this test itself.
func TestFurtherSignalsDoNotEndAPlannedStop(t *testing.T) {
	if os.Getenv(signaledVariable) != "" {
		out := logline.New(signalingWriter{})
		role := roleFunc(func(ctx context.Context) error {
			terminate()
			<-ctx.Done()
			terminate()
			terminate()
			time.Sleep(100 * time.Millisecond)
			_ = out.Logger("n").Log("event", "stop")
			return nil
		})
		require.NoError(t, runWithLog(out, role, func(*platform.Settings) {}))
		return
	}
	child := exec.Command(os.Args[0], "-test.run", "^TestFurtherSignalsDoNotEndAPlannedStop$")
	child.Env = append(os.Environ(), signaledVariable+"=1")
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	require.NoError(t, child.Run(), output.String())
	require.Contains(t, output.String(), "event=stop")
}

// roleFunc is a role that consists of one function.
type roleFunc func(ctx context.Context) error

// Run implements role.
func (f roleFunc) Run(ctx context.Context) error { return f(ctx) }
