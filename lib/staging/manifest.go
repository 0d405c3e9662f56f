package staging

import (
	"crypto/sha256"
	"encoding/binary"

	"rattanspur.example/lib/fleet"
)

// Manifest lists the digests of the pieces of one version.
type Manifest struct {
	Model   string
	Version int64
	// PieceBytes is the length of each piece.
	PieceBytes int
	Digests    []fleet.Digest
}

// Verify reports whether data is the piece with a number.
func (m *Manifest) Verify(number int, data []byte) bool {
	return number >= 0 && number < len(m.Digests) && sha256.Sum256(data) == m.Digests[number]
}

// Root identifies the content: it is the digest of model, version and digests.
func (m *Manifest) Root() fleet.Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(m.Model))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(m.Version)))
	for _, d := range m.Digests {
		_, _ = h.Write(d[:])
	}
	return fleet.Digest(h.Sum(nil))
}
