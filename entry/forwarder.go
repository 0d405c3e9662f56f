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
	"time"

	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/wire"
)

// errSilent ends an attempt whose connection makes no progress.
var errSilent = errors.New("connection to the agent makes no progress")

// errStreamBytes ends a response that is larger than the limit.
var errStreamBytes = errors.New("response is larger than the limit")

// result says how an attempt ended.
type result struct {
	end retry.End
	// started says that a response reached the caller's stream.
	started bool
	// whole says that the response was passed on to its end.
	whole bool
	// failed says that the upstream answered with a server error.
	failed bool
	detail string
	load   *routing.Load
}

// runForwarder carries one attempt after the other; the number of forwarders
// bounds the calls in flight.
func (e *Entry) runForwarder(ctx context.Context) error {
	for {
		a, err := e.attempts.Take(ctx)
		if err != nil {
			return nil
		}
		if e.inbox.Put(ctx, ended{attempt: a, result: e.forward(ctx, a)}) != nil {
			return nil
		}
	}
}

// try is the state of one attempt in progress.
type try struct {
	entry    *Entry
	attempt  attempt
	ctx      context.Context
	watchdog *time.Timer
	// conn carries the request once there is a connection; before is the
	// number of bytes that were written to it for earlier requests.
	conn   *countedConn
	before int64
}

// forward sends one attempt to its agent and passes the response on.
func (e *Entry) forward(ctx context.Context, a attempt) result {
	limited, cancel := context.WithCancelCause(a.call.ctx)
	defer cancel(nil)
	t := &try{entry: e, attempt: a}
	t.ctx = httptrace.WithClientTrace(limited, &httptrace.ClientTrace{GotConn: t.gotConn})
	t.watchdog = time.AfterFunc(e.settings.FirstByteTimeout, func() { cancel(errSilent) })
	defer t.watchdog.Stop()

	req, err := t.request()
	if err != nil {
		return result{end: retry.Refused, detail: err.Error()}
	}
	// A client would follow redirects of the upstream; they are for the caller.
	resp, err := a.link.transport.RoundTrip(req)
	if err != nil {
		return result{end: t.lost(), detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	res := t.receive(resp)
	if res.end == retry.Answered {
		t.pass(ctx, resp, &res)
	}
	return res
}

func (t *try) gotConn(info httptrace.GotConnInfo) {
	t.conn, _ = info.Conn.(*countedConn)
	if t.conn != nil {
		t.before = t.conn.written.Load()
	}
}

// request builds the request to the agent. Headers that only processes of the
// system set are not taken from the caller.
func (t *try) request() (*http.Request, error) {
	c := t.attempt.call
	url := "http://" + t.attempt.upstream.Address + wire.CallPath + c.path
	// The reader is wrapped so that the transport cannot send the body again
	// by itself: it would do so for requests with an Idempotency-Key.
	body := struct{ io.Reader }{bytes.NewReader(c.body)}
	req, err := http.NewRequestWithContext(t.ctx, c.method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.body))
	req.Header = maps.Clone(c.header)
	req.Header.Set(headerRequestID, c.id)
	meta := t.attempt.meta
	meta.Clock = t.entry.node.Clock(t.ctx)
	if deadline, ok := c.ctx.Deadline(); ok {
		meta.Timeout = time.Until(deadline)
	}
	wire.Keys(t.entry.settings.PeerKeys).Authorize(req.Header)
	return req, wire.SetCall(req.Header, &meta)
}

// internalPrefix begins the headers between processes of the system.
const internalPrefix = "Rattanspur-"

func stripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// lost says how an attempt ended that got no response.
func (t *try) lost() retry.End {
	switch {
	case errors.Is(context.Cause(t.ctx), errSilent):
		return retry.Stalled
	case errors.Is(t.ctx.Err(), context.DeadlineExceeded):
		return retry.TimedOut
	case t.ctx.Err() != nil:
		return retry.Canceled
	case t.conn == nil || t.conn.written.Load() == t.before:
		return retry.Unreachable
	default:
		return retry.Lost
	}
}

// receive classifies the head of a response. An answer counts only if it names
// this attempt: a refusal meant for another request would let a request run twice.
func (t *try) receive(resp *http.Response) result {
	res := result{detail: resp.Status}
	// Only a newer configuration than the one that the call was decided by is
	// news for the node.
	stamp, ok := wire.GetStamp(resp.Header)
	if ok && stamp.Compare(t.attempt.meta.Config) > 0 {
		t.entry.node.ObserveStamp(t.attempt.upstream.Address, stamp)
	}
	if clock, ok := wire.GetClock(resp.Header); ok {
		t.entry.node.ObserveClock(clock)
	}
	if l, ok := wire.GetLoad(resp.Header); ok {
		res.load = &routing.Load{Limit: l.Limit, InFlight: l.InFlight}
	}
	if resp.Header.Get(wire.HeaderRequest) != t.attempt.meta.AttemptID() {
		res.end = retry.Mismatched
		res.load = nil
		return res
	}
	switch wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) {
	case wire.Ran:
		res.end = retry.Answered
		res.failed = resp.StatusCode >= http.StatusInternalServerError
	case wire.NotRun:
		res.end, res.detail = refusal(resp)
	default:
		res.end = retry.Lost
	}
	return res
}

