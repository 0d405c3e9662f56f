package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against content of a response with a spoilt status that is taken for the response
// to the next request, which fails for it.
func TestTransportDropsTheConnectionOfAnInvalidStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		status := r.Header.Get("Answer")
		answer(buffered.Writer, conn, status)
	}))
	defer server.Close()
	client := &http.Client{Transport: Transport{&http.Transport{}}}
	post := func(status string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("x"))
		require.NoError(t, err)
		req.Header.Set("Answer", status)
		return client.Do(req)
	}
	for _, status := range []string{"000 OK", "101 Switching Protocols", "204 No Content", "205 Reset Content", "999 OK"} {
		_, err := post(status)
		require.ErrorIs(t, err, ErrBadStatus, status)
		resp, err := post("200 OK")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "body", string(body))
	}
}

// answer sends a response. After one that is no success, the connection stays open and its
// content does not arrive until the client closes it.
func answer(w *bufio.Writer, conn net.Conn, status string) {
	head := "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n"
	if status == "200 OK" {
		// The connection is closed below. A client that used it again would see a reset.
		head += "Connection: close\r\n"
	}
	_, _ = w.WriteString(head + "\r\n")
	_ = w.Flush()
	if status != "200 OK" {
		_, _ = io.Copy(io.Discard, conn)
	}
	_, _ = w.WriteString("body")
	_ = w.Flush()
}
