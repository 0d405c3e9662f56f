package agent

import (
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/transfer"
)

func testHeldChunks(t *testing.T) *heldChunks {
	t.Helper()
	tree := fstest.MapFS{
		"a.bin":   {Data: []byte("0123456789"), Mode: 0o644},
		"b.empty": {Mode: 0o644},
		"c.bin":   {Data: []byte("abcde"), Mode: 0o644},
	}
	m, err := manifest.Build(tree, 4, nil)
	require.NoError(t, err)
	encoded, err := m.Encode()
	require.NoError(t, err)
	return newHeldChunks(manifest.Root(encoded), encoded, m)
}

// Guards against serving a file of an incomplete root to the engine, and against
// files assembled from wrong chunks.
func TestFileOnlyOfCompleteRoot(t *testing.T) {
	h := testHeldChunks(t)
	for i, data := range []string{"0123", "4567", "89", "abcd", "e"} {
		require.False(t, h.file("a.bin").found)
		h.add(i, []byte(data))
	}
	require.False(t, h.file("a.bin").found, "served before the root is marked complete")
	h.complete = true
	var c []byte
	for _, data := range h.file("c.bin").data {
		c = append(c, data...)
	}
	require.Equal(t, "abcde", string(c))
	require.True(t, h.file("b.empty").found)
	require.Empty(t, h.file("b.empty").data)
	require.False(t, h.file("d.bin").found)
}

// Guards against a have-set that omits additions, and against one that does not
// show a reduction, which drops chunks that the peer has seen before.
func TestHaveAnswersAdditions(t *testing.T) {
	h := testHeldChunks(t)
	h.add(3, []byte("abcd"))
	first := h.have(0, 0)
	require.True(t, first.Full)
	require.True(t, transfer.Set(first.Bitmap).Has(3))
	h.add(1, []byte("4567"))
	next := h.have(first.Epoch, int(first.Seq))
	require.False(t, next.Full)
	require.Equal(t, []uint32{1}, next.Added)
	require.Empty(t, h.have(next.Epoch, int(next.Seq)).Added)
	require.True(t, h.have(next.Epoch, 99).Full, "position is beyond the last addition")

	h.complete = true
	kept := transfer.NewSet(5)
	kept.Add(1)
	share := h.reduced(kept)
	after := share.have(next.Epoch, int(next.Seq))
	require.True(t, after.Full)
	require.True(t, after.Retaining)
	require.Equal(t, 1, transfer.Set(after.Bitmap).Count())
	require.Equal(t, int64(4), share.bytes)
	require.NotNil(t, h.data[3], "handlers may still read from the original")
}

// Guards against an unlimited number of uploads and against a leaked upload slot.
func TestUploadsAreBounded(t *testing.T) {
	h := testHeldChunks(t)
	h.add(0, []byte("0123"))
	p := &puller{held: h}
	q := chunkQuery{root: h.root, index: 0}
	for range maxUploads {
		require.NotNil(t, p.reserveUpload(q).data)
	}
	require.True(t, p.reserveUpload(q).busy)
	p.uploads--
	require.NotNil(t, p.reserveUpload(q).data)
	for _, index := range []int{-1, 1, 5} {
		q.index = index
		require.Equal(t, chunkReply{}, p.reserveUpload(q))
	}
	require.Equal(t, chunkReply{}, p.reserveUpload(chunkQuery{root: fleet.Digest{9}, index: 0}))
}

// Guards against a puller that wakes without anything to do, and against one that
// loops on a retry of a root that is not configured.
func TestNextTick(t *testing.T) {
	now := time.Unix(1000, 0)
	root := fleet.Digest{1}
	p := &puller{}
	require.True(t, p.nextTick(now).IsZero(), "idle")

	p.target = &config.Profile{Weights: config.Weights{Root: root}}
	p.retryAt = now.Add(-time.Second)
	require.True(t, p.nextTick(now).IsZero(), "root is not configured")
	p.configuredRoot = root
	require.Equal(t, p.retryAt, p.nextTick(now))
	p.reduceAt = now.Add(-time.Minute)
	require.Equal(t, p.reduceAt, p.nextTick(now))

	p.attempt = &attempt{}
	require.Equal(t, now.Add(pullerTickInterval), p.nextTick(now))
	p.tickAt = now.Add(-time.Millisecond)
	require.Equal(t, p.tickAt, p.nextTick(now), "events must not delay a tick that is due")
}
