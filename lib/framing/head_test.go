package framing

import (
	"bufio"
	"cmp"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lines that hide a field and are accepted, and against sound heads that are
// not.
func TestResponseHead(t *testing.T) {
	for text, sound := range map[string]string{
		"HTTP/1.1 200 OK\r\nA: 1\r\nB:2\r\n\r\n":                            "",
		"HTTP/1.0 200\nA: 1\n\n":                                            "",
		"HTTP/1.1 204 None\r\n\r\n":                                         "",
		"HTTP/1.1 200 OK\r\nA:\r\nB: x y:z\r\n\r\nX Y: body":                "",
		"HTTP/1.1 101 Switch\r\n\r\nX Y: 1":                                 "",
		"HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n": "",
		"HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n":                                 "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nA : 1\r\n\r\n":                                  "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n":                          "HTTP/1.1 200 OK\r\nA: 1\r\n",
		"HTTP/1.1 200 OK\r\n: 1\r\n\r\n":                                    "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                                      "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n":                                 "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1   100\r\n\r\nHTTP/1.1 200 OK\r\nA B: 1\r\n\r\n":           "HTTP/1.1   100\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 199 \r\n\r\nHTTP/1.1 200 OK\r\nA B: 1\r\n\r\n":            "HTTP/1.1 199 \r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		for _, step := range []int{1, 2, 7, len(text)} {
			accepted, err := add(text, step)
			if step == len(text) {
				require.Equal(t, cmp.Or(sound, text), accepted)
			}
			if sound == "" {
				require.NoError(t, err, "%q", text)
				require.Equal(t, text, accepted)
				continue
			}
			require.ErrorIs(t, err, ErrMalformedHead, "%q", text)
			require.True(t, strings.HasPrefix(accepted, sound) && len(accepted) < len(text), "%q of %q", accepted, text)
		}
	}
}

// add passes a text to a check in pieces of a length and returns what is accepted.
func add(text string, step int) (string, error) {
	var h ResponseHead
	var accepted strings.Builder
	for len(text) > 0 {
		piece := text[:min(step, len(text))]
		n, err := h.Add([]byte(piece))
		accepted.WriteString(piece[:n])
		if err != nil {
			return accepted.String(), err
		}
		text = text[len(piece):]
	}
	return accepted.String(), nil
}

// Guards against a head of which net/http takes another line than this check for a field, so
// that a field is hidden: in what both accept, each line is a field with a valid name.
func FuzzResponseHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 4\r\n\r\nbody")
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n B : 1\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA B: 1\r\n\r\n")
	f.Add("HTTP/1.1  102\nA:1\r\n\nHTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := add(text, len(text)); err != nil {
			return
		}
		r := bufio.NewReader(strings.NewReader(text))
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			for name := range resp.Header {
				require.True(t, ValidName(name), "%q in %q", name, text)
			}
			if resp.StatusCode/100 != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
				return
			}
		}
	})
}
