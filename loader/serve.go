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

// decodeManifest decodes a manifest received from a peer. It returns an error if
// the manifest is for another model or version, or has no digests or an impossible size
// of pieces.
func decodeManifest(data []byte, model string, version int64) (*staging.Manifest, error) {
	var m staging.Manifest
	if err := wire.ReadJSON(bytes.NewReader(data), &m); err != nil {
		return nil, err
	}
	if m.Model != model || m.Version != version || len(m.Digests) == 0 {
		return nil, eris.Errorf("manifest from peer is for model %q version %d", m.Model, m.Version)
	}
	if m.PieceBytes <= 0 || m.PieceBytes > staging.MaxPieceBytes {
		return nil, eris.Errorf("manifest from peer has pieces of %d bytes, the limit is %d", m.PieceBytes, staging.MaxPieceBytes)
	}
	return &m, nil
}

// peerHandler serves manifests, sets of available pieces and pieces to other
// loaders.
func (l *Loader) peerHandler() http.Handler {
	mux := http.NewServeMux()
	prefix := "GET " + pathWeights + "{model}/{version}"
	mux.HandleFunc(prefix+"/manifest", func(w http.ResponseWriter, r *http.Request) {
		if reply, ok := l.queryCopy(w, r, -1); ok {
			wire.WriteJSON(w, reply.manifest)
		}
	})
	mux.HandleFunc(prefix+"/have", func(w http.ResponseWriter, r *http.Request) {
		if reply, ok := l.queryCopy(w, r, -1); ok {
			h := wire.HaveSet{Full: true, Bitmap: reply.have}
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
	reply, ok := l.queryCopy(w, r, number)
	switch {
	case !ok:
	case reply.busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case reply.data == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		defer func() { _ = l.events.Put(context.Background(), uploadDone{}) }()
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.data)))
		_, _ = io.Copy(w, pacing.Reader(r.Context(), bytes.NewReader(reply.data), l.uploadLink))
	}
}

// queryCopy queries the coordinator for a version and waits for the reply. If it
// returns false, it has already written an error status to w: the request is
// invalid, its client disconnected or the version is unknown.
func (l *Loader) queryCopy(w http.ResponseWriter, r *http.Request, piece int) (copyReply, bool) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return copyReply{}, false
	}
	q := copyQuery{version: version, piece: piece, reply: ring.New[copyReply](1, ring.Wait)}
	if l.events.Put(r.Context(), q) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return copyReply{}, false
	}
	reply, err := q.reply.Take(context.Background())
	if err != nil || reply.manifest == nil || reply.manifest.Model != r.PathValue("model") {
		w.WriteHeader(http.StatusNotFound)
		return copyReply{}, false
	}
	return reply, true
}
