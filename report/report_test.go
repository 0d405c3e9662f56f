package report

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func entry(at, command, why, score, days string) string {
	return `{"cmd":"` + command + `","site":"s","at":["2026-01-0` + at + `T00:00:00Z",""],"why":"` + why + `","score":` + score + `,"days":[` + days + `]}`
}

const (
	quiet   = `{"name":"q","slot":"quiet","G":0.8,"rules":{},"prices":[["cloud calls",100.0,0.1],["processor seconds",7.0,0.2]]}`
	trouble = `{"name":"t","slot":"trouble","G":0.4,"rules":{"DRAIN":2},"prices":[["cloud calls",300.0,0.3],["processor seconds",9.0,0.2]]}`
)

func journal(t *testing.T) string {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"b.json": entry("2", "score", "second", "0.9", quiet+","+trouble),
		"a.json": entry("1", "score", "first", "0.5", quiet),
		"c.json": entry("3", "score", "trial: third", "0.1", quiet),
		"d.json": entry("4", "run", "a day", "null", trouble),
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

// Guards against rounds in the wrong order, trials that count as rounds, and means
// that include days of another kind.
func TestChartsShowTheRoundsInOrder(t *testing.T) {
	entries, err := Read(journal(t))
	require.NoError(t, err)
	require.Equal(t, []string{"s"}, Sites(entries))
	rounds := Rounds(entries, "s")
	require.Len(t, rounds, 2)
	require.Zero(t, rounds[0].Broken)
	require.Equal(t, 1, rounds[1].Broken)
	charts := Charts(rounds)
	require.Equal(t, []float64{0.5, 0.9}, charts[0].Series[0].Values)
	require.Equal(t, []float64{0, 0.4}, charts[1].Series[1].Values)
	require.Equal(t, "cloud calls", charts[2].Series[0].Name)
	require.InDeltaSlice(t, []float64{0.1, 0.2}, charts[2].Series[0].Values, 1e-9)
	require.Equal(t, []float64{7, 8}, charts[3].Series[0].Values)
}

// Guards against a page that does not show all written plots.
func TestPageHoldsItsPlots(t *testing.T) {
	entries, err := Read(journal(t))
	require.NoError(t, err)
	out := filepath.Join(t.TempDir(), "out")
	require.NoError(t, Write(out, entries))
	data, err := os.ReadFile(filepath.Join(out, "index.html"))
	require.NoError(t, err)
	plots, err := filepath.Glob(filepath.Join(out, "*.png"))
	require.NoError(t, err)
	require.Len(t, plots, 4)
	for _, p := range plots {
		require.Contains(t, string(data), filepath.Base(p))
	}
}

// Guards against an unreadable entry that is skipped without an error.
func TestUnreadableEntryIsNamed(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "bad.json"), []byte("{"), 0o600))
	_, err := Read(dir)
	require.ErrorContains(t, err, "bad.json")
}
