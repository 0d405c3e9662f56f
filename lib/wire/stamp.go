package wire

import (
	"encoding/json"
	"net/http"

	"rattanspur.example/lib/config"
)

// maxStampBytes is the maximum size of the header that carries a configuration
// stamp.
const maxStampBytes = 1 << 10

// SetStamp sets a header to the stamp of the configuration that a process used.
func SetStamp(h http.Header, s config.Stamp) {
	data, err := json.Marshal(s)
	if err != nil {
		return
	}
	h.Set(HeaderStamp, string(data))
}

// GetStamp reads a configuration stamp from a header; ok is false if there is
// no valid one.
func GetStamp(h http.Header) (s config.Stamp, ok bool) {
	text := h.Get(HeaderStamp)
	if text == "" || len(text) > maxStampBytes {
		return s, false
	}
	err := json.Unmarshal([]byte(text), &s)
	return s, err == nil
}
