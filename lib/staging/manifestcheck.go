package staging

import (
	"maps"
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
)

const (
	// recheckDelay is the delay after a manifest in doubt was read again without a
	// correction; it doubles up to maxRecheckDelay.
	recheckDelay    = 100 * time.Millisecond
	maxRecheckDelay = 4 * time.Second
	// maxRejected is the number of contents that are kept of each rejected piece.
	maxRejected = 4
)

// ManifestCheck finds out whether a manifest is wrong. No source can tell: a manifest is
// taken from the first one that answers, and whoever sends the true content of a piece is
// found to send a corrupt one. Corruption does not come out the same twice, so a piece whose
// rejected content arrives again puts the manifest in doubt. Another manifest corrects it if
// it lists that content. The zero value is a check without evidence.
type ManifestCheck struct {
	// rejected holds the digests of the contents that failed verification, by piece, and
	// repeated those that arrived more than once. A Doubt refers to repeated, which is
	// therefore replaced when it changes.
	rejected map[int][]fleet.Digest
	repeated map[int][]fleet.Digest
	since    time.Time
	delay    time.Duration
	dueAt    time.Time
}

// Doubt is the evidence against a manifest: the contents of pieces that arrived more than
// once and failed verification.
type Doubt struct {
	manifest *Manifest
	contents map[int][]fleet.Digest
}

// Reject records the digest of a content of a piece that failed verification.
func (c *ManifestCheck) Reject(now time.Time, piece int, content fleet.Digest) {
	known := c.rejected[piece]
	if !slices.Contains(known, content) {
		if c.rejected == nil {
			c.rejected = map[int][]fleet.Digest{}
		}
		c.rejected[piece] = append(known[max(0, len(known)-maxRejected+1):len(known):len(known)], content)
		return
	}
	if slices.Contains(c.repeated[piece], content) {
		return
	}
	if len(c.repeated) == 0 {
		c.since = now
	}
	repeated := maps.Clone(c.repeated)
	if repeated == nil {
		repeated = map[int][]fleet.Digest{}
	}
	repeated[piece] = append(slices.Clone(repeated[piece]), content)
	c.repeated, c.dueAt, c.delay = repeated, now, 0
}

// Due reports whether the manifest is in doubt and is to be read again now.
func (c *ManifestCheck) Due(now time.Time) bool {
	return len(c.repeated) > 0 && !now.Before(c.dueAt)
}

// Since returns when the manifest came into doubt.
func (c *ManifestCheck) Since() time.Time { return c.since }

// Doubt returns the evidence against a manifest, or nil if there is none.
func (c *ManifestCheck) Doubt(m *Manifest) *Doubt {
	if len(c.repeated) == 0 {
		return nil
	}
	return &Doubt{manifest: m, contents: c.repeated}
}

// NotCorrected records that the manifest was read again without a correction.
func (c *ManifestCheck) NotCorrected(now time.Time) {
	c.delay = min(max(2*c.delay, recheckDelay), maxRecheckDelay)
	c.dueAt = now.Add(c.delay)
}

// Manifest returns the manifest in doubt.
func (d *Doubt) Manifest() *Manifest { return d.manifest }

// CorrectedBy reports whether another manifest of the same version explains the evidence: it
// lists a content that the doubted one rejects. A piece is read up to the size that the
// manifest states, so that a wrong size makes all pieces appear corrupt.
func (d *Doubt) CorrectedBy(other *Manifest) bool {
	if other.PieceBytes != d.manifest.PieceBytes {
		return true
	}
	for piece, contents := range d.contents {
		if piece < len(other.Digests) && slices.Contains(contents, other.Digests[piece]) {
			return true
		}
	}
	return false
}

// Corrected returns the manifest that replaces m after another one corrected it. verified
// reports whether the content of a piece is at hand: it proves the digest, and all others are
// taken from the other manifest, which may be wrong in turn.
func (m *Manifest) Corrected(other *Manifest, verified func(piece int) bool) *Manifest {
	next := *other
	next.Digests = slices.Clone(other.Digests)
	if len(m.Digests) != len(other.Digests) {
		return &next
	}
	for i := range next.Digests {
		if verified(i) {
			next.Digests[i] = m.Digests[i]
		}
	}
	return &next
}
