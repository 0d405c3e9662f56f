package loader

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/sock/socktest"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// Guards against a peer that counts as one without a piece, or as busy, and against a piece
// that counts as corrupt, because the status of the response is spoilt.
func TestInvalidStatusOfAPeer(t *testing.T) {
	for _, status := range socktest.InvalidStatuses() {
		address := socktest.Serve(t, socktest.Respond("HTTP/1.1"+status+"\r\nContent-Length: 4\r\n\r\nbody", socktest.FIN))
		l := &Loader{peers: &http.Client{Transport: &http.Transport{}}}
		m := &staging.Manifest{Model: "m", Version: 2, PieceBytes: 4, Digests: make([]fleet.Digest, 1)}
		source := transfer.Source{Peer: fleet.InstanceID(address)}
		ev := l.fetchPiece(context.Background(), fetch{manifest: m, source: source})
		require.Error(t, ev.err, status)
		require.Equal(t, transfer.Failed, ev.ended.Outcome, status)
	}
}
