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

	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/wire"
)

// call is a caller's request on its way through the entry.
type call struct {
	ctx    context.Context
	id     string
	method string
	path   string
	header http.Header
	body   []byte
	// model is the value of the body's field of that name, if any.
	model     string
	keySHA256 string
	stream    *relay.Stream
}

// serveCall decodes a request, hands it to the router and writes what comes
// back. It decides nothing.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.BodyBytes))
	if err != nil {
		wire.WriteProblem(w, invalid(http.StatusRequestEntityTooLarge, "body could not be read: "+err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.settings.CallTimeout)
	defer cancel()
	c := &call{
		ctx:       ctx,
		id:        rand.Text(),
		method:    r.Method,
		path:      r.URL.RequestURI(),
		header:    r.Header,
		body:      body,
		model:     modelOf(r.URL.Path, body),
		keySHA256: keyDigest(wire.Bearer(r.Header)),
		stream:    relay.NewStream(),
	}
	if err := e.deliver(ctx, c); err != nil {
		wire.WriteProblem(w, unavailable(c, "entry is stopping"))
		return
	}
	err = relay.Write(ctx, w, c.stream)
	if err == nil {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, relay.ErrCut) {
		// The connection is aborted, so that the caller does not take what
		// arrived so far for the whole answer.
		panic(http.ErrAbortHandler)
	}
}

func modelOf(path string, body []byte) string {
	if !strings.HasPrefix(path, "/v1/") {
		return ""
	}
	var request struct {
		Model string `json:"model"`
	}
	if json.Unmarshal(body, &request) != nil {
		return ""
	}
	return request.Model
}

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func invalid(status int, detail string) *wire.Problem {
	return &wire.Problem{
		Type: wire.ProblemInvalid, Title: "request is not valid",
		Status: status, Detail: detail, Outcome: wire.NotRun,
	}
}
