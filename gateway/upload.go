package gateway

import (
	"errors"
	"net/http"
	"time"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/framing"
)

const (
	// defaultMaxBodyBytes is the maximum size of a request's body until a limit
	// is published.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout is the maximum time for a caller to send a body.
	bodyTimeout = 30 * time.Second
	// uploadRetryAfter is the retry delay for requests whose body was not complete at the
	// end of a stop. Another gateway can serve them at once.
	uploadRetryAfter = 200 * time.Millisecond
	// memoryRetryAfter is the retry delay for requests for whose body there was no
	// memory.
	memoryRetryAfter = 500 * time.Millisecond
	// lingerTime is how long a stopping gateway reads on after it rejected an upload:
	// closing a connection with unread bytes resets it, and the caller might not read the
	// answer.
	lingerTime = 100 * time.Millisecond
)

// readBody reads the complete body, since it may have to be sent more than once. Its
// memory is counted until c.upload is released. It returns false if the request was
// already refused.
func (c *callHandler) readBody() bool {
	if !admitFraming(c.w, c.r) {
		c.rejectBody(http.StatusBadRequest, framing.ErrAmbiguous.Error(), framing.ErrAmbiguous)
		return false
	}
	body, err := c.gateway.bodies.ReadRequest(c.w, c.r, bodybudget.Limits{
		Bytes: c.gateway.maxBodyBytes.Load(), Time: bodyTimeout, Stop: c.gateway.uploads,
	})
	if err != nil {
		c.rejectUpload(err)
		return false
	}
	c.upload, c.body = body, body.Bytes()
	return true
}

// refuseUpload rejects a request whose body is not complete as not run.
func (c *callHandler) refuseUpload(reason string, retryAfter time.Duration) {
	a := dispatch.Refuse{Verdict: dispatch.NotRun, Reason: reason, RetryAfter: retryAfter}
	c.gateway.countStop(&a)
	c.gateway.metrics.recordRefusal(&a)
	c.refuse(&a)
}

// rejectUpload rejects a request whose body could not be read.
func (c *callHandler) rejectUpload(err error) {
	switch {
	case errors.Is(err, bodybudget.ErrStopped):
		c.refuseUpload(err.Error(), uploadRetryAfter)
		c.linger()
	case bodybudget.IsShortage(err):
		c.refuseUpload(err.Error(), memoryRetryAfter)
	case errors.Is(err, bodybudget.ErrTooLarge):
		c.rejectBody(http.StatusRequestEntityTooLarge, "body is larger than the limit", err)
	default:
		c.rejectBody(http.StatusBadRequest, "body could not be read", err)
	}
}

// rejectBody responds to a request that is not valid because of its body.
func (c *callHandler) rejectBody(status int, detail string, err error) {
	c.log("body-rejected", "status", status, "length", c.r.ContentLength, "err", err)
	c.writeProblem(status, detail)
}

// linger writes the answer out and reads what the caller still sends.
func (c *callHandler) linger() {
	_ = c.controller.Flush()
	_ = c.controller.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, 4<<10)
	for {
		if _, err := c.r.Body.Read(buffer); err != nil {
			return
		}
	}
}
