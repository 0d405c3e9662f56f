package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/operator"
)

// runCommand runs a command of the binary as docs/operators.md shows it, and
// returns its standard output.
func runCommand(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "RATTANSPUR_PEER_KEY="+lab.PeerKey)
	out, err := cmd.Output()
	require.NoError(t, err, "%v: %s", args, out)
	return string(out)
}

// readPage reads a path of the operator page at the first entry.
func readPage(t *testing.T, l *lab.Lab, path string) []byte {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Entries[0].Address+operator.Prefix+path, http.NoBody)
	require.NoError(t, err)
	req.SetBasicAuth(operator.User, lab.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "%s", body)
	return body
}

// pageGeneration returns the generation that the operator page shows.
func pageGeneration(t *testing.T, l *lab.Lab) fleet.Generation {
	t.Helper()
	var o operator.Overview
	require.NoError(t, json.Unmarshal(readPage(t, l, "/state.json"), &o))
	return o.Generation
}

func awaitPageGeneration(ctx context.Context, t *testing.T, l *lab.Lab, want fleet.Generation) {
	t.Helper()
	require.NoError(t, lab.Await(ctx, func() error {
		if got := pageGeneration(t, l); got != want {
			return fmt.Errorf("generation %d, expected %d", got, want)
		}
		return nil
	}))
}

// Guards against drafts that the check command rejects or that have no effect
// after they are published, and against commands in docs/operators.md that no
// longer work.
func TestOperatorDraftsChecksAndPublishes(t *testing.T) {
	l, err := lab.Start(smallOptions())
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, l.AwaitUp(ctx))
	_, weights, err := l.AddStore(1)
	require.NoError(t, err)
	require.NoError(t, l.PublishProfile("burst-1", "v1", weights))
	awaitPageGeneration(ctx, t, l, 1)

	draft := readPage(t, l, "/draft.json?action=domain-out&failure_domain=south")
	file := filepath.Join(t.TempDir(), "draft.json")
	require.NoError(t, os.WriteFile(file, draft, 0o600))
	require.Contains(t, runCommand(t, "check", file), "valid")
	l.Config.Put(lab.ConfigKey, draft)
	awaitPageGeneration(ctx, t, l, 2)

	var o operator.Overview
	require.NoError(t, json.Unmarshal(readPage(t, l, "/state.json"), &o))
	for _, d := range o.Domains {
		require.Equal(t, d.Name != "south", d.In, d.Name)
	}
	require.Contains(t, string(readPage(t, l, "/")), string(config.DomainOut))

	var report timeline.Report
	require.NoError(t, json.Unmarshal([]byte(runCommand(t, "timeline", "--json", "--instances-url", l.InstancesURL())), &report))
	require.Empty(t, report.Missing)
	adopted := map[fleet.InstanceID]bool{}
	for _, e := range report.Events {
		if e.Kind == timeline.ConfigAdopted && e.Generation == 2 {
			adopted[e.Instance] = true
		}
	}
	require.True(t, adopted["entry-0"])
	require.Contains(t, runCommand(t, "status", "--address", l.Entries[0].Address), l.Entries[0].Address)
	require.Contains(t, runCommand(t, "explain", "--instances-url", l.InstancesURL(), "--model", "advisory", file), "service advisory")
	require.Contains(t, runCommand(t, "version"), "rattanspur")
}
