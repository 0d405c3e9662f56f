package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against clients whose bodies are complete and within the limit, or are unreadable as
// HTTP, and against a check that misses a false refusal or a success.
func TestUntrustedBodies(t *testing.T) {
	kinds := map[string]int{}
	for i := range 40 {
		b := drawBody(seededRandom(1, "body", i))
		kinds[fmt.Sprint(b.tooLarge(), b.chunk)]++
		var out bytes.Buffer
		b.writeTo(&out, "POST / HTTP/1.1\r\nHost: h\r\n")
		req, err := http.ReadRequest(bufio.NewReader(&out))
		require.NoError(t, err)
		read, err := io.Copy(io.Discard, req.Body)
		require.EqualValues(t, b.sent, read)
		require.Equal(t, b.tooLarge(), err == nil)
		require.Equal(t, b.tooLarge(), read > maxBodyBytes)

		answered := func(status int, retryAfter string) string {
			w := httptest.NewRecorder()
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(status)
			return b.check(w.Result())
		}
		require.NotEmpty(t, answered(http.StatusOK, ""))
		require.NotEmpty(t, answered(http.StatusServiceUnavailable, ""))
		require.Empty(t, answered(http.StatusServiceUnavailable, "1"))
		require.Equal(t, b.tooLarge(), answered(http.StatusRequestEntityTooLarge, "") == "")
	}
	require.Len(t, kinds, 6, "%v", kinds)
}
