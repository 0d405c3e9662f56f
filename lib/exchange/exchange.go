package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
)

// Head is what the head of an answer says beside the answer itself.
type Head struct {
	// Request is the id of the request that the answer belongs to.
	Request string
	// Unsigned says that the answer does not bear an upstream's signature, as
	// each of its own answers does.
	Unsigned bool
	// NotRun says that the request has not run; Misdirected that another
	// upstream or other weights were asked for.
	NotRun      bool
	Misdirected bool
	Load        *dispatch.Load
	// Version is that of the weights that answer; 0 if not stated.
	Version int64
	// ColdLeft is how long the upstream stays cold.
	ColdLeft time.Duration
	// Idle is how long the upstream keeps the connection; 0 if not stated.
	Idle time.Duration
	// Close says that the upstream closes the connection.
	Close bool
}

// Request is what is sent.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer receives an answer. Its methods run on the goroutine of Do.
type Answer interface {
	// Observe is called once with the head of an answer to this request.
	Observe(h *Head)
	// Head is called with the first bytes at hand. An error ends the exchange.
	Head(resp *http.Response) error
	// Part passes on a piece of the body at once.
	Part(data []byte) error
}

// Options bound an exchange.
type Options struct {
	// FirstByte and Gap bound the silence before the answer and within it; 0
	// does not limit.
	FirstByte time.Duration
	Gap       time.Duration
	// Events says that the body consists of server-sent events: only whole
	// ones are passed on.
	Events bool
	// Hold reads an answer with a server error whole before it is passed on.
	Hold bool
	// Resumed says that the answer goes on where an earlier one was cut, so
	// that only further events may follow.
	Resumed bool
}

// Held is an answer that was read whole and not passed on.
type Held struct {
	Response *http.Response
	Head     Head
	Body     []byte
}

// Outcome says how an exchange ended.
type Outcome struct {
	dispatch.AttemptResult
	// Held is set if the answer was held back.
	Held *Held
	// Reusable says that the connection may carry another request.
	Reusable bool
	Detail   string
}

const (
	// holdBytes bounds an answer that is held back or read whole.
	holdBytes = 64 << 10
	// syncBody is the size up to which a body is written before the answer is
	// read; the socket takes that much without the upstream reading it.
	syncBody = 16 << 10
)

// errSilent ends an exchange whose upstream sends nothing.
var errSilent = errors.New("upstream sent nothing for too long")

// errCaller says that the caller could not be written to.
var errCaller = errors.New("caller accepts no more bytes")

// exchange is the state of one request in progress.
type exchange struct {
	ctx     context.Context
	conn    *Conn
	decode  func(*http.Response) Head
	request *Request
	answer  Answer
	options Options
	sent    time.Time
	out     Outcome
	// bodyDone is closed when the whole body was written; nil if it was
	// written before the answer was read.
	bodyDone chan error
}

// Do sends a request on a connection and passes the answer on. It returns when
// the answer has ended, the context ends, or the upstream is silent for too
// long. The connection must be closed unless the outcome says it is reusable.
func Do(ctx context.Context, c *Conn, r *Request, decode func(*http.Response) Head, a Answer, o Options) Outcome {
	x := &exchange{ctx: ctx, conn: c, decode: decode, request: r, answer: a, options: o, sent: time.Now()}
	// A deadline in the past ends reads and writes that are in progress.
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	x.run()
	if !stop() {
		x.out.Reusable = false
	}
	return x.out
}

func (x *exchange) run() {
	if err := x.write(); err != nil {
		x.fail(err)
		return
	}
	x.limit(x.options.FirstByte)
	resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
	if err != nil {
		x.fail(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	h := x.decode(resp)
	switch {
	case h.Request != x.request.ID && x.request.ID != "":
		x.out.End, x.out.Detail = retry.Mismatched, "answer names another request"
	case h.Unsigned && resp.StatusCode/100 == 2:
		x.out.End, x.out.Detail = retry.Mismatched, "success without an upstream's signature"
	case h.NotRun:
		x.answer.Observe(&h)
		x.refused(resp, &h)
	default:
		x.answer.Observe(&h)
		x.receive(resp, &h)
	}
}

// write sends head and body in one piece. A large body is sent while the
// answer is read, since an upstream may answer before it has read it.
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
	if len(r.Body) <= syncBody {
		b.Write(r.Body)
		_, err := x.conn.net.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.net.Write(b.Bytes()); err != nil {
		return err
	}
	x.bodyDone = make(chan error, 1)
	go func() {
		_, err := x.conn.net.Write(r.Body)
		x.bodyDone <- err
	}()
	return nil
}

func (x *exchange) limit(d time.Duration) {
	if d > 0 && x.ctx.Err() == nil {
		_ = x.conn.net.SetReadDeadline(time.Now().Add(d))
		if x.ctx.Err() != nil {
			_ = x.conn.net.SetDeadline(time.Unix(1, 0))
		}
	}
}

func (x *exchange) unlimit() {
	_ = x.conn.net.SetReadDeadline(time.Time{})
	if x.ctx.Err() != nil {
		_ = x.conn.net.SetDeadline(time.Unix(1, 0))
	}
}

// fail classifies an exchange that ended without a whole answer. Bytes of the
// request were handed to the connection, so it may have run.
func (x *exchange) fail(err error) {
	x.out.Detail = err.Error()
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errCaller):
		x.out.End = retry.Canceled
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.out.End = retry.TimedOut
	case x.ctx.Err() != nil:
		x.out.End = retry.Canceled
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, errSilent):
		x.out.End = retry.Stalled
	default:
		x.out.End = retry.Lost
	}
}

