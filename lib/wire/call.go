// Package wire holds the messages between the processes of the system, their
// encoding, and how processes prove that they belong together.
package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
)

// Headers between entry and agent.
const (
	HeaderCall    = "Rattanspur-Call"
	HeaderOutcome = "Rattanspur-Outcome"
	HeaderStamp   = "Rattanspur-Generation"
	// HeaderRequest names the attempt that an agent answers, so that an entry
	// never takes the answer to another request for its own.
	HeaderRequest = "Rattanspur-Request"
)

// CallPath is the prefix of a caller's path on the way from entry to agent.
const CallPath = "/call"

// MaxCallBytes bounds the header that carries a Call.
const MaxCallBytes = 8 << 10

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request. NotRun is said only where it is certain.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Call is what an entry tells an agent about a caller's request.
type Call struct {
	Request  string            `json:"request"`
	Customer fleet.Customer    `json:"customer"`
	Priority int               `json:"priority,omitempty"`
	Service  fleet.Service     `json:"service"`
	Profile  fleet.ProfileName `json:"profile,omitempty"`
	// Root names the weights that must answer; zero for plain services.
	Root fleet.Digest `json:"root,omitzero"`
	// Deadline is the time left when the entry sent the call.
	Deadline time.Duration    `json:"deadline_ns"`
	Attempt  int              `json:"attempt"`
	Entry    fleet.InstanceID `json:"entry"`
	// Config is the configuration that the entry decided by.
	Config config.Stamp `json:"config"`
	// Key is the caller's idempotency key; Token was issued by an agent.
	Key   string `json:"key,omitempty"`
	Token string `json:"token,omitempty"`
	// Once says that the request may not be repeated.
	Once bool `json:"once,omitempty"`
	// Fingerprint identifies the content of the request.
	Fingerprint string         `json:"fingerprint,omitempty"`
	Clock       timeline.Stamp `json:"clock"`
}

// AttemptID names one attempt of one request.
func (c *Call) AttemptID() string { return c.Request + "/" + strconv.Itoa(c.Attempt) }

// SetCall writes a call into a header.
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
