// Package manifest describes a tree of weight files by the digests of its chunks.
//
// A configuration names only the root digest, which is the digest of the encoded
// manifest. With the root, every chunk can be verified.
package manifest

import (
	"encoding/json"
	"path"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/zeebo/blake3"

	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/fleet"
)

// DefaultChunkBytes is the default chunk size in bytes.
const DefaultChunkBytes = 1 << 20

// MaxChunkBytes is the largest chunk size. It bounds the memory of one chunk in
// flight.
const MaxChunkBytes = 64 << 20

// MaxManifestBytes is the largest encoded manifest that is read from a peer, a
// store or an origin.
const MaxManifestBytes = 64 << 20

// MaxChunks is the largest number of chunks of a manifest. It also bounds the
// size of a have-set.
const MaxChunks = 1 << 20

// Manifest lists the files of a weight tree in ascending order of their paths.
type Manifest struct {
	// ChunkBytes is the size of every chunk except the last one of each file.
	ChunkBytes int64  `json:"chunk_bytes"`
	Files      []File `json:"files"`
}

// File is one file of the tree.
type File struct {
	// Path is relative to the tree, does not leave it, and uses slashes.
	Path string `json:"path"`
	// Size is the length in bytes. An empty file has no chunks.
	Size   int64          `json:"size"`
	Chunks []fleet.Digest `json:"chunks,omitempty"`
}

// Chunk is one part of a file. Transfers identify it by its index.
type Chunk struct {
	// Index counts chunks over the whole manifest, from 0.
	Index  int
	File   int
	Offset int64
	Length int64
	Digest fleet.Digest
}

// Encode returns the JSON encoding of the manifest, whose digest is the root.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, eris.Wrap(err, "encode manifest")
}

// Root returns the root of an encoded manifest: its BLAKE3 digest.
func Root(encoded []byte) fleet.Digest { return blake3.Sum256(encoded) }

// Decode decodes an encoded manifest, which must have the digest root, and checks
// it as Check does.
func Decode(encoded []byte, root fleet.Digest) (*Manifest, error) {
	if got := Root(encoded); got != root {
		return nil, eris.Errorf("manifest has digest %s, want %s", got, root)
	}
	var m Manifest
	if err := json.Unmarshal(encoded, &m); err != nil {
		return nil, eris.Wrap(err, "manifest is not valid JSON")
	}
	if err := m.Check(); err != nil {
		return nil, err
	}
	return &m, nil
}

// Check validates paths, sizes and chunk counts. The error is a *finding.Error
// with all findings.
func (m *Manifest) Check() error {
	var findings finding.List
	if m.ChunkBytes < 1 || m.ChunkBytes > MaxChunkBytes {
		findings.Add("chunk_bytes", "is %d, want 1 to %d", m.ChunkBytes, MaxChunkBytes)
		return findings.Err()
	}
	if len(m.Files) == 0 {
		findings.Add("files", "is empty")
	}
	m.checkPathConflicts(&findings)
	previous := ""
	chunks := 0
	for _, f := range m.Files {
		key := "files[" + f.Path + "]"
		if !SafePath(f.Path) {
			findings.Add(key, "path is not a clean relative path inside the tree")
		}
		if f.Path <= previous {
			findings.Add(key, "files are not in strictly ascending order of path")
		}
		previous = f.Path
		chunks += len(f.Chunks)
		if f.Size < 0 {
			findings.Add(key, "size is negative")
			continue
		}
		if want := chunkCount(f.Size, m.ChunkBytes); int64(len(f.Chunks)) != want {
			findings.Add(key, "has %d chunks, want %d for %d bytes", len(f.Chunks), want, f.Size)
		}
	}
	if chunks > MaxChunks {
		findings.Add("files", "have %d chunks, the limit is %d; choose larger chunks", chunks, MaxChunks)
	}
	return findings.Err()
}

// checkPathConflicts finds paths that are both a file and a folder, which no file
// system can store.
func (m *Manifest) checkPathConflicts(findings *finding.List) {
	files := make(map[string]bool, len(m.Files))
	for _, f := range m.Files {
		files[f.Path] = true
	}
	for _, f := range m.Files {
		for dir := path.Dir(f.Path); dir != "." && dir != "/"; dir = path.Dir(dir) {
			if files[dir] {
				findings.Add("files["+f.Path+"]", "%s is a file and a folder", dir)
				break
			}
		}
	}
}

// SafePath reports whether a path from a manifest is a clean relative path inside
// the tree.
func SafePath(p string) bool {
	if p == "" || p == "." || strings.ContainsAny(p, "\\\x00") || path.IsAbs(p) {
		return false
	}
	return path.Clean(p) == p && p != ".." && !strings.HasPrefix(p, "../")
}

func chunkCount(size, chunkBytes int64) int64 {
	n := size / chunkBytes
	if size%chunkBytes != 0 {
		n++
	}
	return n
}

// Size returns the length of all files in bytes.
func (m *Manifest) Size() int64 {
	var total int64
	for _, f := range m.Files {
		total += f.Size
	}
	return total
}

// Chunks returns all chunks in the order of their index.
func (m *Manifest) Chunks() []Chunk {
	var chunks []Chunk
	for fi, f := range m.Files {
		for ci, digest := range f.Chunks {
			offset := int64(ci) * m.ChunkBytes
			chunks = append(chunks, Chunk{
				Index:  len(chunks),
				File:   fi,
				Offset: offset,
				Length: min(m.ChunkBytes, f.Size-offset),
				Digest: digest,
			})
		}
	}
	return chunks
}

// Verify reports whether data is the content of the chunk.
func (c Chunk) Verify(data []byte) bool {
	return int64(len(data)) == c.Length && fleet.Digest(blake3.Sum256(data)) == c.Digest
}
