package wire

import (
	"fmt"
	"net/http"

	"rattanspur.example/lib/timeline"
)

// HeaderClock carries an agent's clock on answers, so that what an entry
// records afterwards sorts after what the agent recorded.
const HeaderClock = "Rattanspur-Clock"

// SetClock writes a stamp into a header.
func SetClock(h http.Header, s timeline.Stamp) {
	h.Set(HeaderClock, fmt.Sprintf("%d.%d", s.Wall, s.Logical))
}

// GetClock reads a stamp from a header; ok is false if there is no valid one.
func GetClock(h http.Header) (s timeline.Stamp, ok bool) {
	_, err := fmt.Sscanf(h.Get(HeaderClock), "%d.%d", &s.Wall, &s.Logical)
	return s, err == nil
}
