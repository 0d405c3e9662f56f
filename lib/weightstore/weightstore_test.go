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

// server answers with a file behind a tag, as http.ServeContent does, or with
// a fixed status.
func server(t *testing.T, status int, tag string) *Client {
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

// Guards against chunks of another version that count for the transfer.
func TestChangedTagEndsTheRead(t *testing.T) {
	ctx := context.Background()
	c := server(t, 0, `"v2"`)
	body, tag, err := c.Range(ctx, "a b", 2, 3, "")
	require.NoError(t, err)
	data, err := io.ReadAll(body)
	require.NoError(t, err)
	require.NoError(t, body.Close())
	require.Equal(t, "234", string(data))
	require.Equal(t, Tag(`"v2"`), tag)

	_, _, err = c.Range(ctx, "a b", 2, 3, tag)
	require.NoError(t, err)
	_, _, err = c.Range(ctx, "a b", 2, 3, `"v1"`)
	require.ErrorIs(t, err, ErrChanged)
}

// Guards against a weak tag, which does not say that bytes are equal, being
// taken for a strong one.
func TestWeakTagIsNoTag(t *testing.T) {
	_, tag, err := server(t, 0, `W/"v1"`).Range(context.Background(), "a", 0, 1, "")
	require.NoError(t, err)
	require.Empty(t, tag)
}

// Guards against refusals that end a transfer, and against a missing tree that
// is asked for without end as if it were busy.
func TestStatusTellsBusyFromChanged(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusTooManyRequests:    ErrBusy,
		http.StatusServiceUnavailable: ErrBusy,
		http.StatusNotFound:           ErrChanged,
		http.StatusPreconditionFailed: ErrChanged,
	} {
		_, _, err := server(t, status, "").Range(context.Background(), "a", 0, 1, "")
		require.ErrorIs(t, err, want, "status %d", status)
	}
	_, _, err := server(t, http.StatusInternalServerError, "").Range(context.Background(), "a", 0, 1, "")
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrBusy)
	require.NotErrorIs(t, err, ErrChanged)
}

// Guards against a manifest without end.
func TestManifestIsBounded(t *testing.T) {
	c := server(t, 0, "")
	_, err := c.Manifest(context.Background(), 9)
	require.Error(t, err)
	data, err := c.Manifest(context.Background(), 10)
	require.NoError(t, err)
	require.Len(t, data, 10)
}
