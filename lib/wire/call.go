// Package wire defines the messages between the processes of the system: their
// encoding, headers and paths, and the authentication with shared keys.
package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/timeline"
)

// Headers between entry and agent.
const (
	HeaderCall    = "Rattanspur-Call"
	HeaderOutcome = "Rattanspur-Outcome"
	HeaderStamp   = "Rattanspur-Generation"
	// HeaderRequest identifies the attempt that an agent answers, so that an
	// entry can detect an answer to another request.
	HeaderRequest = "Rattanspur-Request"
	// HeaderCrash identifies the crash that an upstream may have had when it lost
	// the request. It is set only if the answer had not begun.
	HeaderCrash = "Rattanspur-Crash"
)

// CallPath is the prefix that an entry adds to the caller's path in a request to
// an agent.
const CallPath = "/call"

// MaxCallBytes is the maximum size of the header that carries a Call.
const MaxCallBytes = 8 << 10

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request. NotRun is used only if it is certain that the
// request was not run.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Call is the metadata of a caller's request that an entry sends to an agent.
type Call struct {
	Request  string            `json:"request"`
	Customer fleet.Customer    `json:"customer"`
	Priority int               `json:"priority,omitempty"`
	Service  fleet.Service     `json:"service"`
	Profile  fleet.ProfileName `json:"profile,omitempty"`
	// Root identifies the weights that must answer; zero for plain services.
	Root fleet.Digest `json:"root,omitzero"`
	// Timeout is the time that remained when the entry sent the call.
	Timeout time.Duration    `json:"deadline_ns"`
	Attempt int              `json:"attempt"`
	Entry   fleet.InstanceID `json:"entry"`
	// Config identifies the configuration that the entry used.
	Config config.Stamp `json:"config"`
	// Key is the caller's idempotency key; Token is a token issued by an agent.
	// At most one of them is set.
	Key   string `json:"key,omitempty"`
	Token string `json:"token,omitempty"`
	// Once is true if the request must not run more than once.
	Once bool `json:"once,omitempty"`
	// Fingerprint identifies the content of a request with a key or token.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Traits are what the request may have in common with others that crash
	// upstreams, from the broadest to the most specific one.
	Traits []poison.Trait `json:"traits,omitempty"`
	Clock  timeline.Stamp `json:"clock"`
}

// AttemptID returns the identifier of one attempt of one request.
func (c *Call) AttemptID() string { return c.Request + "/" + strconv.Itoa(c.Attempt) }

// SetCall stores a call in a header.
func SetCall(h http.Header, c *Call) error {
	data, err := json.Marshal(c)
	if err != nil {
		return eris.Wrap(err, "encode call")
	}
	h.Set(HeaderCall, string(data))
	return nil
}

// GetCall reads a call from a header.
func GetCall(h http.Header) (*Call, error) {
	text := h.Get(HeaderCall)
	if text == "" || len(text) > MaxCallBytes {
		return nil, eris.Errorf("header %s has %d bytes, want 1 to %d", HeaderCall, len(text), MaxCallBytes)
	}
	var c Call
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return nil, eris.Wrapf(err, "header %s is not valid", HeaderCall)
	}
	return &c, nil
}
