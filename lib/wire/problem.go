package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ProblemType is the type URI of a problem response to a caller (RFC 9457).
type ProblemType string

// The problem types.
const (
	ProblemNotRun       ProblemType = "urn:rattanspur:problem:not-run"
	ProblemUnknown      ProblemType = "urn:rattanspur:problem:outcome-unknown"
	ProblemOverload     ProblemType = "urn:rattanspur:problem:overload"
	ProblemInvalid      ProblemType = "urn:rattanspur:problem:invalid-request"
	ProblemUnauthorized ProblemType = "urn:rattanspur:problem:unauthorized"
	ProblemBlocked      ProblemType = "urn:rattanspur:problem:request-blocked"
)

// Problem is the body of an error response to a caller (RFC 9457).
type Problem struct {
	Type    ProblemType `json:"type"`
	Title   string      `json:"title"`
	Status  int         `json:"status"`
	Detail  string      `json:"detail,omitempty"`
	Request string      `json:"request,omitempty"`
	Outcome Outcome     `json:"outcome"`
	// Submission is NotRun if this submission was certainly not run although an
	// earlier one with the same key or token ran or may have run.
	Submission Outcome `json:"submission,omitempty"`
	// RetryAfter is sent in the header Retry-After, rounded up to whole seconds;
	// if it is zero, the header is not sent.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Encode returns the header and the body of the response.
func (p *Problem) Encode() (http.Header, []byte) {
	h := http.Header{}
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte(`{}`)
	}
	return h, body
}

// WriteProblem sends a problem as the response.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	h, body := p.Encode()
	for name, values := range h {
		w.Header()[name] = values
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
