package weightstore

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestClient returns a client of a server that serves one file with an ETag through
// http.ServeContent, or that answers with a fixed status.
func newTestClient(t *testing.T, status int, tag string) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		http.ServeContent(w, r, "", time.Time{}, strings.NewReader("0123456789"))
	}))
	t.Cleanup(s.Close)
	return New(s.URL+"/", s.Client())
}

// Guards against counting chunks of another version for the transfer.
func TestChangedETagEndsTheRead(t *testing.T) {
	ctx := context.Background()
	c := newTestClient(t, 0, `"v2"`)
	body, tag, err := c.Range(ctx, "a b", 2, 3, "")
	require.NoError(t, err)
	data, err := io.ReadAll(body)
	require.NoError(t, err)
	require.NoError(t, body.Close())
	require.Equal(t, "234", string(data))
	require.Equal(t, ETag(`"v2"`), tag)

	_, _, err = c.Range(ctx, "a b", 2, 3, tag)
	require.NoError(t, err)
	_, _, err = c.Range(ctx, "a b", 2, 3, `"v1"`)
	require.ErrorIs(t, err, ErrChanged)
}

// Guards against using a weak ETag, which does not guarantee equal bytes, as a
// strong one.
func TestWeakETagIsIgnored(t *testing.T) {
	_, tag, err := newTestClient(t, 0, `W/"v1"`).Range(context.Background(), "a", 0, 1, "")
	require.NoError(t, err)
	require.Empty(t, tag)
}

// Guards against a transfer that ends because the store was busy, and against
// endless retries for a missing tree as if the store were busy.
func TestStatusDistinguishesBusyFromChanged(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusTooManyRequests:    ErrBusy,
		http.StatusServiceUnavailable: ErrBusy,
		http.StatusNotFound:           ErrChanged,
		http.StatusPreconditionFailed: ErrChanged,
	} {
		_, _, err := newTestClient(t, status, "").Range(context.Background(), "a", 0, 1, "")
		require.ErrorIs(t, err, want, "status %d", status)
	}
	_, _, err := newTestClient(t, http.StatusInternalServerError, "").Range(context.Background(), "a", 0, 1, "")
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrBusy)
	require.NotErrorIs(t, err, ErrChanged)
}

// Guards against reading a manifest of unlimited size.
func TestManifestIsBounded(t *testing.T) {
	c := newTestClient(t, 0, "")
	_, err := c.Manifest(context.Background(), 9)
	require.Error(t, err)
	data, err := c.Manifest(context.Background(), 10)
	require.NoError(t, err)
	require.Len(t, data, 10)
}
