package loader

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// Guards against a piece that is thrown away because its peer pauses more than once while
// it sends it, and against a peer that counts as failed for this.
func TestPieceOutlastsPausesOfAPeer(t *testing.T) {
	t.Parallel()
	const text = "piece"
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(text)))
				for _, part := range []string{text[:1], text[1:2], text[2:]} {
					time.Sleep(pause)
					_, _ = io.WriteString(w, part)
					_ = http.NewResponseController(w).Flush()
				}
			}))
			t.Cleanup(s.Close)
			l := &Loader{peers: http.DefaultClient}
			m := &staging.Manifest{Model: "m", Version: 2, PieceBytes: len(text), Digests: []fleet.Digest{sha256.Sum256([]byte(text))}}
			source := transfer.Source{Peer: fleet.InstanceID(strings.TrimPrefix(s.URL, "http://"))}
			ev := l.fetchPiece(context.Background(), fetch{manifest: m, source: source})
			require.NoError(t, ev.err)
			require.Equal(t, transfer.Verified, ev.ended.Outcome)
		})
	}
}

// Guards against a fetcher that waits for good on a peer that has gone silent.
func TestSilentPeerIsGivenUp(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	l := &Loader{peers: http.DefaultClient}
	m := &staging.Manifest{Model: "m", Version: 2, PieceBytes: 2, Digests: make([]fleet.Digest, 1)}
	source := transfer.Source{Peer: fleet.InstanceID(strings.TrimPrefix(s.URL, "http://"))}
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	ev := l.fetchPiece(ctx, fetch{manifest: m, source: source})
	require.Equal(t, transfer.Failed, ev.ended.Outcome)
	require.NoError(t, ctx.Err())
}
