package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/finding"
)

const valid = `[node]
id = agent-1
listen = 127.0.0.1:7001
failure_domain = north
region = north
config_url = http://127.0.0.1:8500
instances_url = http://[::1]:8600/list
peer_keys = a,b

[agent]
service = advisory
upstream_url = http://127.0.0.1:9000
`

// Guards against accepting URLs with host names, which would need a name service,
// and against findings that hide each other or lack their line.
func TestFindingsNameLineAndKey(t *testing.T) {
	_, err := ParseAgent("agent.ini", []byte(valid))
	require.NoError(t, err)
	_, err = ParseAgent("agent.ini", []byte(`[node]
id = agent-1
listen = localhost:1
failure_domain = north
region = north
config_url = http://config.example:8500
instances_url = ftp://127.0.0.1
peer_keys = a
watch_wait = 10

[agent]
service = advisory
upstream_url = http://127.0.0.1:9000
typo = 1
`))
	var findings *finding.Error
	require.True(t, errors.As(err, &findings))
	lines := map[string]int{}
	for _, f := range findings.Findings {
		lines[f.Key] = f.Line
	}
	require.Equal(t, map[string]int{
		"node.listen": 3, "node.config_url": 6, "node.instances_url": 7, "node.watch_wait": 9, "agent.typo": 14,
	}, lines)
}

// Guards against settings that crash the process before it can report findings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[node]\nid"))
	f.Add([]byte("[node]\nconfig_url = http://%zz\nwatch_wait = -1s\n[entry]\ncalls = 9999999999999999999\n"))
	f.Add([]byte("[\n=\n[node"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, err := ParseAgent("f", data); err == nil {
			require.NotEmpty(t, a.Self.Address)
			require.Positive(t, a.WatchWait)
		}
		if e, err := ParseEntry("f", data); err == nil {
			require.Positive(t, e.MaxCalls)
		}
	})
}
