package wire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Have is what an agent holds of a root. A whole set travels as a bitmap; an
// agent that knows the set of an epoch up to some position is sent only the
// chunks that came after.
type Have struct {
	// Epoch changes when the holder dropped chunks.
	Epoch uint64
	// Seq is the number of chunks that were added in the epoch.
	Seq uint32
	// Retaining says that the holder completed the root and kept its share.
	Retaining bool
	// Full says that Bitmap is the whole set; otherwise Added extends it.
	Full   bool
	Bitmap []uint64
	Added  []uint32
}

// MaxHaveBytes bounds an encoded Have: a bitmap of eight million chunks.
const MaxHaveBytes = 1 << 20

const (
	haveVersion     = 1
	haveHeaderBytes = 1 + 1 + 8 + 4
	flagRetaining   = 1 << 0
	flagFull        = 1 << 1
)

// Encode returns the message in its binary form: version, flags, epoch,
// position, then 64-bit words of the bitmap or 32-bit indexes, little-endian.
func (h *Have) Encode() []byte {
	out := make([]byte, 0, haveHeaderBytes+8*len(h.Bitmap)+4*len(h.Added))
	var flags byte
	if h.Retaining {
		flags |= flagRetaining
	}
	if h.Full {
		flags |= flagFull
	}
	out = append(out, haveVersion, flags)
	out = binary.LittleEndian.AppendUint64(out, h.Epoch)
	out = binary.LittleEndian.AppendUint32(out, h.Seq)
	if h.Full {
		for _, w := range h.Bitmap {
			out = binary.LittleEndian.AppendUint64(out, w)
		}
		return out
	}
	for _, i := range h.Added {
		out = binary.LittleEndian.AppendUint32(out, i)
	}
	return out
}

// DecodeHave parses an encoded message and refuses what Encode cannot produce.
func DecodeHave(data []byte) (*Have, error) {
	if len(data) < haveHeaderBytes || len(data) > MaxHaveBytes {
		return nil, eris.Errorf("have-set has %d bytes, want %d to %d", len(data), haveHeaderBytes, MaxHaveBytes)
	}
	if data[0] != haveVersion || data[1]&^(flagRetaining|flagFull) != 0 {
		return nil, eris.Errorf("have-set has version %d and flags %#x", data[0], data[1])
	}
	h := &Have{
		Retaining: data[1]&flagRetaining != 0,
		Full:      data[1]&flagFull != 0,
		Epoch:     binary.LittleEndian.Uint64(data[2:]),
		Seq:       binary.LittleEndian.Uint32(data[10:]),
	}
	body := data[haveHeaderBytes:]
	if h.Full {
		return h, h.decodeBitmap(body)
	}
	return h, h.decodeAdded(body)
}

func (h *Have) decodeBitmap(body []byte) error {
	if len(body)%8 != 0 {
		return eris.Errorf("bitmap has %d bytes, want whole words", len(body))
	}
	for ; len(body) > 0; body = body[8:] {
		h.Bitmap = append(h.Bitmap, binary.LittleEndian.Uint64(body))
	}
	return nil
}

func (h *Have) decodeAdded(body []byte) error {
	if len(body)%4 != 0 {
		return eris.Errorf("list has %d bytes, want whole indexes", len(body))
	}
	for ; len(body) > 0; body = body[4:] {
		h.Added = append(h.Added, binary.LittleEndian.Uint32(body))
	}
	return nil
}
