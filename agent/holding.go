package agent

import (
	"math/rand/v2"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

// holding is what the puller holds of one root. It is owned by the puller;
// what it hands out is never changed later.
type holding struct {
	root     fleet.Digest
	manifest *manifest.Manifest
	encoded  []byte
	chunks   []manifest.Chunk
	// data holds the verified chunks, nil for those that are not held.
	data  [][]byte
	bytes int64
	// added lists chunks in the order in which they were verified; it only
	// grows, so parts of it can be handed out.
	added []uint32
	epoch uint64
	// complete says that every chunk is held.
	complete bool
	// retaining says that the root was complete and only a share is left.
	retaining bool
}

func newHolding(root fleet.Digest, encoded []byte, m *manifest.Manifest) *holding {
	h := &holding{root: root, manifest: m, encoded: encoded, chunks: m.Chunks(), epoch: rand.Uint64()}
	h.data = make([][]byte, len(h.chunks))
	return h
}

func (h *holding) add(index int, data []byte) {
	if h.data[index] != nil {
		return
	}
	h.data[index] = data
	h.bytes += int64(len(data))
	h.added = append(h.added, uint32(index))
}

// set returns the held chunks as a set.
func (h *holding) set() transfer.Set {
	s := transfer.NewSet(len(h.chunks))
	for _, i := range h.added {
		s.Add(int(i))
	}
	return s
}

// reduced returns a holding with only the kept chunks. The old one stays as it
// is, because handlers may still read from it.
func (h *holding) reduced(kept transfer.Set) *holding {
	next := &holding{
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

// have returns what an asker does not know yet: additions if it knows this
// epoch, unless the whole set is shorter.
func (h *holding) have(epoch uint64, seq int) *wire.HaveSet {
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
