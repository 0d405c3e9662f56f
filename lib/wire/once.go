package wire

import "rattanspur.example/lib/fleet"

// Headers of requests that must not run more than once.
const (
	// HeaderKey carries the caller's own key, a UUID of version 7.
	HeaderKey = "Idempotency-Key"
	// HeaderToken carries a token that was obtained with POST /v1/tokens.
	HeaderToken = "Rattanspur-Token"
	// HeaderReplayed marks an answer that is sent again instead of running the
	// request again.
	HeaderReplayed = "Idempotent-Replayed"
)

// ProblemAnswerGone means that a request ran but its answer is no longer stored.
const ProblemAnswerGone ProblemType = "urn:rattanspur:problem:answer-gone"

// TokenRequest requests a token from an entry or an agent. Customer is not set
// in a request to an entry, which derives it from the caller's key.
type TokenRequest struct {
	Service  fleet.Service  `json:"service"`
	Customer fleet.Customer `json:"customer,omitempty"`
}

// TokenResponse is a new token. ExpiresIn is in seconds.
type TokenResponse struct {
	Token     string           `json:"token"`
	Instance  fleet.InstanceID `json:"instance"`
	ExpiresIn float64          `json:"expires_in"`
}
