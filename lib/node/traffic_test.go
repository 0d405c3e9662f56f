package node

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against a heartbeat or a page of the configuration service that counts although a line
// in the head of the response is no field. The connections count bytes as well.
func TestMalformedFieldOfAControlMessage(t *testing.T) {
	var counter byteCounter
	client := counter.client(0)
	read := func(line string) error {
		resp, err := client.Get("http://" + socktest.Serve(t, socktest.Respond("HTTP/1.1 200 OK\r\nServer: s\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}", socktest.FIN)))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err = io.ReadAll(resp.Body)
		return err
	}
	require.NoError(t, read("X-Y: 1"))
	require.NotZero(t, counter.received.Load())
	for _, line := range []string{"X Y: 1", "X-Y : 1", " X-Y: 1"} {
		require.Error(t, read(line), line)
	}
}
