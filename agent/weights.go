package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// ask returns what the puller holds of a root named in a path.
func (a *Agent) ask(r *http.Request) (holding, bool) {
	root, err := fleet.ParseDigest(r.PathValue("root"))
	if err != nil {
		return holding{}, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	answer := ring.New[holding](1, ring.Refuse)
	if a.puller.Put(ctx, question{root: root, answer: answer}) != nil {
		return holding{}, false
	}
	h, err := answer.Take(ctx)
	return h, err == nil && h.manifest != nil
}

func (a *Agent) serveManifest(w http.ResponseWriter, r *http.Request) {
	h, ok := a.ask(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(h.encoded)
}

func (a *Agent) serveHave(w http.ResponseWriter, r *http.Request) {
	h, ok := a.ask(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	wire.WriteJSON(w, h.have)
}

func (a *Agent) serveChunk(w http.ResponseWriter, r *http.Request) {
	h, ok := a.ask(r)
	index, err := strconv.Atoi(r.PathValue("index"))
	if !ok || err != nil || index < 0 || index >= len(h.data) || h.data[index] == nil {
		http.NotFound(w, r)
		return
	}
	data := h.data[index]
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = io.Copy(w, pacing.Reader(r.Context(), bytes.NewReader(data), a.up))
}

// weightsHandler serves verified weights to the engine beside this agent.
func (a *Agent) weightsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{root}/manifest.json", a.serveManifest)
	mux.HandleFunc("GET /weights/{root}/files/{path...}", a.serveFile)
	return mux
}

// serveFile sends a whole file, and only of a root that is complete.
func (a *Agent) serveFile(w http.ResponseWriter, r *http.Request) {
	h, ok := a.ask(r)
	if !ok || !h.complete {
		http.NotFound(w, r)
		return
	}
	path := r.PathValue("path")
	for i, f := range h.manifest.Files {
		if f.Path == path {
			w.Header().Set("Content-Length", strconv.FormatInt(f.Size, 10))
			writeFile(w, h, i)
			return
		}
	}
	http.NotFound(w, r)
}

func writeFile(w io.Writer, h holding, file int) {
	for _, c := range h.chunks {
		if c.File == file {
			if _, err := w.Write(h.data[c.Index]); err != nil {
				return
			}
		}
	}
}
