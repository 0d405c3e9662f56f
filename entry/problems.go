package entry

import (
	"net/http"
	"time"

	"rattanspur.example/lib/wire"
)

// headerRequestID is the header with the ID of a request. Callers and upstreams
// receive it.
const headerRequestID = "X-Request-Id"

// retryAfter is the retry delay for refused callers when no queue provides an
// estimate.
const retryAfter = time.Second

func invalid(status int, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemInvalid, Title: "request is not valid",
		Status: status, Detail: detail, Outcome: wire.NotRun,
	}
}

func unauthorized(c *call) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemUnauthorized, Title: "customer key is missing or wrong",
		Status: http.StatusUnauthorized, Request: c.id, Outcome: wire.NotRun,
	}
}

func notRun(c *call, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemNotRun, Title: "request was not run",
		Status: http.StatusServiceUnavailable, Detail: detail, Request: c.id,
		Outcome: wire.NotRun, RetryAfter: retryAfter,
	}
}

func overload(c *call, status int, detail string, after time.Duration) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemOverload, Title: "request was not run because of overload",
		Status: status, Detail: detail, Request: c.id,
		Outcome: wire.NotRun, RetryAfter: after,
	}
}

// blockedDetail is the detail for a request with a convicted trait.
const blockedDetail = "earlier requests with the same content, or with a part of it, crashed their upstreams"

func blocked(c *call) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemBlocked, Title: "request is blocked",
		Status: http.StatusUnprocessableEntity, Request: c.id, Outcome: wire.NotRun,
		Detail: blockedDetail,
	}
}

func outcomeUnknown(c *call, detail string, status int) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemUnknown, Title: "outcome of the request is unknown",
		Status: status, Detail: detail, Request: c.id, Outcome: wire.Unknown,
	}
}
