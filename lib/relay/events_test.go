package relay

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

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

// Guards against a cut event that is passed on as the end of a complete stream.
func TestReadEventsEndsAfterAWholeEvent(t *testing.T) {
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name, body, passed string
		end, expected      error
	}{
		{"whole", "data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n", io.EOF, nil},
		{"empty", "", "", io.EOF, nil},
		{"inside a line", "data: a\n\nda", "data: a\n\n", io.EOF, io.ErrUnexpectedEOF},
		{"before the blank line", "data: a\n\ndata: b\n", "data: a\n\n", io.EOF, io.ErrUnexpectedEOF},
		{"before the blank line, CRLF", "data: a\r\n\r\ndata: b\r\n", "data: a\r\n\r\n", io.EOF, io.ErrUnexpectedEOF},
		{"reset", "data: a\n\n", "data: a\n\n", reset, reset},
	} {
		body := io.MultiReader(strings.NewReader(c.body), iotest.ErrReader(c.end))
		for name, r := range map[string]io.Reader{"at once": strings.NewReader(c.body), "byte by byte": iotest.OneByteReader(body)} {
			if name == "at once" && errors.Is(c.end, reset) {
				continue
			}
			s := NewStream()
			require.Equal(t, c.expected, ReadEvents(context.Background(), r, s), "%s, %s", c.name, name)
			var passed strings.Builder
			for s.Depth() > 0 {
				part, err := s.Take(context.Background())
				require.NoError(t, err)
				passed.Write(part.Data)
			}
			require.Equal(t, c.passed, passed.String(), "%s, %s", c.name, name)
		}
	}
}
