package manifest

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

func safetensorsFile(header string, dataBytes int) []byte {
	out := binary.LittleEndian.AppendUint64(nil, uint64(len(header)))
	out = append(out, header...)
	return append(out, make([]byte, dataBytes)...)
}

const twoTensors = `{"__metadata__":{"k":"v"},"a":{"dtype":"U8","shape":[4],"data_offsets":[0,4]},"b":{"dtype":"U8","shape":[2],"data_offsets":[4,6]}}`

// Guards against accepting weight files that are truncated, too long, or whose
// tensors overlap.
func TestCheckSafetensors(t *testing.T) {
	for name, c := range map[string]struct {
		data  []byte
		valid bool
	}{
		"complete":            {safetensorsFile(twoTensors, 6), true},
		"cut off":             {safetensorsFile(twoTensors, 5), false},
		"too long":            {safetensorsFile(twoTensors, 7), false},
		"gap":                 {safetensorsFile(`{"a":{"data_offsets":[1,4]}}`, 4), false},
		"overlap":             {safetensorsFile(`{"a":{"data_offsets":[0,4]},"b":{"data_offsets":[2,6]}}`, 6), false},
		"backwards":           {safetensorsFile(`{"a":{"data_offsets":[0,-2]}}`, 0), false},
		"no offsets":          {safetensorsFile(`{"a":{}}`, 0), false},
		"not JSON":            {safetensorsFile(`[`, 0), false},
		"shorter than length": {[]byte{1, 2, 3}, false},
		"header past the end": {binary.LittleEndian.AppendUint64(nil, 1<<62), false},
		"huge header":         {binary.LittleEndian.AppendUint64(nil, 1<<63), false},
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckSafetensors(bytes.NewReader(c.data), int64(len(c.data)))
			require.Equal(t, c.valid, err == nil, "%v", err)
		})
	}
}

// Guards against a manifest for a tree with a damaged file, and against omitted
// files: empty ones and ones in folders.
func TestBuild(t *testing.T) {
	tree := fstest.MapFS{
		"empty.bin":             {Mode: 0o644},
		"part/a.safetensors":    {Data: safetensorsFile(twoTensors, 6), Mode: 0o644},
		"part/notes/readme.txt": {Data: bytes.Repeat([]byte("x"), 25), Mode: 0o644},
	}
	m, err := Build(tree, 10, nil)
	require.NoError(t, err)
	require.Len(t, m.Files, 3)
	require.Empty(t, m.Files[0].Chunks)
	chunks := m.Chunks()
	last := chunks[len(chunks)-1]
	require.Equal(t, int64(5), last.Length)
	require.True(t, last.Verify([]byte("xxxxx")))
	require.False(t, last.Verify([]byte("xxxxy")))

	tree["part/a.safetensors"].Data = safetensorsFile(twoTensors, 5)
	_, err = Build(tree, 10, nil)
	require.ErrorContains(t, err, "part/a.safetensors")
}

// Guards against paths that leave the tree or cannot be written, and against
// chunk counts that do not match the sizes.
func TestCheckRefuses(t *testing.T) {
	for name, m := range map[string]Manifest{
		"no files":        {ChunkBytes: 4},
		"no chunk size":   {Files: []File{{Path: "a"}}},
		"absolute":        {ChunkBytes: 4, Files: []File{{Path: "/a"}}},
		"parent":          {ChunkBytes: 4, Files: []File{{Path: "../a"}}},
		"hidden parent":   {ChunkBytes: 4, Files: []File{{Path: "b/../../a"}}},
		"not clean":       {ChunkBytes: 4, Files: []File{{Path: "b//a"}}},
		"backslash":       {ChunkBytes: 4, Files: []File{{Path: `..\a`}}},
		"zero byte":       {ChunkBytes: 4, Files: []File{{Path: "a\x00b"}}},
		"twice":           {ChunkBytes: 4, Files: []File{{Path: "a"}, {Path: "a"}}},
		"file and folder": {ChunkBytes: 4, Files: []File{{Path: "a"}, {Path: "a-b"}, {Path: "a/b"}}},
		"negative":        {ChunkBytes: 4, Files: []File{{Path: "a", Size: -1}}},
		"chunk missing":   {ChunkBytes: 4, Files: []File{{Path: "a", Size: 5, Chunks: make([]fleet.Digest, 1)}}},
		"chunk too many":  {ChunkBytes: 4, Files: []File{{Path: "a", Size: 0, Chunks: make([]fleet.Digest, 1)}}},
	} {
		t.Run(name, func(t *testing.T) { require.Error(t, m.Check()) })
	}
}

// Guards against input that crashes the decoder, and against an accepted
// manifest whose chunks do not cover its files exactly.
func FuzzDecode(f *testing.F) {
	m, err := Build(fstest.MapFS{"a.bin": {Data: []byte("0123456789"), Mode: 0o644}, "b": {Mode: 0o644}}, 4, nil)
	require.NoError(f, err)
	encoded, err := m.Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte(strings.Replace(string(encoded), `"a.bin"`, `"../a"`, 1)))
	f.Add([]byte(`{"chunk_bytes":4,"files":[{"path":"a","size":9223372036854775807}]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data, Root(data))
		if err != nil {
			return
		}
		covered := int64(0)
		for i, c := range m.Chunks() {
			require.Equal(t, i, c.Index)
			require.Positive(t, c.Length)
			require.LessOrEqual(t, c.Offset+c.Length, m.Files[c.File].Size)
			covered += c.Length
		}
		require.Equal(t, m.Size(), covered)
		for _, file := range m.Files {
			require.True(t, SafePath(file.Path))
		}
	})
}
