package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// orderHead is the begin of a request that may run once only.
func orderHead(id string) string {
	return "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nRattanspur-Attempt-Id: " + id + "\r\n"
}

// hiddenOrder returns a body that ends early for a reader of chunks, and holds another request.
func hiddenOrder(id string) string {
	return "0\r\n\r\n" + orderHead(id) + "Content-Length: 5\r\n\r\ninner"
}

// Guards against a request that runs although it was hidden in the body of another one, which
// states both a length and chunks: it came from whoever wrote that body, not from the client.
func TestRequestInsideTheBodyOfAnotherDoesNotRun(t *testing.T) {
	hidden := hiddenOrder("id-hidden")
	both := fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(hidden))
	first := orderHead("id-first") + "Content-Length: 2\r\n\r\nok"
	for name, parts := range map[string][]string{
		"at once":                             {orderHead("id-outer") + both + hidden},
		"in parts":                            {orderHead("id-outer"), both, hidden},
		"after an ordinary one":               {first, orderHead("id-outer") + both + hidden},
		"with an ordinary one":                {first + orderHead("id-outer") + both + hidden},
		"in an old version":                   {strings.Replace(orderHead("id-outer"), "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
		"head in parts, with an ordinary one": {first + orderHead("id-outer") + "Content-Length: 100\r\nX: ", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden},
	} {
		t.Run(name, func(t *testing.T) {
			g, runs := startDesk(t, 1<<20)
			conn := g.dial()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			for _, part := range parts {
				_, err := io.WriteString(conn, part)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
			}
			answers := readAnswers(bufio.NewReader(conn))
			require.NotEmpty(t, answers)
			require.Equal(t, http.StatusBadRequest, answers[len(answers)-1], "%d", answers)
			require.LessOrEqual(t, int(runs.Load()), len(answers)-1)
			for _, line := range []string{"id-hidden", "id-outer"} {
				require.NotContains(t, g.logs.all(), "event=attempt request="+line)
			}
		})
	}
}

// readAnswers returns the statuses of the answers until the connection ends.
func readAnswers(r *bufio.Reader) (statuses []int) {
	for a := readAnswer(r); a.err == nil; a = readAnswer(r) {
		statuses = append(statuses, a.status)
	}
	return statuses
}

// Guards against ordinary requests in chunks that cost their callers a connection each.
func TestChunkedRequestsKeepTheirConnection(t *testing.T) {
	g, runs := startDesk(t, 1<<20)
	conn := g.dial()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	answers := bufio.NewReader(conn)
	for i := range 3 {
		_, err := io.WriteString(conn, orderHead(fmt.Sprintf("id-%d", i))+"Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n")
		require.NoError(t, err)
		a := readAnswer(answers)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		require.False(t, a.close)
	}
	require.EqualValues(t, 3, runs.Load())
}
