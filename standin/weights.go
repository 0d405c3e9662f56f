package standin

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"testing/fstest"
)

// headerLengthBytes is the size of the header length field at the start of a
// safetensors file.
const headerLengthBytes = 8

// GenerateWeights returns the files of a weight tree of about size bytes by path: a
// file in the safetensors format, a settings file and an empty file. The same
// size and seed give the same content.
func GenerateWeights(size int, seed uint64) map[string][]byte {
	return map[string][]byte{
		"config.json":       fmt.Appendf(nil, `{"seed":%d}`, seed),
		"empty.bin":         {},
		"model.safetensors": safetensors(size, seed),
	}
}

func safetensors(size int, seed uint64) []byte {
	header := fmt.Sprintf(`{"weight":{"dtype":"U8","shape":[%d],"data_offsets":[0,%d]}}`, size, size)
	out := make([]byte, headerLengthBytes, headerLengthBytes+len(header)+size)
	binary.LittleEndian.PutUint64(out, uint64(len(header)))
	out = append(out, header...)
	data := make([]byte, size)
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	_, _ = rand.NewChaCha8(key).Read(data)
	return append(out, data...)
}

// Tree returns a file system with the given files.
func Tree(files map[string][]byte) fs.FS {
	tree := fstest.MapFS{}
	for name, data := range files {
		tree[name] = &fstest.MapFile{Data: data, Mode: 0o644}
	}
	return tree
}
