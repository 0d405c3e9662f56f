package relay

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an empty response to a request that was answered with content: a spoilt
// status line states 304, with which no request but GET and HEAD is answered. Guards as
// well against a GET whose response counts as lost because it states the length of the
// content that it leaves out.
func TestNotModified(t *testing.T) {
	const length, chunked, empty = "Content-Length: 4\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		method, rest string
		valid        bool
	}{
		{http.MethodGet, length, true},
		{http.MethodGet, chunked, true},
		{http.MethodHead, length, true},
		{http.MethodPost, length, false},
		{http.MethodPost, chunked, false},
		{http.MethodPost, empty, true},
		{http.MethodPut, length, false},
	} {
		head := bufio.NewReader(strings.NewReader("HTTP/1.1 304 Not Modified\r\n" + c.rest))
		resp, err := http.ReadResponse(head, &http.Request{Method: c.method})
		require.NoError(t, err, c)
		require.Equal(t, c.valid, ValidStatus(resp), c)
	}
}
