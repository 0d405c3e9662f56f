package transfer

import "math/bits"

// Set is a set of chunk indexes, one bit each. Bits beyond the number of
// chunks are never looked at.
type Set []uint64

const wordBits = 64

// NewSet returns an empty set for a number of chunks.
func NewSet(chunks int) Set { return make(Set, (chunks+wordBits-1)/wordBits) }

// Has reports whether i is in the set.
func (s Set) Has(i int) bool {
	return i >= 0 && i/wordBits < len(s) && s[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Add puts i into the set.
func (s Set) Add(i int) { s[i/wordBits] |= 1 << (i % wordBits) }

// Remove takes i out of the set.
func (s Set) Remove(i int) { s[i/wordBits] &^= 1 << (i % wordBits) }

// Count returns the number of indexes in the set.
func (s Set) Count() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// each calls f for every index of a word.
func each(word uint64, base int, f func(i int)) {
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
