package wire

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// HaveSet is the set of chunks of a root that an agent holds. The full set is
// sent as a bitmap. A peer that already knows the set of an epoch up to a
// position gets only the chunks that were added after that position.
type HaveSet struct {
	// Epoch changes when the holder drops chunks.
	Epoch uint64
	// Seq is the position in the epoch: the number of chunks added in it.
	Seq uint32
	// Retaining is true if the holder has completed the root and kept its share
	// of the chunks.
	Retaining bool
	// Full is true if Bitmap holds the full set. Otherwise Added holds the
	// indexes of the chunks that the peer does not know yet.
	Full   bool
	Bitmap []uint64
	Added  []uint32
}

// MaxHaveSetBytes is the maximum size of an encoded HaveSet, enough for a bitmap
// of eight million chunks.
const MaxHaveSetBytes = 1 << 20

const (
	haveSetVersion     = 1
	haveSetHeaderBytes = 1 + 1 + 8 + 4
	flagRetaining      = 1 << 0
	flagFull           = 1 << 1
)

// Encode returns the binary encoding: version, flags, epoch, position, and then
// the 64-bit words of the bitmap or the 32-bit indexes, all little-endian.
func (h *HaveSet) Encode() []byte {
	out := make([]byte, 0, haveSetHeaderBytes+8*len(h.Bitmap)+4*len(h.Added))
	var flags byte
	if h.Retaining {
		flags |= flagRetaining
	}
	if h.Full {
		flags |= flagFull
	}
	out = append(out, haveSetVersion, flags)
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

// DecodeHaveSet parses an encoded set. It returns an error for data that Encode
// cannot produce.
func DecodeHaveSet(data []byte) (*HaveSet, error) {
	if len(data) < haveSetHeaderBytes || len(data) > MaxHaveSetBytes {
		return nil, eris.Errorf("have-set has %d bytes, want %d to %d", len(data), haveSetHeaderBytes, MaxHaveSetBytes)
	}
	if data[0] != haveSetVersion || data[1]&^(flagRetaining|flagFull) != 0 {
		return nil, eris.Errorf("have-set has version %d and flags %#x", data[0], data[1])
	}
	h := &HaveSet{
		Retaining: data[1]&flagRetaining != 0,
		Full:      data[1]&flagFull != 0,
		Epoch:     binary.LittleEndian.Uint64(data[2:]),
		Seq:       binary.LittleEndian.Uint32(data[10:]),
	}
	body := data[haveSetHeaderBytes:]
	if h.Full {
		return h, h.decodeBitmap(body)
	}
	return h, h.decodeAdded(body)
}

func (h *HaveSet) decodeBitmap(body []byte) error {
	if len(body)%8 != 0 {
		return eris.Errorf("bitmap has %d bytes, want whole words", len(body))
	}
	for ; len(body) > 0; body = body[8:] {
		h.Bitmap = append(h.Bitmap, binary.LittleEndian.Uint64(body))
	}
	return nil
}

func (h *HaveSet) decodeAdded(body []byte) error {
	if len(body)%4 != 0 {
		return eris.Errorf("list has %d bytes, want whole indexes", len(body))
	}
	for ; len(body) > 0; body = body[4:] {
		h.Added = append(h.Added, binary.LittleEndian.Uint32(body))
	}
	return nil
}
