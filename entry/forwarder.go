package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/wire"
)

// errStalled ends an attempt whose connection makes no progress.
var errStalled = errors.New("connection to the agent makes no progress")

// errResponseTooLarge ends a response that is larger than the limit.
var errResponseTooLarge = errors.New("response is larger than the limit")

// result describes how an attempt ended.
type result struct {
	end retry.End
	// started is true if at least the head of a response was put on the caller's
	// stream.
	started bool
	// complete is true if the response was passed on completely.
	complete bool
	// serverError is true if the upstream responded with a server error.
	serverError bool
	evidence    evidence
	detail      string
	load        *routing.Load
}

// runForwarder forwards attempts, one at a time. The number of forwarders limits
// the calls in flight.
func (e *Entry) runForwarder(ctx context.Context) error {
	for {
		a, err := e.attempts.Take(ctx)
		if err != nil {
			return nil
		}
		if e.inbox.Put(ctx, attemptEnded{attempt: a, result: e.forward(ctx, a)}) != nil {
			return nil
		}
	}
}

// exchange is the state of one attempt in progress.
type exchange struct {
	entry   *Entry
	attempt attempt
	ctx     context.Context
	// watchdog cancels ctx with the cause errStalled when it fires.
	watchdog *time.Timer
	// conn is the connection that carries the request; nil until there is one.
	// writtenBefore is the number of bytes that were written to it for earlier
	// requests.
	conn          *countingConn
	writtenBefore int64
	// state is one of the states of an exchange. announced is closed when the router
	// was told that the attempt is silent.
	state     atomic.Int32
	announced chan struct{}
	// headReceived is set when the head of the response was received.
	headReceived atomic.Bool
}

// forward sends one attempt to its agent and passes the response on.
func (e *Entry) forward(ctx context.Context, a attempt) result {
	attemptCtx, cancel := context.WithCancelCause(a.ctx)
	defer cancel(nil)
	x := &exchange{entry: e, attempt: a, announced: make(chan struct{})}
	x.ctx = httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{GotConn: x.gotConn})
	// The timer is started after the field that its function uses is set.
	x.watchdog = time.AfterFunc(time.Hour, func() { x.watchSilence(ctx, cancel) })
	x.watchdog.Reset(e.settings.FirstByteTimeout)
	defer x.endWatch()

	req, err := x.request()
	if err != nil {
		return result{end: retry.Refused, detail: err.Error()}
	}
	// The transport is used without a client, since a client would follow
	// redirects, which must go to the caller.
	resp, err := a.pool.transport.RoundTrip(req)
	if err != nil {
		return result{end: x.lostEnd(), detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	x.headReceived.Store(true)
	res := x.classify(resp)
	if res.end == retry.Answered {
		x.passOn(ctx, resp, &res)
	}
	return res
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.conn, _ = info.Conn.(*countingConn)
	if x.conn != nil {
		x.writtenBefore = x.conn.written.Load()
	}
}

// request builds the request to the agent and adds the internal headers. newCall
// has removed those that the caller sent.
func (x *exchange) request() (*http.Request, error) {
	c := x.attempt.call
	url := "http://" + x.attempt.upstream.Address + wire.CallPath + c.path
	// The wrapper prevents the transport from sending the body again by itself,
	// as it would do for requests with an Idempotency-Key.
	body := struct{ io.Reader }{bytes.NewReader(c.body)}
	req, err := http.NewRequestWithContext(x.ctx, c.method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.body))
	req.Header = maps.Clone(c.header)
	req.Header.Set(headerRequestID, c.id)
	meta := x.attempt.meta
	meta.Clock = x.entry.node.Clock(x.ctx)
	if deadline, ok := c.ctx.Deadline(); ok {
		meta.Timeout = time.Until(deadline)
	}
	wire.Keys(x.entry.settings.PeerKeys).Authorize(req.Header)
	return req, wire.SetCall(req.Header, &meta)
}

// internalHeaderPrefix is the prefix of the headers that processes of the system
// set. Callers may set none of them but wire.HeaderToken.
const internalHeaderPrefix = "Rattanspur-"

func removeInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(h, name)
		}
	}
}

// lostEnd returns the end of an attempt that received no response.
func (x *exchange) lostEnd() retry.End {
	switch {
	case errors.Is(context.Cause(x.ctx), errStalled), errors.Is(context.Cause(x.ctx), errOvertaken):
		return retry.Stalled
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded), errors.Is(context.Cause(x.ctx), errStopping):
		return retry.TimedOut
	case x.ctx.Err() != nil:
		return retry.Canceled
	case x.conn == nil || x.conn.written.Load() == x.writtenBefore:
		return retry.Unreachable
	default:
		return retry.Lost
	}
}

// classify returns the result that the head of a response indicates. A response
// is accepted only if it names this attempt: a refusal that belongs to another
// request could cause this request to run twice.
func (x *exchange) classify(resp *http.Response) result {
	res := result{detail: resp.Status}
	// The node needs to know only of a configuration that is newer than the one
	// with which the call was routed.
	stamp, ok := wire.GetStamp(resp.Header)
	if ok && stamp.Compare(x.attempt.meta.Config) > 0 {
		x.entry.node.ObserveStamp(x.attempt.upstream.Address, stamp)
	}
	if clock, ok := wire.GetClock(resp.Header); ok {
		x.entry.node.ObserveClock(clock)
	}
	if l, ok := wire.GetLoad(resp.Header); ok {
		res.load = &routing.Load{Limit: l.Limit, InFlight: l.InFlight}
	}
	if resp.Header.Get(wire.HeaderRequest) != x.attempt.meta.AttemptID() {
		res.end = retry.Mismatched
		res.load = nil
		return res
	}
	res.evidence = evidenceOf(resp)
	switch wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) {
	case wire.Ran:
		res.end = retry.Answered
		res.serverError = resp.StatusCode >= http.StatusInternalServerError
	case wire.NotRun:
		if !isError(resp) {
			res.end = retry.Lost
			break
		}
		x.limitRefusal()
		res.end, res.detail = refusal(resp)
	default:
		res.end = retry.Lost
	}
	return res
}

