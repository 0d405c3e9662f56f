package wire

import (
	"encoding/json"
	"net/http"
	"time"
)

// HeaderLoad carries a Load on every answer of an agent, also on refusals.
const HeaderLoad = "Rattanspur-Load"

// maxLoadBytes bounds the header that carries a Load.
const maxLoadBytes = 1 << 10

// Load is an agent's gate at the time of an answer.
type Load struct {
	// Limit is the number of calls that may be in flight now.
	Limit int `json:"limit"`
	// InFlight is the number of calls in flight.
	InFlight int `json:"in_flight"`
	// Warm says that the upstream is not in cold start.
	Warm bool `json:"warm"`
}

// SetLoad writes a load into a header.
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
	err := json.Unmarshal([]byte(text), &l)
	return l, err == nil
}

// Suspect is the content of a request that was in flight when an engine crashed.
type Suspect struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Last        time.Time `json:"last"`
}
