package loader

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is closed because the peer, or the link to it, pauses
// between two parts of the head of a request.
func TestRequestOfAPausedPeerIsServed(t *testing.T) {
	c := newCluster(t, fullEngine(1, firstVersion))
	c.run()
	c.awaitLoaded(firstVersion)
	var d net.Dialer
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		var conn net.Conn
		require.Eventually(t, func() (ok bool) {
			var err error
			conn, err = d.DialContext(context.Background(), "tcp", c.store.engines[0])
			return err == nil
		}, eventTimeout, 5*time.Millisecond)
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, "GET /weights/m/99/have HTTP/1.1\r\n")
		require.NoError(t, err)
		time.Sleep(pause)
		_, err = io.WriteString(conn, "Host: x\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, pause)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusNotFound, resp.StatusCode)
	}
}
