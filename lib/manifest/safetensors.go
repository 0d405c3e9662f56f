package manifest

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"io/fs"
	"path"
	"sort"

	"github.com/rotisserie/eris"
)

const (
	safetensorsSuffix = ".safetensors"
	// safetensorsLengthFieldBytes is the size of the header length field at the
	// start of a file.
	safetensorsLengthFieldBytes = 8
	// maxSafetensorsHeader is the largest header, in bytes, that readers of the
	// format accept.
	maxSafetensorsHeader = 100_000_000
	// safetensorsMetadata is the one header entry that is not a tensor.
	safetensorsMetadata = "__metadata__"
)

// tensor is the header entry of a tensor, reduced to its position in the file.
type tensor struct {
	Offsets *[2]int64 `json:"data_offsets"`
}

// CheckSafetensors reads the header of a safetensors file of size bytes and
// checks that the tensors fill the file exactly. This detects a file that was
// truncated or written twice before it is distributed.
func CheckSafetensors(r io.Reader, size int64) error {
	var field [safetensorsLengthFieldBytes]byte
	if _, err := io.ReadFull(r, field[:]); err != nil {
		return eris.Wrapf(err, "file of %d bytes has no header length", size)
	}
	length := binary.LittleEndian.Uint64(field[:])
	if length > maxSafetensorsHeader || int64(length) > size-safetensorsLengthFieldBytes {
		return eris.Errorf("header has %d bytes, file has %d", length, size)
	}
	header := make([]byte, length)
	if _, err := io.ReadFull(r, header); err != nil {
		return eris.Wrap(err, "read header")
	}
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(header, &entries); err != nil {
		return eris.Wrap(err, "header is not a JSON object")
	}
	return checkTensors(entries, size-safetensorsLengthFieldBytes-int64(length))
}

// checkTensors checks that the tensors cover all data bytes without gap or
// overlap.
func checkTensors(entries map[string]json.RawMessage, dataBytes int64) error {
	var spans [][2]int64
	for name, raw := range entries {
		if name == safetensorsMetadata {
			continue
		}
		var t tensor
		if err := json.Unmarshal(raw, &t); err != nil || t.Offsets == nil {
			return eris.Errorf("tensor %q has no data_offsets", name)
		}
		spans = append(spans, *t.Offsets)
	}
	sort.Slice(spans, func(i, j int) bool {
		return spans[i][0] < spans[j][0] || (spans[i][0] == spans[j][0] && spans[i][1] < spans[j][1])
	})
	end := int64(0)
	for _, s := range spans {
		if s[0] != end || s[1] < s[0] {
			return eris.Errorf("tensor data from %d to %d does not follow on %d", s[0], s[1], end)
		}
		end = s[1]
	}
	if end != dataBytes {
		return eris.Errorf("tensors take %d bytes, file holds %d", end, dataBytes)
	}
	return nil
}

// checkFormat checks the content of files whose format is known by their name.
func checkFormat(tree fs.FS, name string, size int64) error {
	if path.Ext(name) != safetensorsSuffix {
		return nil
	}
	r, err := tree.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	return eris.Wrapf(CheckSafetensors(r, size), "%s", name)
}
