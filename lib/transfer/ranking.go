package transfer

import (
	"encoding/binary"

	"rattanspur.example/lib/fleet"
)

// ranking ranks peers for many chunks. Each peer ID is hashed only once, because
// there are millions of pairs of chunk and peer at the expected size.
type ranking struct {
	peers  []Peer
	hashes []uint64
}

func newRanking(peers []Peer) ranking {
	r := ranking{peers: peers, hashes: make([]uint64, len(peers))}
	for i, p := range peers {
		r.hashes[i] = memberHash(string(p.ID))
	}
	return r
}

func memberHash(name string) uint64 { return fleet.RendezvousWeight("member", name) }

// chunkHash returns the key of a chunk for rendezvous hashing.
func chunkHash(root fleet.Digest, index int) uint64 {
	return weight(binary.LittleEndian.Uint64(root[:]), uint64(index))
}

// weight mixes two hashes. The constants are those of the MurmurHash3 finalizer,
// in which every output bit depends on every input bit.
func weight(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// top returns the peers with the greatest weights for a chunk, at most count.
func (r *ranking) top(chunk uint64, count int) []Peer {
	var positions [maxTop]int
	var weights [maxTop]uint64
	count = min(count, maxTop)
	found := 0
	for i, h := range r.hashes {
		w := weight(h, chunk)
		position := found
		for position > 0 && weights[position-1] < w {
			position--
		}
		if position == count {
			continue
		}
		found = min(found+1, count)
		copy(weights[position+1:found], weights[position:found-1])
		copy(positions[position+1:found], positions[position:found-1])
		weights[position], positions[position] = w, i
	}
	out := make([]Peer, found)
	for i := range out {
		out[i] = r.peers[positions[i]]
	}
	return out
}

// maxTop is the largest count of top; it bounds fetchers and retained copies.
const maxTop = 32
