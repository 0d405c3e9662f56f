package agent

import (
	"math/rand/v2"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

// heldChunks holds the verified chunks of one root. It is owned by the puller.
// Data that it has passed to handlers never changes.
type heldChunks struct {
	root     fleet.Digest
	manifest *manifest.Manifest
	encoded  []byte
	chunks   []manifest.Chunk
	// data holds the verified chunks by index, nil for missing ones.
	data  [][]byte
	bytes int64
	// added lists the indexes of the chunks in the order in which they were
	// verified. It is only appended to, so subslices can be shared.
	added []uint32
	// epoch identifies this list of additions to peers that poll it.
	epoch uint64
	// complete is set if every chunk is present.
	complete bool
	// retaining is set if the root was complete and has been reduced to a share.
	retaining bool
}

func newHeldChunks(root fleet.Digest, encoded []byte, m *manifest.Manifest) *heldChunks {
	h := &heldChunks{root: root, manifest: m, encoded: encoded, chunks: m.Chunks(), epoch: rand.Uint64()}
	h.data = make([][]byte, len(h.chunks))
	return h
}

func (h *heldChunks) add(index int, data []byte) {
	if h.data[index] != nil {
		return
	}
	h.data[index] = data
	h.bytes += int64(len(data))
	h.added = append(h.added, uint32(index))
}

// set returns the set of chunks that are present.
func (h *heldChunks) set() transfer.Set {
	s := transfer.NewSet(len(h.chunks))
	for _, i := range h.added {
		s.Add(int(i))
	}
	return s
}

// reduced returns a copy with only the chunks in kept. The original does not
// change, because handlers may still read from it.
func (h *heldChunks) reduced(kept transfer.Set) *heldChunks {
	next := &heldChunks{
		root: h.root, manifest: h.manifest, encoded: h.encoded, chunks: h.chunks,
		data: make([][]byte, len(h.chunks)), epoch: rand.Uint64(), retaining: h.complete || h.retaining,
	}
	for _, i := range h.added {
		if kept.Has(int(i)) {
			next.add(int(i), h.data[i])
		}
	}
	next.complete = len(next.added) == len(next.chunks)
	return next
}

// have returns the have-set for a peer that last saw the given epoch and
// position. It contains only the additions since then, or the full set if the
// epoch differs or the full set is shorter.
func (h *heldChunks) have(epoch uint64, seq int) *wire.HaveSet {
	out := &wire.HaveSet{Epoch: h.epoch, Seq: uint32(len(h.added)), Retaining: h.retaining}
	words := (len(h.chunks) + 63) / 64
	if epoch == h.epoch && seq >= 0 && seq <= len(h.added) && len(h.added)-seq <= 2*words {
		out.Added = h.added[seq:len(h.added):len(h.added)]
		return out
	}
	out.Full = true
	out.Bitmap = h.set()
	return out
}
