package viewsync

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/sock/socktest"
)

// Guards against a view of a peer that counts although a line in the head of the response is no
// field.
func TestMalformedFieldOfAPeer(t *testing.T) {
	read := func(line string) error {
		address := socktest.Serve(t, socktest.Respond("HTTP/1.1 200 OK\r\nServer: s\r\n"+line+"\r\nContent-Length: 14\r\n\r\n{\"revision\":1}", socktest.FIN))
		_, err := NewClient(decode).Changes(context.Background(), address, 0, "")
		return err
	}
	require.NoError(t, read("X-Y: 1"))
	for _, line := range []string{"X Y: 1", "X-Y : 1", " X-Y: 1"} {
		require.Error(t, read(line), line)
	}
}