// refused reads the rest of a refusal, so that the connection stays usable.
func (x *exchange) refused(resp *http.Response, h *Head) {
	x.out.Version = 0
	x.out.Misdirected = h.Misdirected
	x.out.End = retry.Busy
	if h.Misdirected {
		x.out.End = retry.Refused
	}
	x.out.Detail = resp.Status
	x.limit(leastRead)
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, holdBytes))
	x.finish(resp, h, err)
}

// leastRead bounds the time that the rest of a refusal may take.
const leastRead = 300 * time.Millisecond

// receive passes an answer on.
func (x *exchange) receive(resp *http.Response, h *Head) {
	x.out.Version = h.Version
	failed := resp.StatusCode >= http.StatusInternalServerError
	x.out.ServerError = failed
	events := x.options.Events && relay.IsEventStream(resp.Header)
	var err error
	switch {
	case x.options.Resumed && (!events || resp.StatusCode != http.StatusOK):
		x.out.End, x.out.Detail = retry.Lost, "no events to go on with: "+resp.Status
		return
	case failed && x.options.Hold, !events && resp.ContentLength >= 0 && resp.ContentLength <= holdBytes:
		err = x.receiveWhole(resp, h, failed && x.options.Hold)
	case events:
		err = x.receiveEvents(resp)
	default:
		err = x.receiveBody(resp)
	}
	if err != nil {
		x.fail(err)
		return
	}
	x.out.End = retry.Answered
	x.finish(resp, h, nil)
}

func (x *exchange) first() {
	if x.out.FirstByte == 0 {
		x.out.FirstByte = time.Since(x.sent)
	}
}

// receiveWhole reads an answer whole before any of it is passed on, so that
// one that breaks off can still be replaced.
func (x *exchange) receiveWhole(resp *http.Response, h *Head, hold bool) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, holdBytes+1))
	if err != nil {
		return err
	}
	x.first()
	if hold && len(body) <= holdBytes {
		x.out.AttemptResult.Held = true
		x.out.Held = &Held{Response: resp, Head: *h, Body: body}
		return nil
	}
	x.out.Started = true
	if err := x.answer.Head(resp); err != nil {
		return errCaller
	}
	if len(body) > 0 && x.answer.Part(body) != nil {
		return errCaller
	}
	return nil
}

func (x *exchange) receiveBody(resp *http.Response) error {
	buffer := make([]byte, readBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 || err == io.EOF {
			x.first()
			if perr := x.pass(resp, buffer[:n]); perr != nil {
				return perr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// receiveEvents passes whole events on, each batch as soon as it is there. The
// head is passed on with the first event: until then another upstream can
// take over without a trace.
func (x *exchange) receiveEvents(resp *http.Response) error {
	buffer := make([]byte, readBuffer)
	var held []byte
	for {
		n, err := resp.Body.Read(buffer)
		held = append(held, buffer[:n]...)
		whole := relay.WholeEvents(held)
		if err == io.EOF && whole < len(held) && !framed(resp) {
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			whole = len(held)
		}
		if whole > 0 || err == io.EOF {
			x.first()
			if perr := x.pass(resp, held[:whole]); perr != nil {
				return perr
			}
			if id := relay.LastEventID(held[:whole]); id != "" {
				x.out.LastEventID = id
			}
			held = append(held[:0], held[whole:]...)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(held) > holdBytes:
			return relay.ErrEventSize
		}
		x.limit(x.options.Gap)
	}
}

func (x *exchange) pass(resp *http.Response, data []byte) error {
	if !x.out.Started {
		x.out.Started = true
		if x.answer.Head(resp) != nil {
			return errCaller
		}
	}
	if len(data) > 0 && x.answer.Part(data) != nil {
		return errCaller
	}
	return nil
}

// finish decides whether the connection may carry another request.
func (x *exchange) finish(resp *http.Response, h *Head, err error) {
	x.unlimit()
	written := true
	if x.bodyDone != nil {
		select {
		case werr := <-x.bodyDone:
			written = werr == nil
		default:
			written = false
		}
	}
	x.out.Reusable = err == nil && written && framed(resp) && !h.Close && x.conn.reader.Buffered() == 0
	if x.out.Reusable {
		x.conn.keep(time.Now(), h.Idle)
		x.out.Reusable = !x.conn.Expired(time.Now())
	}
}

// framed reports whether an answer says where it ends. Others end with their
// connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
