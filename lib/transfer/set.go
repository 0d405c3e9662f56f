package transfer

import "math/bits"

// Set is a bitmap of chunk indexes. Bits beyond the number of chunks are
// ignored.
type Set []uint64

const wordBits = 64

// NewSet returns an empty set for a number of chunks.
func NewSet(chunks int) Set { return make(Set, (chunks+wordBits-1)/wordBits) }

// Has reports whether i is in the set.
func (s Set) Has(i int) bool {
	return i >= 0 && i/wordBits < len(s) && s[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Add adds i to the set.
func (s Set) Add(i int) { s[i/wordBits] |= 1 << (i % wordBits) }

// Remove removes i from the set.
func (s Set) Remove(i int) { s[i/wordBits] &^= 1 << (i % wordBits) }

// Count returns the number of indexes in the set.
func (s Set) Count() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// forEachBit calls f for the index of every bit set in word, where base is the
// index of its first bit.
func forEachBit(word uint64, base int, f func(i int)) {
	for word != 0 {
		f(base + bits.TrailingZeros64(word))
		word &= word - 1
	}
}

// clip returns a copy of s without bits beyond the number of chunks.
func (s Set) clip(chunks int) Set {
	out := NewSet(chunks)
	copy(out, s)
	if r := chunks % wordBits; r != 0 && len(out) > 0 {
		out[len(out)-1] &= 1<<r - 1
	}
	return out
}
