package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/settings"
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

// Guards against a check that stops at the first finding, and against findings
// that do not name their file.
func TestCheckReportsAllFindingsWithTheirFile(t *testing.T) {
	file := write(t, "config.json", `{"generation":0,"customers":[{"name":"","key_sha256":""}]}`)
	c := &checkCommand{Kind: "config"}
	c.Args.File = file
	_, err := c.check()
	require.ErrorContains(t, err, file)
	require.ErrorContains(t, err, "generation: is missing or 0")
	require.ErrorContains(t, err, "customers[0].name: is missing")
	require.ErrorContains(t, err, "customers[0].key_sha256: is missing")
}

// Guards against exit codes with which scripts cannot distinguish a usage error
// from a failure.
func TestExitCodes(t *testing.T) {
	require.Equal(t, exitSuccess, report(nil))
	require.Equal(t, exitFailure, report(errSilent))
	require.Equal(t, exitUsage, report(&flags.Error{Type: flags.ErrUnknownCommand}))
	require.Equal(t, exitSuccess, report(&flags.Error{Type: flags.ErrHelp}))
	require.Equal(t, exitFailure, report(errors.New("broken")))
}

// Guards against JSON output without the reason why a process did not respond.
func TestQueryResultNamesTheMissingProcess(t *testing.T) {
	data, err := json.Marshal(queryResult[json.RawMessage]{Instance: "agent-1", Missing: "refused"})
	require.NoError(t, err)
	require.JSONEq(t, `{"instance":"agent-1","missing":"refused"}`, string(data))
}

const documentText = `{"generation":%d,"profiles":[],"services":[],"customers":[],
"failure_domains":[{"name":"south","region":"south","state":"%s"}]}`

// Guards against a comparison that omits a change, or that succeeds for a
// document that no process would adopt.
func TestCheckAgainstTheDocumentInForce(t *testing.T) {
	inForce := write(t, "in-force.json", fmt.Sprintf(documentText, 3, "in"))
	c := &checkCommand{Kind: "config", Against: inForce}
	c.Args.File = write(t, "next.json", fmt.Sprintf(documentText, 4, "out"))
	changes, err := c.check()
	require.NoError(t, err)
	require.Len(t, changes, 1)
	require.Equal(t, config.DomainTakenOut, changes[0].Kind)
	require.NoError(t, c.Execute(nil))

	c.Args.File = write(t, "old.json", fmt.Sprintf(documentText, 2, "out"))
	require.ErrorIs(t, c.Execute(nil), errSilent)
}

// Guards against an explanation that differs from the routing of an entry.
func TestExplainNamesServiceAndUpstreams(t *testing.T) {
	c := &explainCommand{Path: "/ledger/entries"}
	accepted, err := config.Accept([]byte(`{"generation":1,"profiles":[],"customers":[],
		"failure_domains":[{"name":"north","region":"north","state":"in"},{"name":"south","region":"south","state":"out"}],
		"services":[{"name":"ledger","kind":"plain","path_prefix":"/ledger/","limits":{"cold":1,"warm":2,"ramp_step":1}}]}`))
	require.NoError(t, err)
	member := func(id, domain string, state fleet.InstanceState) fleet.Instance {
		return fleet.Instance{
			ID: fleet.InstanceID(id), Role: fleet.RoleAgent, Service: "ledger",
			FailureDomain: fleet.FailureDomain(domain), State: state,
		}
	}
	e := c.explain(accepted, []fleet.Instance{
		member("agent-0", "north", fleet.StateLive),
		member("agent-1", "south", fleet.StateLive),
		member("agent-2", "north", fleet.StateLeaving),
	})
	require.EqualValues(t, "ledger", e.Service)
	require.Equal(t, []upstreamState{
		{Instance: "agent-0", FailureDomain: "north", TakesNewWork: true},
		{Instance: "agent-1", FailureDomain: "south", Reason: "failure domain is out"},
		{Instance: "agent-2", FailureDomain: "north", Reason: "instance is leaving"},
	}, e.Upstreams)
}

// Guards against a settings reference that does not match the program, and
// against keys without a description.
func TestSettingsPageIsCurrent(t *testing.T) {
	page, err := settings.Markdown()
	require.NoError(t, err)
	committed, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	require.Equal(t, page, string(committed), "regenerate it with: rattanspur settings > docs/settings.md")
	for _, role := range []fleet.Role{fleet.RoleEntry, fleet.RoleAgent} {
		keys, err := settings.Reference(role)
		require.NoError(t, err)
		for _, k := range keys {
			require.NotEmpty(t, k.Meaning, k.Name)
		}
	}
}
