package confservice

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against an empty instance list, or a document, that is read from a response with
// a spoilt status.
func TestInvalidStatusOfAService(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		base := "http://" + socktest.Serve(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 2\r\n\r\n{}", socktest.FIN))
		client := &http.Client{Transport: &http.Transport{}}
		_, _, err := NewInstanceService(base, client).Read(context.Background())
		require.Error(t, err, status)
		_, err = NewConfigService(base, "key", client).Read(context.Background(), 0, 0)
		require.Error(t, err, status)
	}
}
