package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/framing"
	"rattanspur.example/lib/sock/socktest"
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
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
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

// Guards against a response with a malformed field that is accepted, on a new connection and
// on one that has carried a response, and against a request that net/http sends again by itself
// after such a response.
func TestTransportRejectsMalformedFields(t *testing.T) {
	for _, m := range socktest.MalformedHeads("") {
		for _, reused := range []bool{false, true} {
			var requests atomic.Int32
			url := "http://" + socktest.Serve(t, func(c net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := socktest.ReadRequest(r); err != nil {
						return
					}
					if requests.Add(1) == 1 && reused {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nX Y:")
						continue
					}
					_, _ = io.WriteString(c, m.Text)
					return
				}
			})
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			get := func() (string, error) {
				resp, err := client.Get(url)
				if err != nil {
					return "", err
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
			if reused {
				body, err := get()
				require.NoError(t, err)
				require.Equal(t, "X Y:", body)
			}
			before := requests.Load()
			body, err := get()
			require.Error(t, err, m.Name)
			require.Equal(t, m.Body, body, m.Name)
			require.EqualValues(t, 1, requests.Load()-before, m.Name)
			client.CloseIdleConnections()
		}
	}
}

// Guards against names with a blank over a connection whose heads are not checked, such as one
// with TLS.
func TestTransportChecksNamesOverOtherConnections(t *testing.T) {
	var d net.Dialer
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: d.DialContext})}
	for _, name := range []string{"X Y", "Content-Length "} {
		url := "http://" + socktest.Serve(t, socktest.Respond("HTTP/1.1 200 OK\r\n"+name+": 4\r\n\r\nbody", socktest.FIN))
		_, err := client.Get(url)
		require.ErrorIs(t, err, framing.ErrMalformedHead)
	}
}

// Guards against a server with TLS that cannot be reached, or only with HTTP/1.1, because of
// the dialer.
func TestTransportOverTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "body")
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: trusted})}
	resp, err := client.Get(server.URL)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "body", string(body))
	require.Equal(t, 2, resp.ProtoMajor)
	client.CloseIdleConnections()
}
