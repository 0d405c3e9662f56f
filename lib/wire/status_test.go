package wire

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against a message of a peer, such as a view, a heartbeat or a token, that is read
// from a response with a spoilt status.
func TestInvalidStatusOfAPeer(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		address := socktest.Serve(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 2\r\n\r\n{}", socktest.FIN))
		c := Client{HTTP: &http.Client{Transport: &http.Transport{}}}
		var out struct{}
		require.Error(t, c.GetJSON(context.Background(), address, "/x", &out), status)
		require.Error(t, c.PostJSON(context.Background(), address, "/x", &out, &out), status)
		_, err := c.Post(context.Background(), address, "/x", nil, 10)
		require.Error(t, err, status)
	}
}