// refusal returns why an agent refused a call. A replica without room for the
// call is asked again soon; any other reason pauses it for longer.
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

// wholeBytes is the size up to which a response of known length is read whole
// before it is passed on. If it breaks off, no byte has reached the caller yet.
const wholeBytes = 16 << 10

// pass puts the response on the caller's stream.
func (t *try) pass(ctx context.Context, resp *http.Response, res *result) {
	head := t.head(resp)
	n := resp.ContentLength
	hasBody := t.attempt.call.method != http.MethodHead
	if hasBody && n >= 0 && n <= min(wholeBytes, t.entry.settings.MaxStreamBytes) {
		t.passWhole(resp, head, res)
		return
	}
	if res.load != nil {
		_ = t.entry.inbox.Put(ctx, loadRead{id: t.attempt.upstream.ID, load: *res.load})
		// At the end of a long answer, this report would be out of date.
		res.load = nil
	}
	t.passStream(resp, head, res)
}

func (t *try) head(resp *http.Response) *relay.Head {
	relay.RemoveHopHeaders(resp.Header)
	stripInternal(resp.Header)
	head := &relay.Head{Status: resp.StatusCode, Header: resp.Header}
	head.Header.Set(wire.HeaderOutcome, string(wire.Ran))
	head.Header.Set(headerRequestID, t.attempt.call.id)
	return head
}

// passWhole passes a short response on as one part.
func (t *try) passWhole(resp *http.Response, head *relay.Head, res *result) {
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(t.body(resp), body); err != nil {
		res.end, res.detail = t.cut(err), err.Error()
		return
	}
	res.started, res.whole = true, true
	_ = t.attempt.call.stream.Put(t.ctx, relay.Part{Head: head, Data: body, End: true})
}

// passStream passes a response on while it arrives.
func (t *try) passStream(resp *http.Response, head *relay.Head, res *result) {
	c := t.attempt.call
	res.started = true
	err := c.stream.Put(c.ctx, relay.Part{Head: head})
	if err == nil {
		err = t.passBody(resp)
	}
	end := relay.Part{End: true}
	res.whole = err == nil
	if err != nil {
		end.Err = relay.ErrTruncated
		res.end, res.detail = t.cut(err), err.Error()
	}
	// The deadline may be over, but the handler still waits for the end.
	finish, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), answerGrace)
	defer cancel()
	_ = c.stream.Put(finish, end)
}

// cut says how an attempt ended whose response broke off.
func (t *try) cut(err error) retry.End {
	if errors.Is(err, errStreamBytes) {
		return retry.Answered
	}
	if end := t.lost(); end != retry.Unreachable {
		return end
	}
	return retry.Lost
}

func (t *try) passBody(resp *http.Response) error {
	c := t.attempt.call
	if relay.IsEventStream(resp.Header) {
		return relay.ReadEvents(c.ctx, t.body(resp), c.stream)
	}
	return relay.ReadBody(c.ctx, t.body(resp), c.stream)
}

func (t *try) body(resp *http.Response) io.Reader {
	return &watchedBody{try: t, body: resp.Body, left: t.entry.settings.MaxStreamBytes}
}

// watchedBody bounds the time of each read and the bytes of all reads. Time in
// which the caller accepts no bytes does not count against the connection.
type watchedBody struct {
	try  *try
	body io.Reader
	left int64
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.try.watchdog.Reset(b.try.entry.settings.ProgressTimeout)
	n, err := b.body.Read(p)
	b.try.watchdog.Stop()
	b.left -= int64(n)
	if b.left < 0 {
		return n, errStreamBytes
	}
	return n, err
}
