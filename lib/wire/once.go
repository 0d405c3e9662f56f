package wire

import "rattanspur.example/lib/fleet"

// Headers of requests that may not be repeated.
const (
	// HeaderKey carries the caller's own key, a UUID of version 7.
	HeaderKey = "Idempotency-Key"
	// HeaderToken carries a token that was obtained with POST /v1/tokens.
	HeaderToken = "Rattanspur-Token"
	// HeaderReplayed marks the first answer when it is sent again.
	HeaderReplayed = "Idempotent-Replayed"
)

// ProblemGone says that a request ran and that its answer is no longer held.
const ProblemGone ProblemType = "urn:rattanspur:problem:answer-gone"

// TokenRequest asks an agent for a token, or an entry on behalf of a caller,
// whose customer follows from its key.
type TokenRequest struct {
	Service  fleet.Service  `json:"service"`
	Customer fleet.Customer `json:"customer,omitempty"`
}

// TokenAnswer is a new token. ExpiresIn is in seconds.
type TokenAnswer struct {
	Token     string           `json:"token"`
	Instance  fleet.InstanceID `json:"instance"`
	ExpiresIn float64          `json:"expires_in"`
}