// isError reports whether the status of a response is one of an error. An agent that does
// not state that a call has run responds with no other.
func isError(resp *http.Response) bool { return resp.StatusCode >= http.StatusBadRequest }

// refusalTimeout is the time to read the rest of a refusal, which only says why the
// call was not run.
const refusalTimeout = time.Second

// limitRefusal ends the exchange if the rest of a refusal does not arrive in time. The
// call can be sent again at once, so the router is not asked.
func (x *exchange) limitRefusal() {
	x.state.CompareAndSwap(exchangeOpen, exchangeBegun)
	x.watchdog.Reset(refusalTimeout)
}

// refusal returns how and why an agent refused a call: retry.Busy if the replica
// lacks capacity, so that it is tried again soon, or retry.Refused for any other
// reason, after which it is avoided for longer.
func refusal(resp *http.Response) (retry.End, string) {
	var p wire.Problem
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil || json.Unmarshal(data, &p) != nil {
		return retry.Refused, resp.Status
	}
	switch gate.Reason(p.Detail) {
	case gate.AtLimit, gate.Exclusive:
		return retry.Busy, p.Detail
	default:
		return retry.Refused, p.Detail
	}
}

// maxBufferedBytes is the size up to which a response of known length is read
// completely before it is passed on. If it breaks off, no byte has reached the
// caller yet.
const maxBufferedBytes = 16 << 10

// passOn puts the response on the caller's stream and updates the result.
func (x *exchange) passOn(ctx context.Context, resp *http.Response, res *result) {
	head := x.head(resp)
	n := resp.ContentLength
	hasBody := x.attempt.call.method != http.MethodHead
	if hasBody && n >= 0 && n <= min(maxBufferedBytes, x.entry.settings.MaxStreamBytes) {
		x.passBuffered(ctx, resp, head, res)
		return
	}
	if !x.mayPassOn(ctx) {
		x.overtaken(res)
		return
	}
	if res.load != nil {
		_ = x.entry.inbox.Put(ctx, loadReported{id: x.attempt.upstream.ID, load: *res.load})
		// At the end of a long response, this report would be out of date.
		res.load = nil
	}
	x.reportBegan(ctx, res)
	x.passStream(resp, head, res)
}

func (x *exchange) head(resp *http.Response) *relay.Head {
	relay.RemoveHopHeaders(resp.Header)
	removeInternalHeaders(resp.Header)
	head := &relay.Head{Status: resp.StatusCode, Header: resp.Header}
	head.Header.Set(wire.HeaderOutcome, string(wire.Ran))
	head.Header.Set(headerRequestID, x.attempt.call.id)
	return head
}

// passBuffered reads a short response completely and passes it on as one part.
func (x *exchange) passBuffered(ctx context.Context, resp *http.Response, head *relay.Head, res *result) {
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(x.limitedBody(resp), body)
	if err == nil && relay.EndsInsideEvent(resp.Header, body) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		res.end, res.detail = x.truncatedEnd(err), err.Error()
		return
	}
	if !x.mayPassOn(ctx) {
		x.overtaken(res)
		return
	}
	res.started, res.complete = true, true
	_ = x.attempt.call.stream.Put(x.ctx, relay.Part{Head: head, Data: body, End: true})
}

// passStream passes a response on as it arrives.
func (x *exchange) passStream(resp *http.Response, head *relay.Head, res *result) {
	c := x.attempt.call
	res.started = true
	err := c.stream.Put(c.ctx, relay.Part{Head: head})
	if err == nil {
		err = x.passBody(resp)
	}
	end := relay.Part{End: true}
	res.complete = err == nil
	if err != nil {
		res.end, res.detail = x.truncatedEnd(err), err.Error()
		end.Err = truncated(x.ctx, res.end, err)
	}
	// The deadline may have passed, but the handler still waits for the end part.
	finish, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), responseGrace)
	defer cancel()
	_ = c.stream.Put(finish, end)
}

// truncatedEnd returns the end of an attempt whose response broke off.
func (x *exchange) truncatedEnd(err error) retry.End {
	if errors.Is(err, errResponseTooLarge) {
		return retry.Answered
	}
	if end := x.lostEnd(); end != retry.Unreachable {
		return end
	}
	return retry.Lost
}

func (x *exchange) passBody(resp *http.Response) error {
	c := x.attempt.call
	if relay.IsEventStream(resp.Header) {
		return relay.ReadEvents(c.ctx, x.limitedBody(resp), c.stream)
	}
	return relay.ReadBody(c.ctx, x.limitedBody(resp), c.stream)
}

// limitedBody returns the body of a response with the limits of the settings.
func (x *exchange) limitedBody(resp *http.Response) io.Reader {
	return &watchedBody{exchange: x, body: resp.Body, remaining: x.entry.settings.MaxStreamBytes}
}

// watchedBody is a response body that limits the time of each read and the total
// number of bytes. Time during which the caller accepts no bytes does not count.
type watchedBody struct {
	exchange  *exchange
	body      io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.exchange.watchdog.Reset(b.exchange.entry.settings.ProgressTimeout)
	n, err := b.body.Read(p)
	b.exchange.watchdog.Stop()
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errResponseTooLarge
	}
	return n, err
}
