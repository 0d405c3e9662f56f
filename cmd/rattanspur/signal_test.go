package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
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
		require.NoError(t, runWithLog(out, notifyHangups(), role, func(*platform.Settings) {}))
		return
	}
	child := exec.Command(os.Args[0], "-test.run", "^TestFurtherSignalsDoNotEndAPlannedStop$")
	child.Env = append(os.Environ(), signaledVariable+"=1")
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	require.NoError(t, child.Run(), output.String())
	require.Contains(t, output.String(), "event=stop")
}

// Guards against a process that SIGHUP terminates because it has just started: its settings
// changed while it read them. The child process is this test itself.
func TestHangupAtTheStartIsAReload(t *testing.T) {
	if os.Getenv(signaledVariable) != "" {
		hangups := notifyHangups()
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		ctx, cancel := context.WithCancel(context.Background())
		require.NoError(t, watchSettings(ctx, logline.New(io.Discard), hangups, func(*platform.Settings) { cancel() }))
		return
	}
	file := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(file, []byte(settingsText), 0o600))
	child := exec.Command(os.Args[0], "-test.run", "^TestHangupAtTheStartIsAReload$", "-test.timeout", "30s")
	child.Env = append(os.Environ(), signaledVariable+"=1", platform.SettingsVariable+"="+file)
	output, err := child.CombinedOutput()
	require.NoError(t, err, string(output))
}

// roleFunc is a role that consists of one function.
type roleFunc func(ctx context.Context) error

// Run implements role.
func (f roleFunc) Run(ctx context.Context) error { return f(ctx) }

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
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		r := &stoppingRole{stopping: make(chan struct{}), callsEnded: make(chan struct{})}
		done := make(chan error, 1)
		started := make(chan struct{})
		go func() {
			done <- run(startedRole{r, started})
		}()
		<-started
		signalThread(t, s)
		<-r.stopping
		signalThread(t, s)
		signalThread(t, s)
		close(r.callsEnded)
		require.NoError(t, <-done)
	}
}

// signalThread sends a signal to the calling thread, which handles it before the call returns.
// One that is sent to the process may be handled later, when the role has ended and nothing
// receives signals any more.
func signalThread(t *testing.T, s syscall.Signal) {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_, _, errno := syscall.RawSyscall(syscall.SYS_TGKILL, uintptr(os.Getpid()), uintptr(syscall.Gettid()), uintptr(s))
	require.Zero(t, errno)
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
