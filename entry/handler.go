package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/wire"
)

// responseGrace is how long after a call's deadline the handler still waits for
// the router's response, which states whether the request was run.
const responseGrace = time.Second

// decodedCopies is how many copies of a body exist while it is decoded.
const decodedCopies = 2

// call is a caller's request while the entry processes it.
type call struct {
	// ctx ends when the caller disconnects or the deadline passes.
	ctx    context.Context
	id     string
	method string
	path   string
	header http.Header
	body   []byte
	// model is the value of the field "model" in the body; empty if there is none.
	model string
	// prefix is the hash of the prompt's prefix; 0 means none. See
	// routing.PrefixOf.
	prefix uint64
	// traits are what the request may have in common with others that crash
	// upstreams, from the broadest to the most specific one.
	traits []poison.Trait
	// partsLeftOut is the number of parts of the prompt that got no trait.
	partsLeftOut int
	keySHA256    string
	// fingerprint identifies the content of a call with a key or token.
	fingerprint string
	// token permits a single run of a request that must not be repeated; empty if
	// the call has none.
	token     string
	arrivedAt time.Time
	stream    *relay.Stream
}

// serveCall decodes a request, enqueues it for routing and writes the response.
// It makes no decisions.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	id := rand.Text()
	w.Header().Set(headerRequestID, id)
	e.metrics.calls.Add(1)
	defer e.metrics.calls.Add(-1)
	defer e.recordPanic(id)
	if e.grace.begun.isReached() {
		w.Header().Set("Connection", "close")
	}
	body, err := e.bodies.ReadRequest(w, r, bodybudget.Limits{
		Bytes: e.settings.MaxBodyBytes, Time: bodyTimeout, Stop: e.grace.callsEnd.reached,
	})
	if err != nil {
		e.rejectBody(w, r, id, err)
		return
	}
	defer body.Release()
	limited, cancel := context.WithTimeout(r.Context(), e.settings.CallTimeout)
	defer cancel()
	ctx, end := e.grace.callsEnd.endOn(limited)
	defer end()
	c, err := e.decodeCall(ctx, id, r, body)
	if err != nil {
		e.rejectBody(w, r, id, err)
		return
	}
	if err := e.enqueue(ctx, c); err != nil {
		if r.Context().Err() != nil {
			e.closeConnection(w, r, c, closeCallerLeft, err)
		}
		wire.WriteProblem(w, notRun(c, "entry takes no further calls now"))
		return
	}
	e.writeResponse(w, r, c)
}

// decodeCall decodes a request while the memory for copies of its body is reserved.
func (e *Entry) decodeCall(ctx context.Context, id string, r *http.Request, body *bodybudget.Body) (*call, error) {
	copies := decodedCopies * int64(len(body.Bytes()))
	if err := body.Reserve(ctx, copies); err != nil {
		if ctx.Err() != nil {
			// The body is complete and waited for memory until the call had to end.
			return nil, bodybudget.ErrStopped
		}
		return nil, err
	}
	defer body.GiveBack(copies)
	call := newCall(ctx, id, r, body.Bytes())
	e.metrics.partsLeftOut.Add(call.partsLeftOut)
	return call, nil
}

func newCall(ctx context.Context, id string, r *http.Request, body []byte) *call {
	prompt := inspectBody(r.URL.Path, body)
	keySHA256 := keyDigest(wire.Bearer(r.Header))
	// The token is the only internal header that callers may set, so it is read
	// before the internal headers are removed.
	token := r.Header.Get(wire.HeaderToken)
	relay.RemoveHopHeaders(r.Header)
	removeInternalHeaders(r.Header)
	return &call{
		ctx:    ctx,
		id:     id,
		method: r.Method,
		path:   r.URL.RequestURI(),
		header: r.Header,
		body:   body,
		model:  prompt.model,
		prefix: routing.PrefixOf(prompt.text),
		traits: prompt.traits(keySHA256, r.URL.RequestURI(), body),

		partsLeftOut: prompt.partsLeftOut,

		keySHA256: keySHA256,
		token:     token,
		arrivedAt: time.Now(),
		stream:    relay.NewStream(),
	}
}

// writeResponse writes the response of a call. A truncated event stream ends with
// an error event. For any other truncated response, the connection is aborted, so
// that the caller does not treat the response as complete.
func (e *Entry) writeResponse(w http.ResponseWriter, r *http.Request, c *call) {
	limited, cancel := context.WithTimeout(r.Context(), e.settings.CallTimeout+responseGrace)
	defer cancel()
	ctx, end := e.grace.handlersEnd.endOn(limited)
	defer end()
	if e.grace.begun.isReached() {
		w.Header().Set("Connection", "close")
	}
	err := relay.Write(ctx, w, c.stream)
	// Every response of the router or a forwarder has this header.
	started := w.Header().Get(wire.HeaderOutcome) != ""
	e.metrics.latency.UpdateDuration(c.arrivedAt)
	switch {
	case err == nil:
		return
	case r.Context().Err() != nil:
		// A caller that has only closed its sending side still reads, and a handler
		// that returns ends the response as a complete one.
		e.closeConnection(w, r, c, closeCallerLeft, err)
	case !started:
		wire.WriteProblem(w, outcomeUnknown(c, "no answer in time", http.StatusGatewayTimeout))
	case relay.IsEventStream(w.Header()) && (isTruncation(err) || ctx.Err() != nil):
		e.metrics.truncations.Inc()
		_, data := outcomeUnknown(c, "the upstream ended before the answer was whole", http.StatusBadGateway).Encode()
		if err := relay.WriteErrorEvent(w, data); err != nil {
			e.closeConnection(w, r, c, closeWriteFailed, err)
		}
	default:
		e.metrics.truncations.Inc()
		e.closeConnection(w, r, c, closeReasonOf(ctx, err), err)
	}
}

// isTruncation reports whether err means that the response was truncated. Other
// errors mean that the response cannot be written to the caller.
func isTruncation(err error) bool {
	return errors.Is(err, relay.ErrTruncated) || errors.Is(err, context.DeadlineExceeded)
}

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// rejectBody responds to a request whose body could not be read.
func (e *Entry) rejectBody(w http.ResponseWriter, r *http.Request, id string, err error) {
	p := bodyProblem(id, err)
	_ = level.Info(e.node.Logger()).Log(
		"msg", "body of a request rejected", "request", id, "status", p.Status, "length", r.ContentLength, "err", err)
	wire.WriteProblem(w, p)
}

func bodyProblem(id string, err error) *wire.Problem {
	c := &call{id: id}
	switch {
	case errors.Is(err, bodybudget.ErrStopped):
		return notRun(c, stoppingDetail)
	case bodybudget.IsShortage(err):
		return overload(c, http.StatusServiceUnavailable, err.Error(), retryAfter)
	}
	status := http.StatusBadRequest
	if errors.Is(err, bodybudget.ErrTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	p := invalid(status, "body could not be read: "+err.Error())
	p.Request = id
	return p
}
