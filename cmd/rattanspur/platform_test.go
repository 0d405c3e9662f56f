package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/logline"
	"rattanspur.example/platform"
)

const settingsText = `{"node_name":"n","ip":"10.1.0.40","zone":"z","internal_ports":[7700,7715],"seeds":["10.2.0.37:8000"],"platform":{"address":"10.200.1.7:8007"}}`

// Guards against a process that SIGHUP terminates, and against one that does not
// read its settings again.
func TestHangupReadsTheSettingsAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(file, []byte(settingsText), 0o600))
	t.Setenv(platform.SettingsVariable, file)
	ctx, cancel := context.WithCancel(context.Background())
	seen := make(chan *platform.Settings, 16)
	done := make(chan error, 1)
	go func() {
		done <- watchSettings(ctx, logline.New(io.Discard), notifyHangups(), func(s *platform.Settings) { seen <- s })
	}()
	// Registers a handler, so that a signal does not terminate the test before the
	// duty has registered its own.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	require.Eventually(t, func() bool {
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		select {
		case s := <-seen:
			return len(s.PeerAddresses(peersOffset)) == 1
		default:
			return false
		}
	}, 30*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}
