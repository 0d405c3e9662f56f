package requestlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	gatewayLog = `ts=2026-01-01T00:00:01Z up=1 instance=g1 event=view revision=5 config=2
noise from a supervisor
ts=2026-01-01T00:00:02Z up=2 instance=g1 event=attempt request=a number=1 upstream=i-1 end=lost detail="connection reset"
ts=2026-01-01T00:00:04Z up=4 instance=g1 event=attempt request=a number=2 upstream=i-2 end=answered
ts=2026-01-01T00:00:05Z up=5 instance=g1 event=refused request=b verdict=not-run reason="no upstream had room in time"
`
	otherLog = `ts=2026-01-01T00:00:03Z up=3 instance=g2 event=attempt request=c number=1 upstream=i-1 end=lost
`
)

func find(t *testing.T, id string) *Path {
	p, err := Find(id, strings.NewReader(gatewayLog), strings.NewReader(otherLog))
	require.NoError(t, err)
	return p
}

// Guards against lines of other requests on a path, and against lines out of
// order.
func TestPathOfARequest(t *testing.T) {
	p := find(t, "a")
	require.Len(t, p.Lines, 2)
	require.Contains(t, p.Lines[0].Fields, "connection reset")
	require.Contains(t, p.StateBefore["g1"].Fields, `revision="5"`)
	require.Empty(t, p.Missing)
	var out bytes.Buffer
	require.NoError(t, p.Write(&out))
	require.Contains(t, out.String(), "believed before")
}

// Guards against a path that looks complete although its end is missing.
func TestMissingLinesAreReported(t *testing.T) {
	require.Contains(t, find(t, "none").Missing[0], "no line names the request")
	require.Contains(t, find(t, "c").Missing[0], "how the request ended")
	require.Contains(t, find(t, "b").Missing[0], "not sent to any upstream")
}

// Guards against a log that becomes unreadable because of one line: collectors
// put their own fields before a line, supervisors write their own text, and a
// killed process leaves an incomplete line.
func TestOtherTextInALogIsIgnored(t *testing.T) {
	text := `unquoted "text of a supervisor
   1.5 collector g1/stdout ts=2026-01-01T00:00:02Z instance=g1 event=attempt request=a number=1 end=answered
ts=2026-01-01T00:00:03Z instance=g1 event=attempt request=a detail="cut o
` + strings.Repeat("x", 2*maxLineBytes) + `
ts=2026-01-01T00:00:04Z instance=g1 event=attempt request=a number=2 end=answered`
	p, err := Find("a", strings.NewReader(text))
	require.NoError(t, err)
	require.Len(t, p.Lines, 2)
	require.Equal(t, []string{"lines with the request's id that could not be read: 1"}, p.Missing)
}

// FuzzFind checks that Find handles arbitrary text.
func FuzzFind(f *testing.F) {
	f.Add(gatewayLog)
	f.Fuzz(func(t *testing.T, text string) {
		if p, err := Find("a", strings.NewReader(text)); err == nil && p == nil {
			t.Fatal("no path and no error")
		}
	})
}
