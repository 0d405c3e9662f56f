package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/wire"
)

// Guards against a request that runs although it was hidden in the body of another one, which
// states both a length and chunks, and against a connection that stays open after it.
func TestRequestInsideTheBodyOfAnotherDoesNotRun(t *testing.T) {
	var runs atomic.Int32
	e := startEntry(t, nil, fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		runs.Add(1)
		echo(w, r, meta)
	}))
	conn, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	const head = "POST /bookings/list HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer counter\r\n"
	const hidden = "0\r\n\r\n" + head + "Content-Length: 5\r\n\r\ninner"
	answers := bufio.NewReader(conn)
	answer := func() *http.Response {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
	_, err = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer().StatusCode, "an ordinary request in chunks")
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", head, len(hidden), hidden)
	require.NoError(t, err)
	resp := answer()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, string(wire.NotRun), resp.Header.Get(wire.HeaderOutcome))
	_, err = answers.ReadByte()
	require.Error(t, err, "the connection is open")
	require.EqualValues(t, 1, runs.Load())
}
