package wire

import (
	"fmt"
	"net/http"

	"rattanspur.example/lib/timeline"
)

// HeaderClock carries an agent's hybrid logical clock in its answers, so that
// events that an entry records afterwards sort after those that the agent
// recorded.
const HeaderClock = "Rattanspur-Clock"

// SetClock stores a timestamp in a header.
func SetClock(h http.Header, s timeline.Stamp) {
	h.Set(HeaderClock, fmt.Sprintf("%d.%d", s.Wall, s.Logical))
}

// GetClock reads a timestamp from a header; ok is false if there is no valid one.
func GetClock(h http.Header) (s timeline.Stamp, ok bool) {
	_, err := fmt.Sscanf(h.Get(HeaderClock), "%d.%d", &s.Wall, &s.Logical)
	return s, err == nil
}
