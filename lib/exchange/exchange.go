package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
)

// Head is the metadata about the exchange and the upstream that is decoded from
// the head of a response.
type Head struct {
	// Request is the ID of the request that the response belongs to.
	Request string
	// Unsigned is whether the response lacks the signature that an upstream
	// puts on each of its own responses.
	Unsigned bool
	// NotRun is whether the request was not run. Misdirected is whether it was
	// meant for another upstream or for other weights.
	NotRun      bool
	Misdirected bool
	// Load is the load that the upstream states; nil if it states no readable figure.
	// UnreadableLoad is the number of its figures that cannot be read.
	Load           *dispatch.Load
	UnreadableLoad int
	// Version is the version of the weights that produced the response; 0 if
	// not stated.
	Version int64
	// ColdRemaining is how much longer the upstream stays cold.
	ColdRemaining time.Duration
	// Limit is what the upstream states about the rate of requests that it takes.
	Limit ratelimit.Statement
	// Leaving is whether the upstream is about to leave, and RetryAfter how long it wants
	// no more requests from this process.
	Leaving    bool
	RetryAfter time.Duration
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if
	// not stated.
	IdleTimeout time.Duration
	// Close is whether the upstream closes the connection after the response.
	Close bool
}

// Request is the request to send.
type Request struct {
	// ID must be named by the response; an empty ID is not checked.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Receiver receives a response. Its methods are called on the goroutine of Do.
type Receiver interface {
	// Observe is called once with the metadata of a response to this request.
	Observe(h *Head)
	// Head is called at most once, before the first Part. An error ends the
	// exchange.
	Head(resp *http.Response) error
	// Part is called with each piece of the body as soon as it is available. An
	// error ends the exchange.
	Part(data []byte) error
	// Silent is called when nothing that counts as progress has come since a time, for
	// as long as the options say; lastEventID is the id of the last event that was passed
	// on, if any. The exchange goes on. Resumed is called when it makes progress after
	// that.
	Silent(since time.Time, lastEventID string)
	Resumed()
}

// Options are the timeouts of an exchange and how its response is handled.
type Options struct {
	// FirstByteTimeout is the maximum time until the first event of an event
	// stream, or until the end of any other response. ProgressTimeout is that
	// between two events of an event stream. 0 sets no limit.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// FirstByteSilence and ProgressSilence are the times after which Receiver.Silent is
	// called; 0 if it is not. They begin like the timeouts.
	FirstByteSilence time.Duration
	ProgressSilence  time.Duration
	// BeginBy is the time by which the first event of an event stream must have
	// arrived; zero sets no limit. An exchange that it ends is retry.NotBegun. Nothing
	// is written after it until the response has begun: the process may have been paused,
	// or the dial slow, since it was set.
	BeginBy time.Time
	// EventStream is whether to pass on only complete events if the body
	// consists of server-sent events.
	EventStream bool
	// HoldServerErrors is whether to return a response with a server error of
	// up to maxHeldBytes in Outcome.Held instead of passing it on.
	HoldServerErrors bool
	// Resumed is whether the response continues an earlier one that was cut
	// off. Only an event stream can do so.
	Resumed bool
}

// HeldResponse is a response that was read completely and not passed on.
type HeldResponse struct {
	Response *http.Response
	Head     Head
	Body     []byte
}

// Outcome is how an exchange ended.
type Outcome struct {
	dispatch.AttemptResult
	// Held is the response if it was not passed on; see HoldServerErrors.
	Held *HeldResponse
	// Reusable is whether the connection may carry another request.
	Reusable bool
	// Detail describes why the exchange failed or how it was refused.
	Detail string
}

const (
	// maxHeldBytes is the maximum size of a response that is read completely
	// before it is held or passed on.
	maxHeldBytes = 64 << 10
	// maxSyncBodyBytes is the size up to which a body is written before the
	// response is read. The socket buffer accepts that much even if the
	// upstream does not read it.
	maxSyncBodyBytes = 16 << 10
)

// errNoData ends an exchange whose upstream sends nothing.
var errNoData = errors.New("upstream sent nothing for too long")

// ErrInterrupted is the cause of a context by which the owner of a request ends an
// exchange that is silent, because the request can go on elsewhere.
var ErrInterrupted = errors.New("exchange was interrupted for another upstream")

// errBodyTooLarge means that a body was not read to its end because it exceeds maxHeldBytes.
var errBodyTooLarge = errors.New("body of the response is larger than the limit")

// errCallerWrite ends an exchange whose response cannot be written to the
// caller.
var errCallerWrite = errors.New("caller accepts no more bytes")

// exchange is the state of one request in progress.
type exchange struct {
	ctx      context.Context
	conn     *Conn
	decode   func(*http.Response) Head
	request  *Request
	receiver Receiver
	options  Options
	sentAt   time.Time
	silence  silence
	outcome  Outcome
	// bodyWritten receives the result of writing the request's body; nil if the
	// body was written before the response was read.
	bodyWritten chan error
}

// Do sends a request on a connection and passes the response on to the
// receiver. decode extracts the metadata from the head of the response. Do
// returns when the response has ended, the context ends, or a timeout of the
// options expires. The caller must close the connection unless the outcome is
// Reusable.
func Do(ctx context.Context, c *Conn, r *Request, decode func(*http.Response) Head, receiver Receiver, o Options) Outcome {
	now := time.Now()
	x := &exchange{ctx: ctx, conn: c, decode: decode, request: r, receiver: receiver, options: o, sentAt: now, silence: silence{since: now}}
	c.limit.outlast = x.outlast
	defer func() { c.limit.outlast = nil }()
	// A deadline in the past aborts reads and writes that are in progress.
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	x.run()
	x.outcome.Idle = time.Since(x.silence.since)
	if !stop() {
		x.outcome.Reusable = false
	}
	return x.outcome
}

func (x *exchange) run() {
	x.setWriteDeadline(x.options.BeginBy)
	if err := x.write(); err != nil {
		x.fail(err)
		return
	}
	x.setReadDeadline()
	resp, err := x.conn.readHead(x.request.Method)
	if err != nil {
		x.fail(err)
		return
	}
	// The body is not closed: net/http reads a body to its end then, and a faulty upstream
	// may send one without end. The connection is closed if bytes are left.
	h := x.decode(resp)
	switch {
	case h.Request != x.request.ID && x.request.ID != "":
		x.outcome.End, x.outcome.Detail = retry.Mismatched, "answer names another request"
	case h.Unsigned && resp.StatusCode/100 == 2:
		x.outcome.End, x.outcome.Detail = retry.Mismatched, "success without an upstream's signature"
	case h.NotRun:
		x.receiver.Observe(&h)
		x.receiveRefusal(resp, &h)
	default:
		x.receiver.Observe(&h)
		x.receive(resp, &h)
	}
}

// write sends the request, with a single write if the body is small. A large
// body is sent while the response is read, since an upstream may respond before
// it has read the body.
func (x *exchange) write() error {
	var b bytes.Buffer
	r := x.request
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxSyncBodyBytes {
		b.Write(r.Body)
		_, err := x.conn.net.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.net.Write(b.Bytes()); err != nil {
		return err
	}
	x.bodyWritten = make(chan error, 1)
	go func() {
		_, err := x.conn.net.Write(r.Body)
		x.bodyWritten <- err
	}()
	return nil
}

// tooLate reports whether the time for the first event is over and none came.
func (x *exchange) tooLate() bool {
	begin := x.options.BeginBy
	return !begin.IsZero() && x.outcome.FirstByte == 0 && !time.Now().Before(begin)
}

// setWriteDeadline sets the time after which nothing is written if the exchange has a
// BeginBy; zero removes it.
func (x *exchange) setWriteDeadline(at time.Time) {
	if x.options.BeginBy.IsZero() {
		return
	}
	_ = x.conn.net.SetWriteDeadline(at)
	if x.ctx.Err() != nil {
		_ = x.conn.net.SetDeadline(time.Unix(1, 0))
	}
}

// fail sets the outcome of an exchange that ended without a complete response.
// Bytes of the request may have been written, so it may have run.
func (x *exchange) fail(err error) {
	x.outcome.Detail = err.Error()
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errCallerWrite):
		x.outcome.End = retry.Canceled
	case errors.Is(context.Cause(x.ctx), ErrInterrupted):
		x.outcome.End = retry.Stalled
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.outcome.End = retry.TimedOut
	case x.ctx.Err() != nil:
		x.outcome.End = retry.Canceled
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, errNoData):
		x.outcome.End = retry.Stalled
		if x.tooLate() {
			x.outcome.End = retry.NotBegun
		}
	default:
		x.outcome.End = retry.Lost
	}
}

