package viewsync

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

// fixedSource is a source that always returns one batch and notes what was asked for.
type fixedSource struct {
	batch published.Batch
	after *published.Revision
}

func (f fixedSource) Since(_ context.Context, after published.Revision) (published.Batch, error) {
	if f.after != nil {
		*f.after = after
	}
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
	s := httptest.NewServer(Handler(fixedSource{batch: b}))
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
		ages := map[string][]published.VersionAge{"m": {{Version: 2, Number: 5, AgeMS: ms}}}
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

// Guards against eras of the store that are lost between processes, and against numbers
// that builds which know no eras cannot read.
func TestRevisionsAreSentWithTheirEra(t *testing.T) {
	var after published.Revision
	r := published.NewRevision(3, 9)
	source := fixedSource{after: &after, batch: published.Batch{Revision: r, Changes: []published.Change{{Key: "a", Revision: r}}}}
	s := httptest.NewServer(Handler(source))
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	b, err := NewClient(decode).Changes(context.Background(), address, published.NewRevision(2, 40), "")
	require.NoError(t, err)
	require.Equal(t, published.NewRevision(2, 40), after)
	require.Equal(t, r, b.Revision)
	require.Equal(t, r, b.Changes[0].Revision)
	resp, err := http.Get(s.URL + Path + "?after=40")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), `"revision":9,`)
	require.Equal(t, published.Revision(40), after)
}

// Guards against one item of a peer that cannot be decoded and makes the whole view of the
// peer unreadable: a gateway without a store would not follow the peers any more.
func TestOddItemOfAPeerHidesNoOther(t *testing.T) {
	const sound = `{"key":"a","revision":5,"raw":"AAE="}`
	for name, odd := range map[string]string{
		"negative revision": `{"key":"b","revision":-1,"raw":"AAE="}`,
		"great revision":    `{"key":"b","revision":1e400}`,
		"no revision":       `{"key":"b"}`,
		"era as text":       `{"key":"b","revision":4,"era":"1"}`,
		"not base64":        `{"key":"b","revision":4,"raw":"*"}`,
		"removed as text":   `{"key":"b","revision":4,"removed":"no"}`,
		"key of lists":      `{"key":[],"revision":4}`,
		"nested":            strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"null":              `null`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":9,"ages":{"m":[{"v":-1e400}]},"items":[`+odd+`,`+sound+`]}`)
		}))
		b, err := NewClient(decode).Changes(context.Background(), strings.TrimPrefix(s.URL, "http://"), 0, "")
		s.Close()
		if assert.NoError(t, err, name) {
			assert.Len(t, b.Findings, 1, name)
			assert.Equal(t, []published.Change{{Key: "a", Revision: 5, Raw: []byte{0, 1}}}, b.Changes, name)
		}
	}
}
