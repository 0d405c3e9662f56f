package once

import (
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// fingerprintBytes is the length of a fingerprint before its hex encoding.
const fingerprintBytes = 16

// Fingerprint returns a hash in hex that identifies a request by its path and
// body.
func Fingerprint(path string, body []byte) string {
	h := blake3.New()
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