// receiveRefusal reads the rest of a refusal, so that the connection can be
// reused.
func (x *exchange) receiveRefusal(resp *http.Response, h *Head) {
	x.outcome.Version = 0
	x.outcome.Misdirected = h.Misdirected
	x.outcome.End = retry.Busy
	if h.Misdirected {
		x.outcome.End = retry.Refused
	}
	x.outcome.Detail = resp.Status
	x.conn.refused = append(x.conn.refused, x.request.ID)
	x.conn.limit.outlast = nil
	x.readDeadline(time.Now().Add(refusalReadTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldBytes+1))
	if n > maxHeldBytes {
		err = errBodyTooLarge
	}
	x.finish(resp, h, err)
}

// refusalReadTimeout is the timeout for reading the rest of a refusal.
const refusalReadTimeout = 300 * time.Millisecond

// receive passes a response on or holds it.
func (x *exchange) receive(resp *http.Response, h *Head) {
	x.outcome.Version = h.Version
	failed := resp.StatusCode >= http.StatusInternalServerError
	x.outcome.ServerError = failed
	x.outcome.ClientError = !failed && resp.StatusCode >= http.StatusBadRequest
	events := x.options.EventStream && relay.IsEventStream(resp.Header)
	var err error
	switch {
	case x.options.Resumed && (!events || resp.StatusCode != http.StatusOK):
		x.outcome.End, x.outcome.Detail = retry.Lost, "no events to go on with: "+resp.Status
		return
	case failed && x.options.HoldServerErrors, !events && resp.ContentLength >= 0 && resp.ContentLength <= maxHeldBytes:
		err = x.receiveWhole(resp, h, failed && x.options.HoldServerErrors)
	case events:
		err = x.receiveEvents(resp)
	default:
		err = x.receiveBody(resp, nil)
	}
	if err != nil {
		x.fail(err)
		return
	}
	x.outcome.End = retry.Answered
	x.finish(resp, h, nil)
}

