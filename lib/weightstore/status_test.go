package weightstore

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against a range or a manifest that is read from a response with a spoilt status,
// and against a transfer that ends because such a status counts as changed content.
func TestInvalidStatusOfTheStore(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		address := socktest.Serve(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 4\r\n\r\nbody", socktest.FIN))
		c := New("http://"+address, &http.Client{Transport: &http.Transport{}})
		_, _, err := c.Range(context.Background(), "f", 0, 4, "")
		require.Error(t, err, status)
		require.NotErrorIs(t, err, ErrChanged, status)
		_, err = c.Manifest(context.Background(), 10)
		require.Error(t, err, status)
		require.NotErrorIs(t, err, ErrChanged, status)
	}
}
