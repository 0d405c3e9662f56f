package wire

import (
	"encoding/json"
	"net/http"
)

// HeaderLoad carries a Load in every answer of an agent, including refusals.
const HeaderLoad = "Rattanspur-Load"

// maxLoadBytes is the maximum size of the header that carries a Load.
const maxLoadBytes = 1 << 10

// maxCalls is the greatest number of calls in a Load.
const maxCalls = 1 << 20

// Load describes the calls that an agent admits at the time of an answer.
type Load struct {
	// Limit is the maximum number of calls that may be in flight.
	Limit int `json:"limit"`
	// InFlight is the number of calls in flight.
	InFlight int `json:"in_flight"`
	// Warm is true if the upstream is not in cold start.
	Warm bool `json:"warm"`
}

// SetLoad stores a load in a header.
func SetLoad(h http.Header, l Load) {
	data, err := json.Marshal(l)
	if err != nil {
		return
	}
	h.Set(HeaderLoad, string(data))
}

// GetLoad reads a load from a header; ok is false if there is no valid one.
func GetLoad(h http.Header) (l Load, ok bool) {
	text := h.Get(HeaderLoad)
	if text == "" || len(text) > maxLoadBytes {
		return l, false
	}
	if json.Unmarshal([]byte(text), &l) != nil || !validCalls(l.Limit) || !validCalls(l.InFlight) {
		return Load{}, false
	}
	return l, true
}

// validCalls reports whether an agent can admit a number of calls.
func validCalls(n int) bool { return n >= 0 && n <= maxCalls }
