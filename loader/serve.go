package loader

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/wire"
)

// decodeManifest reads a manifest that a peer passed on.
func decodeManifest(data []byte, model string, version int64) (*staging.Manifest, error) {
	var m staging.Manifest
	if err := wire.ReadJSON(bytes.NewReader(data), &m); err != nil {
		return nil, err
	}
	if m.Model != model || m.Version != version || len(m.Digests) == 0 {
		return nil, eris.Errorf("manifest is of model %q version %d", m.Model, m.Version)
	}
	return &m, nil
}

// peerHandler serves the pieces to other loaders.
func (l *Loader) peerHandler() http.Handler {
	mux := http.NewServeMux()
	prefix := "GET " + pathWeights + "{model}/{version}"
	mux.HandleFunc(prefix+"/manifest", func(w http.ResponseWriter, r *http.Request) {
		if a, ok := l.ask(w, r, -1); ok {
			wire.WriteJSON(w, a.manifest)
		}
	})
	mux.HandleFunc(prefix+"/have", func(w http.ResponseWriter, r *http.Request) {
		if a, ok := l.ask(w, r, -1); ok {
			h := wire.HaveSet{Full: true, Bitmap: a.have}
			_, _ = w.Write(h.Encode())
		}
	})
	mux.HandleFunc(prefix+"/pieces/{number}", l.servePiece)
	return mux
}

func (l *Loader) servePiece(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.PathValue("number"))
	if err != nil || number < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a, ok := l.ask(w, r, number)
	switch {
	case !ok:
	case a.busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.data == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		defer func() { _ = l.events.Put(context.Background(), uploaded{}) }()
		w.Header().Set("Content-Length", strconv.Itoa(len(a.data)))
		_, _ = io.Copy(w, pacing.Reader(r.Context(), bytes.NewReader(a.data), l.link))
	}
}

// ask puts a question to the keeper and waits for its answer. It answers the
// request itself if the version is not known here.
func (l *Loader) ask(w http.ResponseWriter, r *http.Request, piece int) (answer, bool) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return answer{}, false
	}
	q := question{version: version, piece: piece, reply: ring.New[answer](1, ring.Wait)}
	if l.events.Put(r.Context(), q) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return answer{}, false
	}
	a, err := q.reply.Take(context.Background())
	if err != nil || a.manifest == nil || a.manifest.Model != r.PathValue("model") {
		w.WriteHeader(http.StatusNotFound)
		return answer{}, false
	}
	return a, true
}
