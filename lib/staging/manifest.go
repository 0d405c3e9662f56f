package staging

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"rattanspur.example/lib/fleet"
)

// Manifest lists the SHA-256 digests of the pieces of one model version.
type Manifest struct {
	Model   string
	Version int64
	// PieceBytes is the length of each piece in bytes.
	PieceBytes int
	Digests    []fleet.Digest
}

var (
	// ErrPieceTooLarge means that what a source sent for a piece is longer than the manifest
	// says. It was not read to its end.
	ErrPieceTooLarge = errors.New("piece is larger than the manifest says")
	// ErrPieceAbsent means that a piece is not stored at the engine.
	ErrPieceAbsent = errors.New("piece is not stored at the engine")
)

// Verify reports whether data is the content of the piece with the given
// number. Numbers start at 0.
func (m *Manifest) Verify(number int, data []byte) bool {
	return number >= 0 && number < len(m.Digests) && sha256.Sum256(data) == m.Digests[number]
}

// Root returns the SHA-256 digest of the model name, the version and the piece
// digests. It identifies the content of the manifest.
func (m *Manifest) Root() fleet.Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(m.Model))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(m.Version)))
	for _, d := range m.Digests {
		_, _ = h.Write(d[:])
	}
	return fleet.Digest(h.Sum(nil))
}
