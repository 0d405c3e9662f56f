package bodybudget

// buffers keeps buffers of bodies that were never complete for other bodies. Without it,
// clients whose bodies are displaced would fill the heap with garbage faster than it is
// collected. Buffers of complete bodies are not kept: a request that has ended may still
// be sent to an upstream.
type buffers struct {
	free map[int][][]byte
	// held is the sum of the sizes, and limit its maximum, in bytes.
	held, limit int64
}

// take returns an empty buffer of a size, or nil if none is kept.
func (b *buffers) take(size int64) []byte {
	kept := b.free[int(size)]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	b.free[int(size)] = kept[:len(kept)-1]
	b.held -= size
	return last
}

// put keeps a buffer, unless it has a size that bodies rarely ask for, or the limit is
// reached.
func (b *buffers) put(buffer []byte) {
	size := int64(cap(buffer))
	if size < firstBufferBytes || b.held+size > b.limit {
		return
	}
	if b.free == nil {
		b.free = map[int][][]byte{}
	}
	b.free[cap(buffer)] = append(b.free[cap(buffer)], buffer[:0])
	b.held += size
}

// clear gives up all buffers.
func (b *buffers) clear() { b.free, b.held = nil, 0 }
