package standin

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against clients whose bodies do not arrive as described: a body that is not
// accepted at all, or that is complete, would load no process.
func TestUploadsAreIncompleteBodiesOfTheDescribedLength(t *testing.T) {
	const size, limit = 300_000, 400_000
	for name, u := range UploadCases("POST / HTTP/1.1\r\nHost: h\r\n", size, limit) {
		var sent bytes.Buffer
		require.NoError(t, u.encode().writeTo(&sent))
		r, err := http.ReadRequest(bufio.NewReader(&sent))
		require.NoError(t, err, name)
		body, err := io.ReadAll(r.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, name)
		require.Len(t, body, u.Bytes, name)
	}
}
