package once

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests with different content that share a fingerprint.
func TestFingerprintSeparatesPathAndBody(t *testing.T) {
	require.NotEqual(t, Fingerprint("/a", []byte("b")), Fingerprint("/ab", nil))
	require.Equal(t, Fingerprint("/a", []byte("b")), Fingerprint("/a", []byte("b")))
}
