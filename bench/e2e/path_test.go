// Package e2e holds the end-to-end tests, which run real processes on loopback.
package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin/program"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rattanspur-e2e-")
	if err != nil {
		panic(err)
	}
	if binary, err = program.Build(dir, program.Product); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func smallOptions() lab.Options {
	return lab.Options{
		Binary:     binary,
		Agents:     3,
		Entries:    2,
		Regions:    []string{"north", "middle", "south"},
		ModelBytes: 4 << 20,
		ChunkBytes: 256 << 10,
		Limits:     config.Limits{Cold: 4, Warm: 32, RampStep: 4},
		Logs:       os.Stderr,
	}
}

// Guards against a failure of any step from publication to response: publish,
// transfer, load and call.
func TestPathFromPublicationToAnswer(t *testing.T) {
	l, err := lab.Start(smallOptions())
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	_, weights, err := l.AddStore(1)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	require.NoError(t, l.AwaitLoaded(ctx, weights.Root.String(), 3))
	for entry := range l.Entries {
		require.NoError(t, lab.Await(ctx, func() error {
			a, err := l.Chat(ctx, entry, "text-7")
			if err == nil && a.Status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			if err == nil {
				require.Equal(t, wire.Ran, a.Outcome)
				require.Contains(t, a.Body, "v1 ")
				require.Contains(t, a.Body, "text-7 ")
				require.Contains(t, a.Body, "data: [DONE]")
			}
			return err
		}))
	}
}
