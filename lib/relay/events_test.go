package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream whose events are never found because its lines end with
// CRLF or CR, and against an event that is passed on before its blank line.
func TestWholeEvents(t *testing.T) {
	for _, c := range []struct {
		name, whole, rest, lastID string
		event                     bool
	}{
		{"nothing", "", "", "", false},
		{"a blank line", "\n", "", "", false},
		{"a comment", ": c\n\n", "", "", false},
		{"a comment, CRLF", ": c\r\n\r\n", "", "", false},
		{"a comment without a blank line", "", ": c\n", "", false},
		{"an ID without a blank line", "", "id: 1\n", "", false},
		{"LF", "id: 1\ndata: a\n\n", "", "1", true},
		{"LF and a cut event", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n", "1", true},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", "", "1", true},
		{"CRLF and a cut event", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n", "1", true},
		{"CR", "id: 1\rdata: a\r\r", "", "1", true},
		{"CR and a cut event", ": c\rid: 1\rdata: a\r\r", "id: 2\rdata: b\r", "1", true},
		{"CRLF, cut inside the last line end", "id: 1\r\ndata: a\r\n\r", "", "1", true},
		{"the rest of a line end before an event", "\nid: 1\r\ndata: a\r\n\r\n", "", "1", true},
		{"mixed line ends", "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\n\n", "", "2", true},
		{"several blank lines", "id: 1\ndata: a\n\n\n", "", "1", true},
	} {
		require.Equal(t, len(c.whole), WholeEventsLength([]byte(c.whole+c.rest)), c.name)
		require.Equal(t, c.event, HasEvent([]byte(c.whole)), c.name)
		require.Equal(t, c.lastID, LastEventID([]byte(c.whole)), c.name)
	}
}
