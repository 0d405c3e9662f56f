package manifest

import (
	"errors"
	"io"
	"io/fs"
	"sort"

	"github.com/rotisserie/eris"
	"github.com/zeebo/blake3"
)

// Progress is called after each file while a manifest is built. path is that file
// and done the number of bytes read so far.
type Progress func(path string, done int64)

// Build reads a weight tree and returns its manifest, with chunks of chunkBytes.
// progress may be nil. Symbolic links and special files are errors, because their
// content is not in the tree.
func Build(tree fs.FS, chunkBytes int64, progress Progress) (*Manifest, error) {
	m := &Manifest{ChunkBytes: chunkBytes}
	var bytesRead int64
	err := fs.WalkDir(tree, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return nil
		}
		if !entry.Type().IsRegular() {
			return eris.Errorf("%s is not a regular file", name)
		}
		file, err := buildFile(tree, name, chunkBytes)
		if err != nil {
			return err
		}
		if err := checkFormat(tree, name, file.Size); err != nil {
			return err
		}
		m.Files = append(m.Files, file)
		bytesRead += file.Size
		if progress != nil {
			progress(name, bytesRead)
		}
		return nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "read weight tree")
	}
	sort.Slice(m.Files, func(i, j int) bool { return m.Files[i].Path < m.Files[j].Path })
	return m, m.Check()
}

func buildFile(tree fs.FS, name string, chunkBytes int64) (File, error) {
	file := File{Path: name}
	r, err := tree.Open(name)
	if err != nil {
		return file, err
	}
	defer func() { _ = r.Close() }()
	chunk := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(r, chunk)
		if n > 0 {
			file.Chunks = append(file.Chunks, blake3.Sum256(chunk[:n]))
			file.Size += int64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return file, nil
		}
		if err != nil {
			return file, err
		}
	}
}
