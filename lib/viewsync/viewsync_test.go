package viewsync

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

type fixedSource struct{ batch published.Batch }

func (f fixedSource) Since(context.Context, published.Revision) (published.Batch, error) {
	return f.batch, nil
}

func decode(key string, revision published.Revision, removed bool, raw []byte) (published.Change, error) {
	c := published.Change{Key: key, Revision: revision, Removed: removed, Raw: raw}
	if string(raw) == "unreadable" {
		c.Removed = true
		return c, errors.New("unreadable")
	}
	return c, nil
}

func serve(t *testing.T, b published.Batch) string {
	s := httptest.NewServer(Handler(fixedSource{b}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against items that are altered in transfer, and against an item that
// cannot be decoded and hides the others.
func TestItemsAreReadAsPublished(t *testing.T) {
	ages := map[string][]published.VersionAge{"m": {{Version: 2, AgeMS: 1500}}}
	address := serve(t, published.Batch{Revision: 9, Ages: ages, Changes: []published.Change{
		{Key: "a/1", Revision: 5, Raw: []byte{0, 1, 255}},
		{Key: "a/2", Revision: 6, Removed: true},
		{Key: "a/3", Revision: 7, Raw: []byte("unreadable")},
		{Key: "b/1", Revision: 8, Raw: []byte("other")},
	}})
	b, err := NewClient(decode).Changes(context.Background(), address, 0, "a/")
	require.NoError(t, err)
	require.Equal(t, published.Revision(9), b.Revision)
	require.Equal(t, ages, b.Ages)
	require.Len(t, b.Findings, 1)
	require.Equal(t, []published.Change{
		{Key: "a/1", Revision: 5, Raw: []byte{0, 1, 255}},
		{Key: "a/2", Revision: 6, Removed: true},
		{Key: "a/3", Revision: 7, Removed: true, Raw: []byte("unreadable")},
	}, b.Changes)
}

// Guards against a faulty process whose impossible ages end the update windows of its
// readers. Its items still count.
func TestImpossibleAgesAreIgnored(t *testing.T) {
	for _, ms := range []int64{-1, time.Hour.Milliseconds()} {
		ages := map[string][]published.VersionAge{"m": {{Version: 2, Revision: 5, AgeMS: ms}}}
		address := serve(t, published.Batch{Revision: 5, Ages: ages, Changes: []published.Change{{Key: "a", Revision: 5}}})
		b, err := NewClient(decode).Changes(context.Background(), address, 0, "")
		require.NoError(t, err)
		require.Empty(t, b.Ages)
		require.Len(t, b.Changes, 1)
	}
}

// Guards against a fallback that gives up at the first unavailable process.
func TestFallbackTriesTheNextProcess(t *testing.T) {
	available := serve(t, published.Batch{Revision: 1, Changes: []published.Change{{Key: "a", Revision: 1}}})
	f := Fallback{Client: NewClient(decode), Addresses: []string{"127.0.0.1:1", available}}
	b, err := f.Snapshot(context.Background(), "")
	require.NoError(t, err)
	require.Len(t, b.Changes, 1)
	f.Addresses = f.Addresses[:1]
	_, err = f.Snapshot(context.Background(), "")
	require.Error(t, err)
}
