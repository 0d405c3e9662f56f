package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/wire"
)

// answerGrace is how long after a call's deadline the handler still waits for
// the router's answer, which knows whether the request was run.
const answerGrace = time.Second

// call is a caller's request on its way through the entry.
type call struct {
	// ctx ends when the caller leaves or the deadline passes.
	ctx    context.Context
	id     string
	method string
	path   string
	header http.Header
	body   []byte
	// model is the value of the body's field of that name, if any.
	model string
	// prefix identifies the first bytes of the prompt; 0 means none.
	prefix      uint64
	fingerprint string
	keySHA256   string
	// token permits one run of a request that may not be repeated.
	token   string
	arrived time.Time
	stream  *relay.Stream
}

// serveCall decodes a request, hands it to the router and writes what comes
// back. It decides nothing.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	id := rand.Text()
	w.Header().Set(headerRequestID, id)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	if err != nil {
		wire.WriteProblem(w, bodyProblem(id, err))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	ctx, cancel := context.WithTimeout(r.Context(), e.settings.CallTimeout)
	defer cancel()
	c := newCall(ctx, id, r, body)
	if err := e.deliver(ctx, c); err != nil {
		wire.WriteProblem(w, notRun(c, "entry takes no further calls now"))
		return
	}
	e.answer(w, r, c)
}

func newCall(ctx context.Context, id string, r *http.Request, body []byte) *call {
	model, prompt := inspect(r.URL.Path, body)
	key := wire.Bearer(r.Header)
	// Headers that only processes of the system set are not taken from callers.
	token := r.Header.Get(wire.HeaderToken)
	relay.RemoveHopHeaders(r.Header)
	stripInternal(r.Header)
	return &call{
		ctx:         ctx,
		id:          id,
		method:      r.Method,
		path:        r.URL.RequestURI(),
		header:      r.Header,
		body:        body,
		model:       model,
		prefix:      routing.PrefixOf(prompt),
		fingerprint: retry.Fingerprint(r.URL.RequestURI(), body),
		keySHA256:   keyDigest(key),
		token:       token,
		arrived:     time.Now(),
		stream:      relay.NewStream(),
	}
}

// answer writes the response of a call. A response that was cut ends with an
// error event if it consists of events. Other connections are aborted, so that
// the caller does not take what arrived so far for the whole answer.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithTimeout(r.Context(), e.settings.CallTimeout+answerGrace)
	defer cancel()
	err := relay.Write(ctx, w, c.stream)
	// Every response that the router or a forwarder begins names its outcome.
	started := w.Header().Get(wire.HeaderOutcome) != ""
	e.metrics.latency.UpdateDuration(c.arrived)
	switch {
	case err == nil || r.Context().Err() != nil:
		return
	case !started:
		wire.WriteProblem(w, outcomeUnknown(c, "no answer in time", http.StatusGatewayTimeout))
	case relay.IsEventStream(w.Header()) && cutByUs(err):
		e.metrics.cuts.Inc()
		_, data := outcomeUnknown(c, "the upstream ended before the answer was whole", http.StatusBadGateway).Encode()
		_ = relay.WriteErrorEvent(w, data)
	default:
		e.metrics.cuts.Inc()
		panic(http.ErrAbortHandler)
	}
}

// cutByUs tells a response that was cut from a caller that cannot be written to.
func cutByUs(err error) bool {
	return errors.Is(err, relay.ErrTruncated) || errors.Is(err, context.DeadlineExceeded)
}

// inspect returns the model and the start of the prompt of a call to a model.
func inspect(path string, body []byte) (model string, prompt []byte) {
	if !strings.HasPrefix(path, "/v1/") {
		return "", nil
	}
	var request struct {
		Model    string          `json:"model"`
		Messages json.RawMessage `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
	}
	if json.Unmarshal(body, &request) != nil {
		return "", nil
	}
	if len(request.Messages) > 0 {
		return request.Model, request.Messages
	}
	return request.Model, request.Prompt
}

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func bodyProblem(id string, err error) *wire.Problem {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	p := invalid(status, "body could not be read: "+err.Error())
	p.Request = id
	return p
}
