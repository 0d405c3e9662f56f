package routing

import (
	"github.com/cespare/xxhash/v2"

	"rattanspur.example/lib/fleet"
)

const (
	// prefixBytes is the number of first bytes of a prompt that identify its
	// prefix.
	prefixBytes = 256
	// prefixSlots bounds the prefixes that an entry remembers; it is a power
	// of two.
	prefixSlots = 4096
)

// PrefixOf returns the hash of the first bytes of a prompt. A prompt shorter
// than that has no prefix worth a cache, so 0 is returned.
func PrefixOf(prompt []byte) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(prompt[:prefixBytes])
}

// prefixes remembers which replica last saw a prompt prefix. A newer prefix
// replaces an older one in the same slot. What it says is only a hint.
type prefixes struct{ slots []prefixSlot }

type prefixSlot struct {
	hash uint64
	id   fleet.InstanceID
}

func newPrefixes() *prefixes { return &prefixes{slots: make([]prefixSlot, prefixSlots)} }

func (p *prefixes) remember(hash uint64, id fleet.InstanceID) {
	if hash != 0 {
		p.slots[hash%prefixSlots] = prefixSlot{hash: hash, id: id}
	}
}

func (p *prefixes) find(hash uint64) fleet.InstanceID {
	if s := p.slots[hash%prefixSlots]; hash != 0 && s.hash == hash {
		return s.id
	}
	return ""
}
