package staging

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

var checkStart = time.Unix(1000, 0)

func contentDigest(text string) fleet.Digest { return sha256.Sum256([]byte(text)) }

func manifestFor(contents ...string) *Manifest {
	m := &Manifest{Model: "m", Version: 2, PieceBytes: 1}
	for _, c := range contents {
		m.Digests = append(m.Digests, contentDigest(c))
	}
	return m
}

// Guards against a manifest that is doubted, and read from the origin again, for each piece
// that arrives corrupt: corruption does not come out the same twice.
func TestOnlyRepeatedContentIsDoubt(t *testing.T) {
	var c ManifestCheck
	m := manifestFor("a", "b")
	for i := range 100 {
		c.Reject(checkStart, 0, contentDigest(string(rune('c'+i))))
	}
	c.Reject(checkStart, 1, contentDigest("x"))
	require.False(t, c.Due(checkStart))
	require.Nil(t, c.Doubt(m))
	require.LessOrEqual(t, len(c.rejected[0]), maxRejected)
	c.Reject(checkStart, 1, contentDigest("x"))
	require.True(t, c.Due(checkStart))
	require.NotNil(t, c.Doubt(m))
}

// Guards against a source that is asked again and again for a manifest that was sound.
func TestRechecksAreDelayed(t *testing.T) {
	var c ManifestCheck
	now := checkStart
	rechecks := 0
	for range 2 {
		c.Reject(now, 0, contentDigest("x"))
	}
	for ; now.Before(checkStart.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		c.Reject(now, 0, contentDigest("x"))
		if c.Due(now) {
			rechecks++
			c.NotCorrected(now)
		}
	}
	require.InDelta(t, 20, rechecks, 3)
}

// Guards against a manifest that replaces another one without evidence, and against one that
// replaces digests which verified contents prove.
func TestCorrectionNeedsTheContent(t *testing.T) {
	wrong := manifestFor("a", "wrong", "c")
	var c ManifestCheck
	c.Reject(checkStart, 1, contentDigest("b"))
	c.Reject(checkStart, 1, contentDigest("b"))
	doubt := c.Doubt(wrong)
	require.False(t, doubt.CorrectedBy(wrong))
	require.False(t, doubt.CorrectedBy(manifestFor("a", "otherwise wrong", "c")))
	require.False(t, doubt.CorrectedBy(manifestFor("a")))
	second := manifestFor("wrong", "b", "wrong")
	require.True(t, doubt.CorrectedBy(second))
	corrected := wrong.Corrected(second, func(piece int) bool { return piece == 0 })
	require.Equal(t, manifestFor("a", "b", "wrong"), corrected)
	require.Equal(t, manifestFor("wrong", "b", "wrong"), second, "a manifest does not change")
}