func (x *exchange) recordFirstByte() {
	if x.outcome.FirstByte == 0 {
		x.outcome.FirstByte = time.Since(x.sentAt)
		x.setWriteDeadline(time.Time{})
	}
}

// receiveWhole reads a response completely before any of it is passed on, so
// that the request can still be retried if the response is cut off.
func (x *exchange) receiveWhole(resp *http.Response, h *Head, hold bool) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes+1))
	if err != nil {
		return err
	}
	x.recordFirstByte()
	if len(body) <= maxHeldBytes && relay.EndsInsideEvent(resp.Header, body) {
		return io.ErrUnexpectedEOF
	}
	if hold && len(body) <= maxHeldBytes {
		x.outcome.AttemptResult.Held = true
		x.outcome.Held = &HeldResponse{Response: resp, Head: *h, Body: body}
		return nil
	}
	if err := x.passOn(resp, body); err != nil || len(body) <= maxHeldBytes {
		return err
	}
	return x.receiveBody(resp, body)
}

// receiveBody passes on a body as it arrives. before is what was passed on
// already. An event stream that ends inside an event has been broken off, also on
// a route that expects no stream.
func (x *exchange) receiveBody(resp *http.Response, before []byte) error {
	tail := lastBytes(before, nil)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 || err == io.EOF {
			x.recordFirstByte()
			if passErr := x.passOn(resp, buffer[:n]); passErr != nil {
				return passErr
			}
			tail = lastBytes(tail, buffer[:n])
		}
		switch {
		case err == io.EOF && relay.EndsInsideEvent(resp.Header, tail):
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// lastBytes returns the end of a body that consists of two parts, as much of it as
// relay.EndsInsideEvent needs.
func lastBytes(before, data []byte) []byte {
	before = before[max(0, len(before)-relay.TailBytes):]
	data = data[max(0, len(data)-relay.TailBytes):]
	tail := slices.Concat(before, data)
	return tail[max(0, len(tail)-relay.TailBytes):]
}

// receiveEvents passes on complete events as soon as they arrive. The head, and
// comments that precede the first event, are passed on with that event: until
// then, the request can be retried at another upstream without the caller
// noticing. A stream that ends inside an event has been broken off, also if its
// length or its last chunk marks the end.
//
// Only an event counts as progress, not single bytes of one and not comments: an
// upstream that stalls may go on sending those, and callers wait for events.
func (x *exchange) receiveEvents(resp *http.Response) error {
	buffer := make([]byte, readBufferBytes)
	var pending []byte
	for {
		n, err := resp.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := relay.WholeEventsLength(pending)
		complete := err == io.EOF && whole == len(pending)
		progress := relay.HasEvent(pending[:whole])
		if complete || progress || whole > 0 && x.outcome.Started {
			x.recordFirstByte()
			if passErr := x.passOn(resp, pending[:whole]); passErr != nil {
				return passErr
			}
			if id := relay.LastEventID(pending[:whole]); id != "" {
				x.outcome.LastEventID = id
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case complete:
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(pending) > maxHeldBytes:
			return relay.ErrEventTooLarge
		}
		if progress {
			x.recordProgress()
		}
	}
}

func (x *exchange) passOn(resp *http.Response, data []byte) error {
	if !x.outcome.Started {
		x.outcome.Started = true
		if x.receiver.Head(resp) != nil {
			return errCallerWrite
		}
	}
	if len(data) > 0 && x.receiver.Part(data) != nil {
		return errCallerWrite
	}
	return nil
}

// finish sets whether the connection may carry another request.
func (x *exchange) finish(resp *http.Response, h *Head, err error) {
	x.readDeadline(time.Time{})
	x.setWriteDeadline(time.Time{})
	written := true
	if x.bodyWritten != nil {
		select {
		case writeErr := <-x.bodyWritten:
			written = writeErr == nil
		default:
			written = false
		}
	}
	x.outcome.Reusable = err == nil && written && isDelimited(resp) && !h.Close && x.conn.reader.Buffered() == 0 && len(x.conn.refused) < maxRefusals
	if x.outcome.Reusable {
		x.conn.setIdleTime(time.Now(), h.IdleTimeout)
		x.outcome.Reusable = !x.conn.Expired(time.Now())
	}
}

// isDelimited reports whether a response marks its end, by a length or by
// chunked encoding. Other responses end when their connection is closed.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
