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

// manifestQuestion asks for the encoded manifest of a root; the answer is nil
// if it is not held.
type manifestQuestion struct {
	root   fleet.Digest
	answer *ring.Ring[[]byte]
}

// haveQuestion asks for what is held after a position; nil if the root is not known.
type haveQuestion struct {
	root   fleet.Digest
	epoch  uint64
	seq    int
	answer *ring.Ring[*wire.HaveSet]
}

// chunkQuestion asks for one chunk to upload.
type chunkQuestion struct {
	root   fleet.Digest
	index  int
	answer *ring.Ring[chunkAnswer]
}

// chunkAnswer grants an upload if data is set; it must be ended with uploadDone.
type chunkAnswer struct {
	data []byte
	busy bool
}

// uploadDone ends a granted upload.
type uploadDone struct{}

// fileQuestion asks for the chunks of a file of a complete root.
type fileQuestion struct {
	root   fleet.Digest
	path   string
	answer *ring.Ring[fileAnswer]
}

type fileAnswer struct {
	found bool
	size  int64
	data  [][]byte
}

func (manifestQuestion) pullerEvent() {}
func (haveQuestion) pullerEvent()     {}
func (chunkQuestion) pullerEvent()    {}
func (uploadDone) pullerEvent()       {}
func (fileQuestion) pullerEvent()     {}

// askPuller puts a question and waits for its answer. A question that was put
// is always answered, so a granted upload cannot be lost.
func askPuller[T any](a *Agent, r *http.Request, question func(fleet.Digest, *ring.Ring[T]) pullerEvent) (T, bool) {
	var none T
	root, err := fleet.ParseDigest(r.PathValue("root"))
	if err != nil {
		return none, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	answer := ring.New[T](1, ring.Refuse)
	if a.puller.Put(ctx, question(root, answer)) != nil {
		return none, false
	}
	v, err := answer.Take(context.WithoutCancel(ctx))
	return v, err == nil
}

func (a *Agent) serveManifest(w http.ResponseWriter, r *http.Request) {
	encoded, ok := askPuller(a, r, func(root fleet.Digest, answer *ring.Ring[[]byte]) pullerEvent {
		return manifestQuestion{root: root, answer: answer}
	})
	if !ok || encoded == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(encoded)
}

func (a *Agent) serveHave(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	seq, err := strconv.Atoi(r.URL.Query().Get("seq"))
	if err != nil {
		seq = -1
	}
	h, ok := askPuller(a, r, func(root fleet.Digest, answer *ring.Ring[*wire.HaveSet]) pullerEvent {
		return haveQuestion{root: root, epoch: epoch, seq: seq, answer: answer}
	})
	if !ok || h == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(h.Encode())
}

func (a *Agent) serveChunk(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	c, ok := askPuller(a, r, func(root fleet.Digest, answer *ring.Ring[chunkAnswer]) pullerEvent {
		return chunkQuestion{root: root, index: index, answer: answer}
	})
	switch {
	case ok && c.busy:
		http.Error(w, "uploads are at their bound", http.StatusServiceUnavailable)
		return
	case !ok || c.data == nil:
		http.NotFound(w, r)
		return
	}
	defer func() { _ = a.puller.Put(context.WithoutCancel(r.Context()), uploadDone{}) }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(c.data)))
	_, _ = io.Copy(w, pacing.Reader(r.Context(), bytes.NewReader(c.data), a.up))
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
	f, ok := askPuller(a, r, func(root fleet.Digest, answer *ring.Ring[fileAnswer]) pullerEvent {
		return fileQuestion{root: root, path: r.PathValue("path"), answer: answer}
	})
	if !ok || !f.found {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(f.size, 10))
	for _, data := range f.data {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// file returns the chunks of a file of a complete root.
func (h *holding) file(path string) fileAnswer {
	if !h.complete {
		return fileAnswer{}
	}
	for i, f := range h.manifest.Files {
		if f.Path == path {
			return fileAnswer{found: true, size: f.Size, data: h.fileData(i)}
		}
	}
	return fileAnswer{}
}

func (h *holding) fileData(file int) [][]byte {
	first := 0
	for _, f := range h.manifest.Files[:file] {
		first += len(f.Chunks)
	}
	return h.data[first : first+len(h.manifest.Files[file].Chunks)]
}
