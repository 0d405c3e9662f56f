package routing

import (
	"github.com/cespare/xxhash/v2"

	"rattanspur.example/lib/fleet"
)

const (
	// prefixBytes is the number of leading bytes of a prompt that identify its
	// prefix.
	prefixBytes = 256
	// prefixSlots is the number of prefixes that an entry can remember; it is a
	// power of two.
	prefixSlots = 4096
)

// PrefixOf returns the hash of the first prefixBytes bytes of a prompt. It
// returns 0 for a shorter prompt, which is not worth caching.
func PrefixOf(prompt []byte) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(prompt[:prefixBytes])
}

// prefixCache maps prompt prefixes to the replica that each was last sent to. A
// newer prefix replaces an older one in the same slot. The replica is only a hint.
type prefixCache struct{ slots []prefixSlot }

type prefixSlot struct {
	hash uint64
	id   fleet.InstanceID
}

func newPrefixCache() *prefixCache { return &prefixCache{slots: make([]prefixSlot, prefixSlots)} }

func (p *prefixCache) remember(hash uint64, id fleet.InstanceID) {
	if hash != 0 {
		p.slots[hash%prefixSlots] = prefixSlot{hash: hash, id: id}
	}
}

// find returns the replica that a prefix was last sent to, or "" if unknown.
func (p *prefixCache) find(hash uint64) fleet.InstanceID {
	if s := p.slots[hash%prefixSlots]; hash != 0 && s.hash == hash {
		return s.id
	}
	return ""
}
