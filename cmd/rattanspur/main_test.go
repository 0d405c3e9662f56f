package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/manifest"
)

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against a manifest that does not verify against its own root.
func TestManifestCommandWritesAManifestThatDecodes(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.bin"), []byte("abcdef"), 0o600))
	out := filepath.Join(t.TempDir(), "manifest.json")
	c := &manifestCommand{ChunkBytes: 4, Output: out}
	c.Args.Dir = dir
	require.NoError(t, c.Execute(nil))
	encoded, err := os.ReadFile(out)
	require.NoError(t, err)
	m, err := manifest.Decode(encoded, manifest.Root(encoded))
	require.NoError(t, err)
	require.Len(t, m.Chunks(), 2)
}

// Guards against findings that are reported one by one or without their file.
func TestCheckReportsAllFindingsWithTheirFile(t *testing.T) {
	file := write(t, "config.json", `{"generation":0,"customers":[{"name":"","key_sha256":""}]}`)
	c := &checkCommand{Kind: "config"}
	c.Args.File = file
	err := c.check()
	require.ErrorContains(t, err, file)
	require.ErrorContains(t, err, "generation: is missing or 0")
	require.ErrorContains(t, err, "customers[0].name: is missing")
	require.ErrorContains(t, err, "customers[0].key_sha256: is missing")
}

// Guards against exit codes that scripts cannot tell apart.
func TestExitCodes(t *testing.T) {
	require.Equal(t, exitSuccess, report(nil))
	require.Equal(t, exitFailure, report(errSilent))
	require.Equal(t, exitUsage, report(&flags.Error{Type: flags.ErrUnknownCommand}))
	require.Equal(t, exitSuccess, report(&flags.Error{Type: flags.ErrHelp}))
	require.Equal(t, exitFailure, report(errors.New("broken")))
}

// Guards against an answer whose missing processes scripts would overlook.
func TestAnswerNamesTheMissingProcess(t *testing.T) {
	data, err := json.Marshal(answer[json.RawMessage]{Instance: "agent-1", Missing: "refused"})
	require.NoError(t, err)
	require.JSONEq(t, `{"instance":"agent-1","missing":"refused"}`, string(data))
}
